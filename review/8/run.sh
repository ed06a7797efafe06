#!/bin/sh
# Plays the case once. TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/umberhilld ] && [ -x target/review-rig ] || exit 2
exec target/review-rig deadly review/8/record.txt
