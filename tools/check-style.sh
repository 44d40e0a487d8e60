#!/usr/bin/env bash
# Checks format and lint of all C++ files. Usage: check-style.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
jobs=${JOBS:-$(nproc)}

mapfile -t files < <(git ls-files '*.cpp' '*.hpp' | grep -v generated)
clang-format --dry-run -Werror "${files[@]}"
echo "format: ${#files[@]} files checked"

mapfile -t sources < <(git ls-files '*.cpp' | grep -v -e generated -e '^tests/catch_main')
printf '%s\n' "${sources[@]}" |
  xargs -P "$jobs" -n 4 tools/lint-files.sh "$build"
echo "lint: ${#sources[@]} files checked"
