#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use the standard library only.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod go build -o ../bin/standin .
