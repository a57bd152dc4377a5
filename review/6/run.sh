#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0
# the program that it starts plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review2 ] && [ -x target/bulrushwick ] || { echo "build first: deploy file, review/build-2.sh"; exit 2; }
exec target/review-2/review2 stop-hup review/6
