#!/usr/bin/env bash
# Checks the model of changes that are made late, and that the faults of its broken
# variants are found.
source "$(dirname "$0")/check.inc"
must_hold late_change
for variant in BROKEN_FENCE BROKEN_CONFIRM BROKEN_EXPECTED; do
  must_break late_change "$variant"
done
