#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/redwingd ] && [ -x review/chaosrig/bin/chaosrig ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout -k 2 116 review/chaosrig/bin/chaosrig -program target/redwingd -scenario frozen -rounds 20 -jobs 160 -mix -deadline-ms 1500 \
  -freeze-ms 2900 -trouble=$trouble -rule TWICE -out "${RECORD:-review/6/record.txt}"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
