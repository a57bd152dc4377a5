#!/bin/sh
# Builds the stand-ins of the review's scripts into target/. They use the standard library only.
set -e
cd "$(dirname "$0")/kit"
GOWORK=off go build -buildvcs=false -o ../../target/reviewkit .
