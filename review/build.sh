#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review, with the packages that
# the project declares.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Ireview -pthread)
g++ "${flags[@]}" -c review/world.cc -o target/review/world.o
for source in review/[0-9]*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review/world.o -lboost_json \
    -o "target/review/case-$number"
done
