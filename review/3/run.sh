#!/usr/bin/env bash
# One part of a prompt crashes each engine that begins to write an answer on it. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the deadly requests out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/rig ] && [ -x target/cactusknot ] || { echo "build first: the deploy file, then review/build.sh"; exit 2; }
exec review/bin/rig -case tainted -target target/cactusknot -record review/3/record.txt
