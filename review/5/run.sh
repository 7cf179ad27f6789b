#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs it
# without the disruption. Writes record.txt beside this script; needs the build of the deploy file
# and review/build.sh.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/bin/jygateway ] && [ -x target/review/case5 ] || exit 2
timeout --signal=KILL 110 target/review/case5 "$folder/record.txt"
status=$?
[ $status -le 2 ] || status=2
exit $status
