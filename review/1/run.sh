#!/usr/bin/env bash
# A request crashes each engine that begins to run it, and comes again now and then. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the request out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/rig ] && [ -x target/cactusknot ] || { echo "build first: the deploy file, then review/build.sh"; exit 2; }
exec review/bin/rig -case deadly -target target/cactusknot -record review/1/record.txt
