#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 to 15 start.
set -euo pipefail
cd "$(dirname "$0")/harness3"
GOWORK=off go build -o bin/harness3 .
