#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/steer ] && [ -x target/third ] || exit 2
target/third rollout target/steer review/14/record.txt
