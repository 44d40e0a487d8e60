#!/usr/bin/env bash
# Checks the model of the right to use primaries, and that the faults of its broken
# variants are found.
source "$(dirname "$0")/check.inc"
must_hold primary_lease
for variant in BROKEN_REGISTER BROKEN_ORDER BROKEN_LIST BROKEN_LEASE \
  BROKEN_TRANSACTION BROKEN_RENEWED BROKEN_CLOSING BROKEN_EXPECTED; do
  must_break primary_lease "$variant"
done
