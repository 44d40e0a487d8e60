#!/usr/bin/env bash
# Checks that each program prints its help and its version and exits with 2 on
# wrong arguments. Usage: wrong-use.sh FOLDER-OF-PROGRAMS
set -uo pipefail
bin=$1
failures=0

# expect STATUS PATTERN PROGRAM ARGUMENT...: runs the program; its exit code must
# be STATUS and some line of its output must match PATTERN.
expect() {
  local status=$1 pattern=$2 output actual=0
  shift 2
  output=$(timeout 10 "$bin/$1" "${@:2}" 2>&1) || actual=$?
  if [ "$actual" -ne "$status" ]; then
    echo "FAILED: $*: exit code $actual instead of $status: $output"
    failures=$((failures + 1))
  elif ! grep -qi -e "$pattern" <<<"$output"; then
    echo "FAILED: $*: no '$pattern' in: $output"
    failures=$((failures + 1))
  fi
}

for program in bronzespard bronzespar bronzespar-sessiond bronzespar-load bronzespar-standin-platform \
  bronzespar-standin-target bronzespar-standin-network; do
  if [ ! -x "$bin/$program" ]; then
    echo "FAILED: $bin/$program is missing"
    failures=$((failures + 1))
    continue
  fi
  expect 0 usage "$program" --help
  expect 0 '[0-9]\.[0-9]' "$program" --version
  expect 2 . "$program" --no-such-option
  expect 2 . "$program"
done
expect 2 . bronzespar no-such-command
expect 2 'fault sharks is not built' bronzespar-load --run /dev/null --fault sharks
expect 2 duration bronzespar-load --run /dev/null --duration-s 0
expect 2 seed bronzespar-load --run /dev/null --seed many
expect 2 . bronzespard --config
expect 2 'cannot read' bronzespar explain 77aa --log /nonexistent
expect 1 'names request 77aa' bronzespar explain 77aa --log /dev/null

[ "$failures" -eq 0 ] && echo "all programs passed"
exit $((failures > 0))
