#!/usr/bin/env bash
# Runs clang-tidy over some files; prints only findings.
# Usage: lint-files.sh BUILD_DIR FILE...
set -uo pipefail
build=$1
shift
output=$(clang-tidy -quiet -p "$build" "$@" 2>&1)
status=$?
if [ "$status" -ne 0 ]; then
  grep -v 'warnings generated' <<<"$output"
  exit 1
fi
