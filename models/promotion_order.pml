/* Orders to promote, which are lost, unanswered or carried out late, and who leads
 * after them (docs/design/promotion-orders.md).
 *
 * Three targets; a leads first. The platform carries out an order once, some steps after
 * it was sent, or never; one that it has accepted, it carries out. An order of the target
 * that leads changes nothing, any other makes its target lead the next term. A target
 * that led calls itself primary of its old term until any later moment.
 *
 * A coordinator closes the group's record, names a target and the term in which it calls
 * itself primary (0: a replica) in the closed record, orders its promotion, and opens the
 * record again. Another coordinator takes over at any step; the former one goes on, as it
 * doesn't know that, but the store makes changes for the holder of the role only, and
 * orders leave for the holder only. A question to a target may be unanswered, so that a
 * coordinator learns of any target only by chance.
 *
 * The store makes a change at any time after it was sent, or never, with an answer or
 * without. A change expects the record's revision: once one is made, the store refuses
 * all others that were sent before. Of these at most one can be made, so that the model
 * keeps the last one that closes or names, and the last one that opens, of each
 * coordinator. A coordinator reads the record and decides in one step, as a decision on
 * an older revision ends in a refused change.
 *
 * That the time is over in which an order may be under way is modelled as: none is queued
 * at the coordinator that has the role, and the platform can carry out none.
 *
 * Checked: the record is open for no target but the leader, and the platform never has
 * two orders that it may carry out.
 *
 * Broken variants, which the check must detect by the first of these alone (OPEN_ONLY), and
 * BROKEN_SECOND, BROKEN_WAIT and BROKEN_ROLE by the second, too:
 *   BROKEN_CONFIRM    the order does not wait until the store has confirmed its name
 *   BROKEN_NAME       the record does not name the order
 *   BROKEN_TERM       the record names the target without its term
 *   BROKEN_RETURN     the successor returns to the old primary although an order is named
 *   BROKEN_HIGHEST    a target that calls itself primary in the highest term among the
 *                     answers is taken, whichever was ordered last
 *   BROKEN_SECOND     an order is named while one of the same coordinator is under way
 *   BROKEN_WAIT       the successor does not wait for its predecessor's order
 *   BROKEN_ROLE       an order leaves after its coordinator has lost the role
 *   BROKEN_UNANSWERED an order without an answer counts as accepted
 *   BROKEN_EARLY      a target that led already is taken while its order is under way
 *   BROKEN_ACCEPTED   the platform loses an order that it has accepted: what the rule for a
 *                     target that led already rests on
 *   BROKEN_EXPECTED   the change that opens the record is made whatever its revision is
 *   BROKEN_CHOICE     the named term is that of any earlier answer of the target
 *   BROKEN_PROOF      any earlier answer of the target proves that it leads
 *
 * So that the check isn't passed by doing nothing, these states must be reached (an
 * assertion fails there): the record is opened
 *   REACHED_TAKEOVER  by the successor, for the target of its predecessor's order
 *   REACHED_LOST      after an order that was lost
 *   REACHED_RETURN    for the old primary, which leads a later term by an order, after
 *                     another target led
 *   REACHED_PRESENT   for the old primary, which an order did not change
 *   REACHED_LATE      for the target of the last order of the model
 */
#define TARGETS 3
#define NONE 3              /* no target */
#define ORDERS 4            /* that leave, at most */

/* The targets and the platform. */
byte leader = 0;
byte highest = 1;           /* term of the leader */
byte term[TARGETS];         /* in which a target calls itself primary; 0: a replica */
byte accepted[TARGETS];     /* accepted orders that are not carried out yet */
byte unanswered[TARGETS];   /* orders that the platform carries out later, or never */
byte used = 0;              /* orders that have left */

/* The record. */
bool open = true;
byte primary = 0;           /* for which it was opened last */
byte named = NONE;          /* target of the latest order since it was closed */
byte named_term = 0;

