/* Failover of one group: members that grant terms and keep logs, two
 * coordinators, either of which may stop or restart at any step, and
 * acknowledgement of a write once a majority confirms it in the entry's term.
 *
 * A log is a sequence of entry terms; (index, term) identifies an entry. A
 * coordinator and a member exchange a message in one step. A lost message is a
 * step that is not taken; a delayed message is a step that is taken later, with
 * the sender's state at the time of sending. The platform's record is omitted:
 * safety does not depend on it, because no step reads it.
 *
 * Broken variants, which the check must detect:
 * -DBROKEN_GRANT    a member grants a term to a second coordinator
 * -DBROKEN_CONFIRM  confirmation ignores the member's term
 * -DBROKEN_CHOICE   any granting member is chosen, not the most recent one
 * -DBROKEN_NAME     a restarted coordinator keeps its name, although it no
 *                   longer knows which terms it requested
 */

#define MEMBERS 3
#define MAJORITY 2
#define COORDINATORS 2
#define MAX_TERM 4   /* terms 1 (initial) to MAX_TERM - 1 are used */
#define MAX_LOG 2
#define WRITES 2
#define NOBODY 255

#define REPLICA 0
#define PRIMARY 1
#define FENCED 2

typedef member_log { byte entry[MAX_LOG]; byte length };
typedef member {
  byte role;
  byte term;
  byte coordinator;  /* the one to which the member granted term */
  byte follows
};

member Member[MEMBERS];
member_log Log[MEMBERS];

byte PrimaryOf[MAX_TERM];   /* member promoted in each term, or NOBODY */
byte AckedTerm[MAX_LOG];    /* term of the acknowledged entry at an index, or 0 */
byte WritesLeft = WRITES;
byte NextName = COORDINATORS; /* next unused coordinator name */
byte RestartsLeft = 1;      /* remaining restarts of coordinators */

#define LAST_TERM(M) (Log[M].length == 0 -> 0 : Log[M].entry[Log[M].length - 1])
#define MORE_RECENT(A, B) (LAST_TERM(A) > LAST_TERM(B) || \
  (LAST_TERM(A) == LAST_TERM(B) && Log[A].length > Log[B].length))

/* A new primary has all entries that were acknowledged in earlier terms. If its
 * coordinator was paused, it may be promoted in a term that a majority has
 * already left; it then cannot confirm any write. */
inline checkPromoted(M, OwnTerm) {
  J = 0;
  do
  :: J < MAX_LOG ->
     assert(AckedTerm[J] == 0 || AckedTerm[J] >= OwnTerm ||
            (Log[M].length > J && Log[M].entry[J] == AckedTerm[J]));
     J++
  :: else -> break
  od;
  J = 0
}

/* An acknowledged entry is in the log of every primary of a later term. */
inline checkAcknowledged(I, AckTerm) {
  T = AckTerm + 1;
  do
  :: T < MAX_TERM ->
     assert(PrimaryOf[T] == NOBODY ||
            (Log[PrimaryOf[T]].length > I &&
             Log[PrimaryOf[T]].entry[I] == AckTerm));
     T++
  :: else -> break
  od;
  T = 0
}

/* The primary M appends an entry of its term to its log. */
inline logWrite(M) {
  Log[M].entry[Log[M].length] = Member[M].term;
  Log[M].length++;
  WritesLeft--
}
#define MAY_WRITE(M) (Member[M].role == PRIMARY && WritesLeft > 0 && \
  Log[M].length < MAX_LOG)

/* The replica M removes the entries that its primary P does not have, or appends
 * the next entry of P. */
#define MAY_PULL(M, P) (Member[M].role == REPLICA && Member[M].follows == P && \
  Member[P].role == PRIMARY && Member[P].term == Member[M].term)
inline pull(M, P) {
  CommonLength = 0;
  do
  :: CommonLength < Log[M].length && CommonLength < Log[P].length &&
     Log[M].entry[CommonLength] == Log[P].entry[CommonLength] -> CommonLength++
  :: else -> break
  od;
  if
  :: Log[M].length > CommonLength ->
     do
     :: Log[M].length > CommonLength ->
        Log[M].length--;
        Log[M].entry[Log[M].length] = 0
     :: else -> break
     od
  :: else ->
     if
     :: Log[P].length > CommonLength ->
        Log[M].entry[CommonLength] = Log[P].entry[CommonLength];
        Log[M].length++
     :: else
     fi
  fi;
  CommonLength = 0
}

