#!/usr/bin/env bash
# Installs the Debian packages that the project needs; does nothing when all
# of them are there.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t packages < tools/packages.txt
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
