/* The right to use a group's primary while the store is unavailable.
 *
 * A host may use the primary while it holds its lease, or while it has votes of more
 * than half of the group's electors. A vote is an elector's statement, valid for a
 * limited time, that it knows no newer generation of the group's record. Before a
 * promotion, the coordinator waits, in addition to the conditions of primary_lease.pml,
 * until half of the electors have acknowledged the closed record. An elector that has
 * learnt of the closed record votes no more, and acknowledges once its earlier vote has
 * expired.
 *
 * A host that has had no answer from the store for a time limit must not rely on
 * electors either; after that limit the coordinator proceeds without their
 * acknowledgements.
 *
 * At any moment the store may answer all, some or none of the hosts. Messages may be
 * lost, hosts may restart at any step, and electors may be hosts that no longer exist.
 *
 * Broken variants, which the check must detect:
 *   BROKEN_QUORUM   half of the electors suffice to use the primary
 *   BROKEN_HOLDER   the coordinator does not wait for electors
 *   BROKEN_ACK      an elector acknowledges before its vote has expired
 *   BROKEN_RESTART  a restarted host votes before it has read the record
 *   BROKEN_LIMIT    the coordinator proceeds although hosts may still rely on electors
 */
#ifndef HOSTS
#define HOSTS 4
#endif
#ifdef BROKEN_QUORUM
#define QUORUM (HOSTS / 2)
#else
#define QUORUM (HOSTS / 2 + 1)
#endif

bool closed = false;
bool promoted = false;
bool leased[HOSTS];        /* holds a lease by its own clock; is registered as long */
bool has_read[HOSTS];      /* has read the record in this incarnation */
bool knows_closed[HOSTS];  /* knows that the record is closed */
bool acked[HOSTS];         /* has acknowledged the closed record in the store */
bool limit_passed[HOSTS];  /* has had no answer from the store for the time limit */

/* One host, USER, uses the primary. voted[h]: USER has a vote of host h that has not
 * expired. */
#define USER 0
bool voted[HOSTS];

#define VOTE_COUNT (voted[0] + voted[1] + voted[2] + voted[3])

inline use_primary() {
  if
  :: leased[USER] && has_read[USER] && !knows_closed[USER] -> assert(!promoted)
  :: has_read[USER] && !knows_closed[USER] && !limit_passed[USER] &&
     VOTE_COUNT >= QUORUM ->
     assert(!promoted)
  :: else
  fi
}

proctype host(byte h) {
  do
  /* Registers and reads the record. */
  :: atomic { !leased[h] ->
       leased[h] = true; limit_passed[h] = false; has_read[h] = true;
       if :: closed -> knows_closed[h] = true :: else fi }
  /* The lease expires, by the host's clock and then in the store. */
  :: atomic { leased[h] -> leased[h] = false; acked[h] = false }
  /* Has had no answer from the store for the time limit. */
  :: atomic { !leased[h] -> limit_passed[h] = true }
  /* Learns from its watch, at any time, that the record is closed. */
  :: atomic { leased[h] && closed -> knows_closed[h] = true }
#ifdef BROKEN_ACK
  :: atomic { leased[h] && knows_closed[h] -> acked[h] = true }
#else
  :: atomic { leased[h] && knows_closed[h] && !voted[h] -> acked[h] = true }
#endif
  /* Votes for USER; the vote expires. */
#ifdef BROKEN_RESTART
  :: atomic { !knows_closed[h] -> voted[h] = true }
#else
  :: atomic { has_read[h] && !knows_closed[h] -> voted[h] = true }
#endif
  :: atomic { voted[h] -> voted[h] = false }
  /* Restarts without memory; an earlier vote stays valid until it expires. */
  :: atomic { leased[h] = false; has_read[h] = false; knows_closed[h] = false;
              acked[h] = false; limit_passed[h] = false }
  :: h == USER -> atomic { use_primary() }
  od
}

#define HAS_STOPPED(h) (!leased[h] || acked[h])
#define ALL_STOPPED (HAS_STOPPED(0) && HAS_STOPPED(1) && \
                     HAS_STOPPED(2) && HAS_STOPPED(3))
#define ACK_COUNT (acked[0] + acked[1] + acked[2] + acked[3])
/* USER is registered in the store, or it may no longer rely on electors. */
#define LIMIT_PASSED (leased[USER] || limit_passed[USER] || !has_read[USER])

proctype coordinator() {
  atomic { closed = true }
  if
#ifdef BROKEN_HOLDER
  :: atomic { ALL_STOPPED -> promoted = true }
#else
  :: atomic { ALL_STOPPED && 2 * ACK_COUNT >= HOSTS -> promoted = true }
#endif
#ifdef BROKEN_LIMIT
  :: atomic { ALL_STOPPED -> promoted = true }
#else
  :: atomic { ALL_STOPPED && LIMIT_PASSED -> promoted = true }
#endif
  fi
}

init {
  atomic {
    byte h;
    for (h : 0 .. HOSTS - 1) { run host(h) }
    run coordinator()
  }
}
