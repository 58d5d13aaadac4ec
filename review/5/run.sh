#!/usr/bin/env bash
# The store cuts watches that wait, and engines that never report that they drain leave. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 no watch is
# cut.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/rig ] && [ -x target/cactusknot ] || { echo "build first: the deploy file, then review/build.sh"; exit 2; }
exec review/bin/rig -case watches -target target/cactusknot -record review/5/record.txt
