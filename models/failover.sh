#!/usr/bin/env bash
# Checks the failover model, and that the faults of its broken variants are found.
source "$(dirname "$0")/check.inc"
must_hold failover
for variant in BROKEN_GRANT BROKEN_CONFIRM BROKEN_CHOICE BROKEN_NAME; do
  must_break failover "$variant"
done
