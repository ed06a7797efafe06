#!/bin/bash
# Plays a case: play.sh FOLDER CASE. The record is written to the folder. With TROUBLE=0 the case is
# played without its disruption. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
[ -x target/umberhilld ] && [ -x target/review/standin ] || { echo "build the routers and run review/build.sh first" >&2; exit 2; }
# The stand-in and the routers that it starts form one process group, which is ended with it.
set -m
RECORD="review/$1/record.txt" target/review/standin "$2" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
wait "$group"
exit $?
