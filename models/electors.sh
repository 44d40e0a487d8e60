#!/usr/bin/env bash
# Checks the model of electors during an outage of the store, and that the faults of its
# broken variants are found.
source "$(dirname "$0")/check.inc"
must_hold electors
for variant in BROKEN_QUORUM BROKEN_HOLDER BROKEN_ACK BROKEN_RESTART BROKEN_LIMIT; do
  must_break electors "$variant"
done
