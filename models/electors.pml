/* The right to use a group's primary while the store answers nobody.
 *
 * Beside its lease, a host may use the primary while more than half of the group's
 * electors vouch that they know no newer generation of its record. Whoever promotes
 * waits, beside what primary_lease.pml shows, until half of the electors have
 * acknowledged the closed record. An elector that has learnt of it vouches no more, and
 * acknowledges when what it vouched has lapsed.
 *
 * A host that has not heard the store for long may not rely on electors either, and
 * the holder then goes on without them (the limit).
 *
 * The store may answer some hosts, all or none at any moment; messages may be lost;
 * hosts may restart at any step, and electors may be hosts that are gone.
 *
 * Variants that must be caught:
 *   BROKEN_QUORUM   half of the electors suffice to use the primary
 *   BROKEN_HOLDER   the holder does not wait for electors
 *   BROKEN_ACK      an elector acknowledges while what it vouched is still in use
 *   BROKEN_RESTART  a restarted host vouches before it has read the record
 *   BROKEN_LIMIT    the holder goes on although hosts may still rely on electors
 */
#ifndef HOSTS
#define HOSTS 4
#endif
#ifdef BROKEN_QUORUM
#define ENOUGH (HOSTS / 2)
#else
#define ENOUGH (HOSTS / 2 + 1)
#endif

bool closed = false;
bool promoted = false;
bool leased[HOSTS];   /* the host's own view of its lease; registered as long */
bool knows[HOSTS];    /* has read the record in this incarnation */
bool stopped[HOSTS];  /* knows that the record is closed */
bool acked[HOSTS];    /* acknowledged in the store */
bool away_over[HOSTS];/* has not heard the store for the limit */

/* What each host vouched to the user, one of the hosts; in use until it lapses. */
#define USER 0
bool vouched[HOSTS];

#define VOUCHES (vouched[0] + vouched[1] + vouched[2] + vouched[3])

inline user_acts() {
  if
  :: leased[USER] && knows[USER] && !stopped[USER] -> assert(!promoted)
  :: knows[USER] && !stopped[USER] && !away_over[USER] && VOUCHES >= ENOUGH ->
     assert(!promoted)
  :: else
  fi
}

proctype host(byte h) {
  do
  /* Registers and reads the record. */
  :: atomic { !leased[h] ->
       leased[h] = true; away_over[h] = false; knows[h] = true;
       if :: closed -> stopped[h] = true :: else fi }
  /* The lease lapses, by the host's clock and then in the store. */
  :: atomic { leased[h] -> leased[h] = false; acked[h] = false }
  /* Is silent for the limit. */
  :: atomic { !leased[h] -> away_over[h] = true }
  /* The watch tells, at any time. */
  :: atomic { leased[h] && closed -> stopped[h] = true }
#ifdef BROKEN_ACK
  :: atomic { leased[h] && stopped[h] -> acked[h] = true }
#else
  :: atomic { leased[h] && stopped[h] && !vouched[h] -> acked[h] = true }
#endif
  /* Vouches for the user; what was vouched lapses. */
#ifdef BROKEN_RESTART
  :: atomic { !stopped[h] -> vouched[h] = true }
#else
  :: atomic { knows[h] && !stopped[h] -> vouched[h] = true }
#endif
  :: atomic { vouched[h] -> vouched[h] = false }
  /* Restarts: knows nothing; what it vouched is in use until it lapses. */
  :: atomic { leased[h] = false; knows[h] = false; stopped[h] = false;
              acked[h] = false; away_over[h] = false }
  :: h == USER -> atomic { user_acts() }
  od
}

#define LISTED_STOPPED(h) (!leased[h] || acked[h])
#define ALL_STOPPED (LISTED_STOPPED(0) && LISTED_STOPPED(1) && \
                     LISTED_STOPPED(2) && LISTED_STOPPED(3))
#define ACKS (acked[0] + acked[1] + acked[2] + acked[3])
/* No host that is not listed has been heard within the limit. */
#define LIMIT_PASSED (leased[USER] || away_over[USER] || !knows[USER])

proctype holder() {
  atomic { closed = true }
  if
#ifdef BROKEN_HOLDER
  :: atomic { ALL_STOPPED -> promoted = true }
#else
  :: atomic { ALL_STOPPED && 2 * ACKS >= HOSTS -> promoted = true }
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
    run holder()
  }
}
