#!/usr/bin/env bash
# Checks that names of the platform's protocol occur only in platform/ and in no
# other header, source or program, and that platform/ stays small.
# Usage: platform-names.sh FOLDER-OF-PROGRAMS
set -uo pipefail
cd "$(dirname "$0")/../.."

names='kv-(key|range|watch|txn|lease|keep)|BRONZESPAR_NODE_FILE|X-Lease-Holder'
names+='|X-Fence-Token|Store-Era|StaleOk|MorePages|CurrentRev|"op/|"servers/|readyz'
names+='|MaxStalenessMs|TxIdleMs|RatePerS"|ApiKeys|DbRole|"STARTUP|"READONLY'
names+='|"STEPDOWN|"LAGGING|"WRONGNODE|"NOSTMT'
found=$(grep -rnE "$names" include src programs --include='*.hpp' --include='*.cpp')
if [ -n "$found" ]; then
  echo "FAILED: names of the platform outside platform/:"
  echo "$found"
  exit 1
fi
lines=$(cat platform/*.cpp platform/*.hpp | wc -l)
if [ "$lines" -gt 2200 ]; then
  echo "FAILED: platform/ has grown to $lines lines; what decides belongs in src/"
  exit 1
fi
echo "platform/: $lines lines, no name of its outside"
