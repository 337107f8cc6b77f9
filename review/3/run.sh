#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review/poison ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/poison -program target/steer -record "$folder/record.txt"
