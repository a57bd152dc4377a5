#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-3"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-3/cases .
