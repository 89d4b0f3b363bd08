#!/usr/bin/env bash
# Runs the program of a case: run.sh FOLDER. Sourced by the cases' own run.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
number=$(basename "$folder")
case=$root/review/out/case-$number
program=$root/target/gentianplank/node/gentianplank-entry
if [ ! -x "$case" ] || [ ! -x "$program" ]; then
    echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
# The program that is started ends its machines also when this script is ended.
"$case" "$folder" "$temporary" "$program" &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null; wait "$pid"; rm -rf "$temporary"; exit 2' TERM INT
wait "$pid"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
