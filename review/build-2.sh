#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into
# target/review-2. The project's own program is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -I review/stand-2)
if [ review/stand-2/stand.cc -nt "$out/stand.o" ] || [ review/stand-2/stand.hh -nt "$out/stand.o" ]; then
  g++ "${flags[@]}" -c review/stand-2/stand.cc -o "$out/stand.o"
fi
for script in review/stand-2/*.cc; do
  name=$(basename "$script" .cc)
  [ "$name" = stand ] && continue
  g++ "${flags[@]}" "$script" "$out/stand.o" -o "$out/$name" -lboost_json -lpthread &
done
for job in $(jobs -p); do wait "$job"; done
