/* Changes of a group's record that are not answered and may be made late.
 *
 * A coordinator closes the record, may send a change that opens it for the same
 * primary, and may get no answer to that. The store makes a change, at any later
 * time, if the record still has the revision that the change expects. The
 * coordinator, or another one that follows it, then changes the primary: it writes
 * the closed record itself, goes on once the store has confirmed that, and orders
 * the promotion.
 *
 * Checked: the record is never open for the old primary after the order.
 *
 * Broken variants, which the check must detect:
 *   BROKEN_FENCE     the closed record is taken as it is found
 *   BROKEN_CONFIRM   the order does not wait until the closed record is written
 *   BROKEN_EXPECTED  changes are made whatever the record's revision is
 */
#define CHANGES 4   /* changes that coordinators send, at most */
#define SLOTS 5     /* keeps an index of CHANGES within the arrays */

byte revision = 1;
bool open = true;
bool ordered = false;

bool sent[SLOTS];      /* the store has not made or refused the change yet */
byte expected[SLOTS];  /* revision that the change expects */
bool opens[SLOTS];     /* what it writes */
bool made[SLOTS];      /* the store has made it */
bool refused[SLOTS];
byte used = 0;           /* changes that have been sent */

inline send_change(opening) {
  atomic { expected[used] = revision; opens[used] = opening; sent[used] = true; used++ }
}

#ifdef BROKEN_EXPECTED
#define HOLDS(c) true
#else
#define HOLDS(c) (expected[c] == revision)
#endif

/* Makes a change at any time after it was sent. */
proctype store(byte c) {
end:
  atomic { sent[c] ->
    if
    :: HOLDS(c) -> revision++; open = opens[c]; made[c] = true
    :: !HOLDS(c) -> refused[c] = true
    fi;
    sent[c] = false;
    assert(!(ordered && open))
  }
}

proctype coordinators() {
  byte last;
  /* Closes the record to replace electors, and opens it again. */
  send_change(false);
  made[0] || refused[0];
  send_change(true);
  if
  :: made[1] -> goto done     /* answered: the primary is used again */
  :: skip                     /* no answer, or another coordinator follows */
  fi;
retry:
  /* The record, as read now, decides. */
  if
  :: open -> goto done
  :: !open
  fi;
#ifndef BROKEN_FENCE
  if
  :: used == CHANGES -> goto done
  :: used < CHANGES -> last = used; send_change(false)
  fi;
#ifndef BROKEN_CONFIRM
  if
  :: made[last]
  :: refused[last] -> goto retry
  :: skip -> goto retry       /* no answer */
  fi;
#endif
#endif
  ordered = true;
  assert(!open);
done:
  skip
}

init {
  atomic {
    byte c;
    for (c : 0 .. CHANGES - 1) { run store(c) }
    run coordinators()
  }
}