/* The coordinators, 0 and 1, and their changes that the store may still make. */
byte holder = 0;            /* of the role */
bool closes[2];             /* a change that closes the record and names... */
byte names[2] = NONE;       /* ...this target, or none */
byte names_term[2];
bool awaits[2];             /* the coordinator waits for that change's answer */
bool confirmed[2];
byte opens[2] = NONE;       /* a change that opens the record for this target */
byte queued[2] = NONE;      /* an order that has not left */
bool taken[2];              /* the platform has accepted its order that is named */

#ifdef BROKEN_CHOICE
#define EARLIER
#endif
#ifdef BROKEN_PROOF
#define EARLIER
#endif
#ifdef EARLIER
byte earlier[TARGETS];      /* an answer at any moment */
#endif

/* For broken variants and states to reach only. */
byte sender = 0;            /* of the latest order */
bool lost = false;          /* an order was lost since the record was closed */

#define OUTSTANDING (accepted[0] + accepted[1] + accepted[2] + \
  unanswered[0] + unanswered[1] + unanswered[2])

#define ANY_UNDER_WAY(c) (OUTSTANDING > 0 || queued[c] != NONE)
#define OWN_UNDER_WAY(c) (OUTSTANDING > 0 && sender == c || queued[c] != NONE)
#define OTHERS_UNDER_WAY(c) (OUTSTANDING > 0 && sender != c)
#ifdef BROKEN_WAIT
#define UNDER_WAY(c) OWN_UNDER_WAY(c)
#else
#ifdef BROKEN_SECOND
#define UNDER_WAY(c) OTHERS_UNDER_WAY(c)
#else
#define UNDER_WAY(c) ANY_UNDER_WAY(c)
#endif
#endif

#ifdef BROKEN_EARLY
#define MAY_TAKE(c) true
#else
#define MAY_TAKE(c) !UNDER_WAY(c)
#endif

#ifdef BROKEN_ROLE
#define MAY_SEND(c) true
#else
#define MAY_SEND(c) (holder == c)
#endif

#ifdef BROKEN_TERM
#define LATER(t) (t > 0)
#else
#define LATER(t) (t > named_term)
#endif

#ifdef BROKEN_PROOF
#define PROVED(x) (LATER(term[x]) || LATER(earlier[x]))
#else
#define PROVED(x) LATER(term[x])
#endif

inline check_record() { assert(!open || primary == leader) }

inline carry_out(x) {
  if
  :: leader == x
  :: else -> highest++; term[x] = highest; leader = x
  fi;
  check_record()
}

/* What becomes of a target, and of its orders at the platform. */
proctype target(byte x) {
end:
  do
  :: atomic { accepted[x] > 0 -> accepted[x]--; carry_out(x) }
  :: atomic { unanswered[x] > 0 -> unanswered[x]--; carry_out(x) }
  :: atomic { unanswered[x] > 0 -> unanswered[x]--; lost = true }
#ifdef BROKEN_ACCEPTED
  :: atomic { accepted[x] > 0 -> accepted[x]-- }
#endif
  :: atomic { (term[x] > 0 && leader != x) -> term[x] = 0 }
#ifdef EARLIER
  :: atomic { earlier[x] != term[x] -> earlier[x] = term[x] }
#endif
  od
}

/* A change was made: the others expect an earlier revision. */
inline refuse_others() {
  closes[0] = false; names[0] = NONE; names_term[0] = 0;
  closes[1] = false; names[1] = NONE; names_term[1] = 0;
#ifndef BROKEN_EXPECTED
  opens[0] = NONE; opens[1] = NONE;
#endif
  taken[0] = false; taken[1] = false
}

inline reached() {
#ifdef REACHED_TAKEOVER
  assert(!(holder == 1 && named != NONE && named != primary && used == 1 && sender == 0));
#endif
#ifdef REACHED_LOST
  assert(!(named != NONE && lost));
#endif
#ifdef REACHED_RETURN
  assert(!(named == primary && named == opens[holder] && highest > 2));
#endif
#ifdef REACHED_PRESENT
  assert(!(named == primary && named == opens[holder] && highest == 1));
#endif
#ifdef REACHED_LATE
  assert(!(named != NONE && used == ORDERS && leader == opens[holder] && highest > ORDERS));
#endif
  skip
}

