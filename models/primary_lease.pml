/* The right to use a group's primary, and the replacement of the primary.
 *
 * Hosts register in the store under a lease, read the group's record, and then use the
 * primary until they learn that the record is closed or until their lease ends. The
 * coordinator closes the record, reads the list of registered hosts, waits until each
 * of them has acknowledged or is no longer registered, and then promotes. Watches may
 * lag for any time, calls may be lost, and hosts may be suspended at any step.
 *
 * Callers open transactions at the primary. These go on while the host may use the
 * primary, and for a while after it has learnt of the closed record; it acknowledges
 * that only without transactions. A host keeps its transactions when its lease ends.
 *
 * A registration that is not answered may be made late, under the lease of an earlier
 * incarnation that lasts until any time. It expects the record that its incarnation
 * knew, so that the store refuses it once a later one has registered.
 *
 * Broken variants, which the check must detect:
 *   BROKEN_REGISTER  hosts use the primary without waiting for their registration
 *   BROKEN_ORDER     hosts read the record before they register
 *   BROKEN_LIST      the coordinator reads the hosts before it closes the record
 *   BROKEN_LEASE     a host measures its lease from the answer to its call, so that the
 *                    store may end the lease first
 *   BROKEN_TRANSACTION a transaction goes on without any check
 *   BROKEN_RENEWED     a transaction goes on under whatever lease the host holds
 *   BROKEN_EXPECTED    a registration is made whatever record stands there
 *   BROKEN_CLOSING     a host that registers while the record is closed takes it for one
 *                      whose closing waits for its acknowledgement
 */
#define HOSTS 2

bool closed = false;        /* the record in the store is closed */
bool promoted = false;      /* another target is primary */
bool listed[HOSTS];         /* registered in the store */
bool late[HOSTS];           /* a registration of an earlier incarnation is under way */
bool earlier[HOSTS];        /* the record is bound to the lease of an earlier incarnation */
bool acked[HOSTS];          /* has acknowledged the closed record in the store */
bool leased[HOSTS];         /* holds a lease by the host's own clock */
bool believes_open[HOSTS];  /* the host has last read the record as open */

bool closing[HOSTS];        /* the host has learnt that its record is being closed */
bool transaction[HOSTS];    /* open at the primary */

inline use_primary(h) {
  atomic {
    (leased[h] && believes_open[h]) -> assert(!promoted); transaction[h] = true
  }
}

#ifdef BROKEN_TRANSACTION
#define MAY_CONTINUE(h) true
#else
#ifdef BROKEN_RENEWED
#define MAY_CONTINUE(h) leased[h]
#else
#define MAY_CONTINUE(h) (leased[h] && (believes_open[h] || closing[h]))
#endif
#endif

proctype host(byte h) {
  bool read_open;
  bool registered;
new_incarnation:
  /* A new incarnation, or a new lease after one that ended: no state is kept. */
  atomic {
    believes_open[h] = false; acked[h] = false; registered = false; leased[h] = true;
    closing[h] = false
  }
#ifdef BROKEN_ORDER
  atomic { read_open = !closed }
#endif
  if
  :: atomic { listed[h] = true; registered = true;  /* the call succeeds */
       earlier[h] = false; acked[h] = false }
  :: skip                                           /* the call is lost, no effect */
  :: late[h] = true                                 /* it is made late, or never */
  fi;
#ifndef BROKEN_ORDER
  atomic { read_open = !closed }
#endif
#ifdef BROKEN_REGISTER
  believes_open[h] = read_open;
#else
  believes_open[h] = read_open && registered;
#endif
#ifdef BROKEN_CLOSING
  closing[h] = !read_open;
#endif
  do
  :: believes_open[h] && leased[h] -> use_primary(h)
  :: atomic { (transaction[h] && MAY_CONTINUE(h)) -> assert(!promoted) }
  :: transaction[h] -> transaction[h] = false        /* it ends */
  :: atomic { (closed && registered) -> /* the watch reports it, at any time */
       closing[h] = believes_open[h] || closing[h]; believes_open[h] = false }
  :: atomic { (closed && registered && !believes_open[h] && !transaction[h]) ->
       closing[h] = false;
       if :: listed[h] -> acked[h] = true :: else fi }
  :: leased[h] -> leased[h] = false; break           /* the lease ends by its clock */
  od;
  goto new_incarnation
}

#ifdef BROKEN_EXPECTED
#define MAY_WRITE(h) true
#else
#define MAY_WRITE(h) !listed[h]
#endif

/* The store ends a lease only after it has ended by the host's own clock. */
proctype store(byte h) {
  do
#ifdef BROKEN_LEASE
  :: atomic { listed[h] -> listed[h] = false; acked[h] = false }
#else
  :: atomic { (listed[h] && (!leased[h] || earlier[h])) ->
       listed[h] = false; acked[h] = false; earlier[h] = false }
#endif
  :: atomic { (late[h] && MAY_WRITE(h)) ->
       late[h] = false; listed[h] = true; earlier[h] = true; acked[h] = false }
  od
}

proctype coordinator() {
  bool awaited[HOSTS];
  byte h;
#ifdef BROKEN_LIST
  atomic { for (h : 0 .. HOSTS - 1) { awaited[h] = listed[h] } }
#endif
  atomic { closed = true }
#ifndef BROKEN_LIST
  atomic { for (h : 0 .. HOSTS - 1) { awaited[h] = listed[h] } }
#endif
  /* Hosts that register later read a closed record. */
  for (h : 0 .. HOSTS - 1) {
    if
    :: awaited[h] -> (acked[h] || !listed[h])
    :: else
    fi
  }
  promoted = true
}

init {
  atomic {
    byte h;
    for (h : 0 .. HOSTS - 1) { run host(h); run store(h) }
    run coordinator()
  }
}
