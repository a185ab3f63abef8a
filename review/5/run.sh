#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
case=target/review/case-5
[ -x target/release/papayad ] && [ -x "$case" ] || {
  echo "run the build of the deploy file and review/build.sh first"
  exit 2
}
# The case has a process group of its own, so that everything that it started ends with it.
set -m
"$case" review/5/record.txt &
pid=$!
trap 'kill -KILL -- "-$pid" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$pid"
