#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into
# target/review-2. The project's own program is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1)
g++ "${flags[@]}" -c review/stand-2.cc -o "$out/stand.o"
jobs=()
for number in 6 7 8 9 10; do
  g++ "${flags[@]}" "review/$number/case.cc" "$out/stand.o" \
    -o "$out/case-$number" -lboost_json -lpthread &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
