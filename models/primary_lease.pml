/* The right to use a group's primary, and its replacement.
 *
 * Hosts register in the store under a lease, read the group's record, and then use
 * the primary until they learn that the record is closed or their lease ends. The
 * holder of the duty closes the record, reads which hosts are registered, waits until
 * each has acknowledged or its registration is gone, and promotes. Watches may lag for
 * any time; calls may be lost; hosts may be suspended at any step.
 *
 * Variants that must be caught:
 *   BROKEN_REGISTER  hosts use the primary without waiting for their registration
 *   BROKEN_ORDER     hosts read the record before they register
 *   BROKEN_LIST      the holder reads the hosts before it closes the record
 *   BROKEN_LEASE     a host counts its lease from the answer, so that the store may
 *                    end it first
 */
#define HOSTS 2

bool closed = false;     /* the record in the store */
bool promoted = false;   /* another target leads */
bool listed[HOSTS];      /* registered in the store */
bool acked[HOSTS];       /* acknowledged in the store */
bool leased[HOSTS];      /* the host's own view of its lease */
bool usable[HOSTS];      /* the host believes that the record is open */

inline use_primary(h) {
  atomic {
    (leased[h] && usable[h]) -> assert(!promoted)
  }
}

proctype host(byte h) {
  bool read_open;
  bool registered;
again:
  /* A new incarnation, or a lease that was lost: nothing is known. */
  atomic { usable[h] = false; acked[h] = false; registered = false; leased[h] = true }
#ifdef BROKEN_ORDER
  atomic { read_open = !closed }
#endif
  if
  :: atomic { listed[h] = true; registered = true }  /* the call is answered */
  :: skip                                            /* it is lost, not carried out */
  fi;
#ifndef BROKEN_ORDER
  atomic { read_open = !closed }
#endif
#ifdef BROKEN_REGISTER
  usable[h] = read_open;
#else
  usable[h] = read_open && registered;
#endif
  do
  :: usable[h] && leased[h] -> use_primary(h)
  :: closed && registered -> /* the watch tells, at any time */
     usable[h] = false;
     atomic { if :: listed[h] -> acked[h] = true :: else fi }
  :: leased[h] -> leased[h] = false; break           /* its lease ends by its clock */
  od;
  goto again
}

/* The store ends leases; by the rule it does so after the host's own clock has. */
proctype store(byte h) {
  do
#ifdef BROKEN_LEASE
  :: atomic { listed[h] -> listed[h] = false; acked[h] = false }
#else
  :: atomic { (listed[h] && !leased[h]) -> listed[h] = false; acked[h] = false }
#endif
  od
}

proctype holder() {
  bool wait[HOSTS];
  byte h;
#ifdef BROKEN_LIST
  atomic { for (h : 0 .. HOSTS - 1) { wait[h] = listed[h] } }
#endif
  atomic { closed = true }
#ifndef BROKEN_LIST
  atomic { for (h : 0 .. HOSTS - 1) { wait[h] = listed[h] } }
#endif
  /* Hosts that register later read a closed record. */
  for (h : 0 .. HOSTS - 1) {
    if
    :: wait[h] -> (acked[h] || !listed[h])
    :: else
    fi
  }
  promoted = true
}

init {
  atomic {
    byte h;
    for (h : 0 .. HOSTS - 1) { run host(h); run store(h) }
    run holder()
  }
}
