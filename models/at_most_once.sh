#!/usr/bin/env bash
# Checks the at-most-once model, and that the faults of its broken variants are found.
source "$(dirname "$0")/check.inc"
must_hold at_most_once
for variant in BROKEN_RESEND BROKEN_OUTCOME BROKEN_KEY BROKEN_ANSWER; do
  must_break at_most_once "$variant"
done