proctype members() {
  byte CommonLength;
end:
  do
  :: atomic { MAY_WRITE(0) -> logWrite(0) }
  :: atomic { MAY_WRITE(1) -> logWrite(1) }
  :: atomic { MAY_WRITE(2) -> logWrite(2) }
  :: d_step { MAY_PULL(0, 1) -> pull(0, 1) }
  :: d_step { MAY_PULL(0, 2) -> pull(0, 2) }
  :: d_step { MAY_PULL(1, 0) -> pull(1, 0) }
  :: d_step { MAY_PULL(1, 2) -> pull(1, 2) }
  :: d_step { MAY_PULL(2, 0) -> pull(2, 0) }
  :: d_step { MAY_PULL(2, 1) -> pull(2, 1) }
  od
}

/* A host acknowledges the entry at Index, logged in Term, once a majority has it.
 * It observes the members one after the other; each must be in exactly Term. */
#ifdef BROKEN_CONFIRM
#define CONFIRMS(M) (Log[M].length > Index && Log[M].entry[Index] == Term)
#else
#define CONFIRMS(M) (Log[M].length > Index && Log[M].entry[Index] == Term && \
  Member[M].term == Term)
#endif
#define MAY_ACK(M) (Observed != NOBODY && Observed != M && \
  AckedTerm[Index] == 0 && CONFIRMS(M))
#define MAY_CONFIRM(M, I) (Observed == NOBODY && Log[M].length > I && \
  Member[M].role == PRIMARY && Log[M].entry[I] == Member[M].term)

inline beginConfirmation(M, I) { Observed = M; Index = I; Term = Member[M].term }
inline acknowledgeEntry() {
  AckedTerm[Index] = Term;
  checkAcknowledged(Index, Term);
  Observed = NOBODY; Index = 0; Term = 0
}

proctype acknowledge() {
  byte Index, Term, T;
  byte Observed = NOBODY;
end:
  do
  :: atomic { MAY_CONFIRM(0, 0) -> beginConfirmation(0, 0) }
  :: atomic { MAY_CONFIRM(0, 1) -> beginConfirmation(0, 1) }
  :: atomic { MAY_CONFIRM(1, 0) -> beginConfirmation(1, 0) }
  :: atomic { MAY_CONFIRM(1, 1) -> beginConfirmation(1, 1) }
  :: atomic { MAY_CONFIRM(2, 0) -> beginConfirmation(2, 0) }
  :: atomic { MAY_CONFIRM(2, 1) -> beginConfirmation(2, 1) }
  :: atomic { MAY_ACK(0) -> acknowledgeEntry() }
  :: atomic { MAY_ACK(1) -> acknowledgeEntry() }
  :: atomic { MAY_ACK(2) -> acknowledgeEntry() }
  :: atomic { Observed != NOBODY -> Observed = NOBODY; Index = 0; Term = 0 }
  od
}

/* Requests a term above that of member M and above all that it has requested. */
#define MAY_BEGIN(M) (Term == 0 && Member[M].term + 1 < MAX_TERM)
inline beginTerm(M) {
  Term = (Member[M].term > LastRequested -> Member[M].term : LastRequested) + 1;
  if
  :: Term < MAX_TERM -> LastRequested = Term
  :: else -> Term = 0
  fi
}

#define FENCING (Term > 0 && Candidate == NOBODY && GrantCount < MAJORITY)
#define MAY_FENCE(M) (FENCING && !(Grants & (1 << M)) && Member[M].term <= Term)
inline fence(M) {
  if
  :: Term > Member[M].term ->
     Member[M].term = Term;
     Member[M].coordinator = Name;
     Member[M].role = FENCED;
     Grants = Grants | (1 << M);
     GrantCount++
  :: else ->
     if
#ifdef BROKEN_GRANT
     :: true ->
#else
     :: Member[M].coordinator == Name ->
#endif
        Grants = Grants | (1 << M);
        GrantCount++
     :: else
     fi
  fi
}

inline considerCandidate(M) {
  if
#ifdef BROKEN_CHOICE
  :: (Grants & (1 << M)) && Candidate == NOBODY -> Candidate = M
#else
  :: (Grants & (1 << M)) && Candidate == NOBODY -> Candidate = M
  :: (Grants & (1 << M)) && Candidate != NOBODY && MORE_RECENT(M, Candidate) ->
     Candidate = M
#endif
  :: else
  fi
}

