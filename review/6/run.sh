#!/bin/sh
# The store turns away the two entries of six that watch it, and serves the others.
# With TROUBLE=0 it does the same without that. Exits with 2 if a program is not built.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/steer ] && [ -x target/review-second ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review-second deaf-relays review/6/record.txt
