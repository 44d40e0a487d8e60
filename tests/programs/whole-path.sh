#!/usr/bin/env bash
# Runs a whole fleet for a short time and checks that requests are served, that
# no guarantee is violated and that everything stops cleanly. Checks no timing.
# Usage: whole-path.sh FOLDER-OF-PROGRAMS
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 1
build=$(dirname "$1")
export BRONZESPAR_NET=9

number='(null|-?[0-9]+(\.[0-9]+)?(E-?[0-9]+)?)'
line='^\{"place":"consortium","seed":1,"fault":"none","requests":[0-9]+,"served":([0-9]+),"refused":[0-9]+,"unknown":[0-9]+'
for name in replica_read_share failover_gap_ms worst_account_share wrongful_refusals p50_ms p99_ms; do
  line+=",\"$name\":$number"
done
line+=',"violations":\{("[a-z_]+":0,?)+\}\}$'

status=0
output=$(tools/run-fleet.sh --build "$build" --place consortium --duration-s 3 --seed 1 2>&1) || status=$?
last=$(tail -n 1 <<<"$output")
if [ "$status" -ne 0 ]; then
  echo "FAILED: exit code $status"
elif ! [[ $last =~ $line ]]; then
  echo "FAILED: the last line is not the expected JSON"
elif [ "${BASH_REMATCH[1]}" -eq 0 ]; then
  echo "FAILED: nothing was served"
else
  echo "$last"
  exit 0
fi
echo "$output"
exit 1
