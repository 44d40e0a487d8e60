#!/usr/bin/env bash
# Checks that the runner rejects wrong arguments with exit code 2 before it
# starts anything.
# Usage: runner-use.sh FOLDER-OF-PROGRAMS
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 1
build=$(dirname "$1")
failures=0

refuses() {
  local pattern=$1 output status=0
  shift
  output=$(tools/run-fleet.sh --build "$build" "$@" 2>&1) || status=$?
  if [ "$status" -ne 2 ] || ! grep -q -e "$pattern" <<<"$output"; then
    echo "FAILED: run-fleet.sh $*: exit code $status: $output"
    failures=$((failures + 1))
  fi
}

refuses '^bronzespar: fault sharks is not built$' --fault sharks
refuses 'no place atlantis' --place atlantis
refuses 'whole number' --duration-s ten
refuses 'whole number' --duration-s 1
refuses 'whole number' --seed x
refuses 'unknown option' --frequency 3
refuses 'needs a value' --seed
BRONZESPAR_NET=300 refuses 'BRONZESPAR_NET' --seed 1
tools/run-fleet.sh --help | grep -q -- --fault || failures=$((failures + 1))

[ "$failures" -eq 0 ] && echo "the runner passed"
exit $((failures > 0))
