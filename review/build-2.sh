#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and following.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
cd "$root/review/standins-2"
GOWORK=off go build -o "$root/target/review-2/standins" .
