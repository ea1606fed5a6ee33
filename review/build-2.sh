#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")"
(cd rig && GOWORK=off GOFLAGS= go build -buildvcs=false -o bin/rig .)
(cd chaosrig && GOWORK=off GOFLAGS= go build -buildvcs=false -o bin/chaosrig .)
