#!/usr/bin/env bash
# Runs one case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
# could not run. With TROUBLE=0 the case runs without its disruption.
cd "$(dirname "$0")/.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
if [ -z "$run" ] || [ ! -x "${run%% *}" ] || [ ! -x target/review-standin ]; then
  echo "run the build of deploy/service.toml and review/build.sh first" >&2
  exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
# The controllers are children of the stand-in, and the kernel kills them when it ends in any way.
timeout --kill-after=1s 118s target/review-standin --case "$1" --run "$run" --trouble="$trouble" --record "$2/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
