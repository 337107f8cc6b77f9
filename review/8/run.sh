#!/bin/sh
# Three of twenty servers crash while two of them run the first requests of a later route.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-second late-route review/8/record.txt