/* Makes or refuses changes of a coordinator. */
proctype store(byte c) {
end:
  do
  :: atomic { (closes[c] && holder == c) ->
       if :: awaits[c] -> confirmed[c] = true :: true fi;
       if :: open -> lost = false :: else fi;
       open = false; named = names[c]; named_term = names_term[c];
       refuse_others()
     }
  :: atomic { (opens[c] != NONE && holder == c) ->
       reached();
       open = true; primary = opens[c]; named = NONE; named_term = 0; opens[c] = NONE;
       refuse_others();
       check_record()
     }
  od
}

/* Orders leave, or are given up. */
proctype link(byte c) {
end:
  do
  :: atomic { (queued[c] != NONE && MAY_SEND(c) && used < ORDERS) ->
       used++; sender = c;
       if
       :: accepted[queued[c]]++; taken[c] = (named == queued[c])
       :: unanswered[queued[c]]++;
#ifdef BROKEN_UNANSWERED
          taken[c] = (named == queued[c])
#endif
       fi;
       queued[c] = NONE;
#ifndef OPEN_ONLY
       assert(OUTSTANDING <= 1)
#endif
     }
  :: atomic { queued[c] != NONE -> queued[c] = NONE }
  od
}

proctype coordinator(byte c) {
  byte x = 0;
end:
  holder == c;
end_loop:
  do
  /* The record is closed, by a change that names nothing. */
  :: atomic { open -> closes[c] = true; names[c] = NONE; names_term[c] = 0 }
  /* Without a name no order was sent. */
  :: atomic { (!open && named == NONE) -> opens[c] = primary }
#ifdef BROKEN_RETURN
  :: atomic { (!open && c == 1 && term[primary] > 0 && !UNDER_WAY(c)) -> opens[c] = primary }
#endif
#ifdef BROKEN_HIGHEST
  :: atomic { !open ->
       if :: x = 0 :: x = 1 :: x = 2 fi;
       if :: (x != primary && term[x] > 0) -> opens[c] = x :: else fi;
       x = 0 }
#endif
  /* The target of the latest order leads by it. */
  :: atomic { (!open && named != NONE && PROVED(named)) -> opens[c] = named }
  /* It led already. */
  :: atomic { (!open && named != NONE && taken[c] && MAY_TAKE(c) && term[named] > 0) ->
       opens[c] = named }
  /* A target that answers is chosen and named. */
  :: atomic { (!open && (named == NONE || !UNDER_WAY(c)) && used < ORDERS) ->
       if :: x = 0 :: x = 1 :: x = 2 fi;
#ifdef BROKEN_NAME
       queued[c] = x; x = 0
#else
       closes[c] = true; names[c] = x; awaits[c] = true;
#ifdef BROKEN_CHOICE
       if :: names_term[c] = term[x] :: names_term[c] = earlier[x] fi;
#else
       names_term[c] = term[x];
#endif
       x = 0
#endif
     };
#ifndef BROKEN_NAME
#ifdef BROKEN_CONFIRM
     atomic { queued[c] = names[c]; awaits[c] = false }
#else
     if
     :: atomic { confirmed[c] -> queued[c] = named; confirmed[c] = false; awaits[c] = false }
     :: atomic { confirmed[c] = false; awaits[c] = false }  /* no answer */
     fi
#endif
#endif
  od
}

/* The second coordinator takes over at any moment. */
proctype role() {
end:
  holder = 1
}

init {
  atomic {
    byte i;
    term[0] = 1;
    for (i : 0 .. TARGETS - 1) { run target(i) }
    for (i : 0 .. 1) { run store(i); run link(i); run coordinator(i) }
    run role()
  }
}
