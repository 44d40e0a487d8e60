#!/usr/bin/env bash
# Checks the model of orders that wait before they are sent, and that the faults of its
# broken variants are found.
source "$(dirname "$0")/check.inc"
must_hold queued_order
for variant in BROKEN_QUEUE BROKEN_RETURN BROKEN_WAIT; do
  must_break queued_order "$variant"
done
