#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2.
# They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off go build -o ../../target/review-2/ .
