/* Orders to promote that wait before they are sent, and the coordinator role.
 *
 * A coordinator decides orders and queues them: the platform is slow, or the process is
 * suspended. Meanwhile its lease may end, or it is stopped and returns the role. Its
 * successor claims the role when the key is gone. After a lease that ended, it waits
 * until orders that were sent under that lease have arrived; a role that was returned
 * is free at once.
 *
 * Checked: the platform never receives an order of the earlier coordinator after one of
 * its successor.
 *
 * Broken variants, which the check must detect:
 *   BROKEN_QUEUE   the lease and the role are checked when an order is decided only
 *   BROKEN_RETURN  the role is returned while an order is under way
 *   BROKEN_WAIT    the successor does not wait after a lease that ended
 */
#define ORDERS 3

bool leased = true;         /* by the first coordinator's own clock */
bool role = true;           /* the first coordinator has the role, as it knows */
bool returned = false;
byte holder = 1;            /* of the key in the store; 0: nobody */
byte queued = 0;
bool sent = false;          /* an order is under way to the platform */
byte highest = 0;           /* token that the platform has received */

#ifdef BROKEN_QUEUE
#define MAY_SEND true
#else
#define MAY_SEND (leased && role)
#endif

#ifdef BROKEN_RETURN
#define MAY_RETURN true
#else
#define MAY_RETURN !sent
#endif

proctype first() {
  byte decided = 0;
  do
  :: atomic { (leased && role && decided < ORDERS) -> decided++; queued++ }
  :: atomic { (queued > 0 && !sent) ->
       queued--;
       if
       :: MAY_SEND -> sent = true
       :: else
       fi
     }
  :: atomic { (leased && role && MAY_RETURN) -> role = false; returned = true; holder = 0 }
  :: atomic { leased -> leased = false }
  :: (!leased && queued == 0) -> break
  od
}

/* The store ends the lease only after it has ended by the host's own clock. */
proctype store() {
end:
  atomic { (!leased && holder == 1) -> holder = 0 }
}

proctype platform() {
end:
  do
  :: atomic { sent -> assert(highest < 2); highest = 1; sent = false }
  od
}

proctype successor() {
end:
  atomic { holder == 0 -> holder = 2 };
#ifndef BROKEN_WAIT
  (returned || !sent);
#endif
  highest = 2
}

init {
  atomic { run first(); run store(); run platform(); run successor() }
}
