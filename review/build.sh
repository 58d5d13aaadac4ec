#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start. It needs only Go.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off go build -o ../bin/rig .
