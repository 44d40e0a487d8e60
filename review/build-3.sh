#!/bin/bash
# Builds the stand-ins and the scripts' programs of the third review, into
# target/review-3. Run it in the repository after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.cc; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -pthread -o "target/review-3/case-$number" "$case" &
  builds+=($!)
done
for build in "${builds[@]}"; do
  wait "$build"
done