#ifdef BROKEN_GRANT
#define HOLDS_GRANT(M) true
#else
#define HOLDS_GRANT(M) (Member[M].coordinator == Name)
#endif
#define MAY_PROMOTE(M) (Term > 0 && Candidate == M && Member[M].term == Term && \
  Member[M].role == FENCED && HOLDS_GRANT(M))
inline promote(M) {
  Member[M].role = PRIMARY;
  Member[M].follows = M;
  assert(PrimaryOf[Term] == NOBODY || PrimaryOf[Term] == M);
  PrimaryOf[Term] = M;
  checkPromoted(M, Term)
}

#define MAY_FOLLOW(M) (Term > 0 && Candidate != NOBODY && Candidate != M && \
  PrimaryOf[Term] == Candidate && \
  (Member[M].term < Term || \
   (Member[M].term == Term && Member[M].role == FENCED)))
inline follow(M) {
  if
  :: Term > Member[M].term -> Member[M].coordinator = Name
  :: else
  fi;
  Member[M].term = Term;
  Member[M].role = REPLICA;
  Member[M].follows = Candidate
}

/* A host that did not promote P tells a member of a lower term to follow P. */
#define MAY_REDIRECT(M, P) (Term == 0 && Member[P].role == PRIMARY && \
  Member[P].term > Member[M].term)
inline redirect(M, P) {
  Member[M].term = Member[P].term;
  Member[M].coordinator = Name;
  Member[M].role = REPLICA;
  Member[M].follows = P;
  LastRequested =
    (Member[P].term > LastRequested -> Member[P].term : LastRequested)
}

inline abandonAttempt() {
  Term = 0; Grants = 0; GrantCount = 0; Candidate = NOBODY
}

/* Fences members, chooses and promotes one, and tells the others to follow. The
 * scheduler may delay it before any step. At any step it may give up, so that
 * another coordinator completes the promotion, or restart without memory. */
proctype coordinate(byte Name) {
  byte Term, LastRequested, Grants, GrantCount;
  byte Candidate = NOBODY;
  byte J;
end:
  do
  :: atomic { MAY_BEGIN(0) -> beginTerm(0) }
  :: atomic { MAY_BEGIN(1) -> beginTerm(1) }
  :: atomic { MAY_BEGIN(2) -> beginTerm(2) }
  :: atomic { MAY_FENCE(0) -> fence(0) }
  :: atomic { MAY_FENCE(1) -> fence(1) }
  :: atomic { MAY_FENCE(2) -> fence(2) }
  :: atomic { Term > 0 && Candidate == NOBODY && GrantCount >= MAJORITY ->
       considerCandidate(0); considerCandidate(1); considerCandidate(2) }
  :: atomic { MAY_PROMOTE(0) -> promote(0) }
  :: atomic { MAY_PROMOTE(1) -> promote(1) }
  :: atomic { MAY_PROMOTE(2) -> promote(2) }
  :: atomic { MAY_FOLLOW(0) -> follow(0) }
  :: atomic { MAY_FOLLOW(1) -> follow(1) }
  :: atomic { MAY_FOLLOW(2) -> follow(2) }
  :: atomic { MAY_REDIRECT(0, 1) -> redirect(0, 1) }
  :: atomic { MAY_REDIRECT(0, 2) -> redirect(0, 2) }
  :: atomic { MAY_REDIRECT(1, 0) -> redirect(1, 0) }
  :: atomic { MAY_REDIRECT(1, 2) -> redirect(1, 2) }
  :: atomic { MAY_REDIRECT(2, 0) -> redirect(2, 0) }
  :: atomic { MAY_REDIRECT(2, 1) -> redirect(2, 1) }
  :: atomic { Term > 0 -> abandonAttempt() }
  /* The coordinators are symmetric, so it suffices to restart the first. */
  :: atomic { Term > 0 && RestartsLeft > 0 && Name == 0 ->
       RestartsLeft--;
       LastRequested = 0;
#ifndef BROKEN_NAME
       Name = NextName;
       NextName++;
#endif
       abandonAttempt() }
  od
}

init {
  byte K = 0;
  atomic {
    do
    :: K < MAX_TERM -> PrimaryOf[K] = NOBODY; K++
    :: else -> break
    od;
    K = 0;
    do
    :: K < MEMBERS ->
       Member[K].term = 1;
       Member[K].coordinator = NOBODY;
       K++
    :: else -> break
    od;
    Member[0].role = PRIMARY;
    PrimaryOf[1] = 0;
    K = 0;
    run members();
    run acknowledge();
    run coordinate(0);
    run coordinate(1)
  }
}
