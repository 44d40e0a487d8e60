#!/usr/bin/env bash
# Checks the model of orders to promote, that the faults of its broken variants are found,
# and that it reaches the states that it must reach.
source "$(dirname "$0")/check.inc"
must_hold promotion_order
# Each fault opens the record for a target that does not lead; OPEN_ONLY leaves out the
# other assertion, which would be violated first.
for variant in BROKEN_CONFIRM BROKEN_NAME BROKEN_TERM BROKEN_RETURN BROKEN_HIGHEST \
  BROKEN_SECOND BROKEN_WAIT BROKEN_ROLE BROKEN_UNANSWERED BROKEN_EARLY BROKEN_ACCEPTED \
  BROKEN_EXPECTED BROKEN_CHOICE BROKEN_PROOF; do
  must_break promotion_order "$variant -DOPEN_ONLY"
done
for variant in BROKEN_SECOND BROKEN_WAIT BROKEN_ROLE; do
  must_break promotion_order "$variant"
done
# No faults: "is caught" says here that the state is reached.
for state in REACHED_TAKEOVER REACHED_LOST REACHED_RETURN REACHED_PRESENT REACHED_LATE; do
  must_break promotion_order "$state"
done
