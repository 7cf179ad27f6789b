#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-2/case-10
[ -x "$case" ] && [ -x target/bin/jygateway ] || exit 2
timeout --signal=KILL 110 "$case" review/10/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
