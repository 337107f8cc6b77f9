#!/bin/sh
# Three of twenty servers crash while two of them run the first requests of a later route.
# With TROUBLE=0 it does the same without that. Exits with 2 if a program is not built.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/steer ] && [ -x target/review-second ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review-second late-route review/8/record.txt
