#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=build/review-2/old_primary_kept
[ -x "$program" ] && [ -x target/gentianplank/node/gentianplank-entry ] || exit 2
timeout -k 5 110 "$program" review/8/record.txt "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
