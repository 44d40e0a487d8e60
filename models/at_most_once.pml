/* A host sends one caller's write to the primary, may retry it, and reports the
 * outcome to the caller. Messages may be lost, delayed or answered twice, and
 * the host may give up at any time.
 *
 * Checked: the host reports "not run" only if the write never runs, and "ran"
 * only if it has run; a write that is not repeatable runs at most once. A
 * repeatable write carries an idempotency key and also runs at most once.
 *
 * Broken variants, which the check must detect:
 * -DBROKEN_RESEND   a write that is not repeatable is retried
 * -DBROKEN_OUTCOME  a lost answer counts as not run
 * -DBROKEN_KEY      the member does not remember the keys that it has applied
 * -DBROKEN_ANSWER   an answer to an earlier attempt counts for the latest one
 */

#define ATTEMPTS 3
#define NONE 0

/* Outcome that the host reports to the caller. */
#define WAITING 0
#define RAN 1
#define NOT_RUN 2
#define UNKNOWN 3

/* Result of an attempt at the member. */
#define DONE 1
#define REFUSED 2

chan Requests = [2] of { byte };        /* attempt */
chan Answers = [2] of { byte, byte };   /* attempt, result */

bool Repeatable;
bool Applied;           /* the member has stored the key */
byte Runs;
byte Outcome = WAITING;
byte Attempt;           /* latest attempt sent; 0: none */
bool InDoubt;           /* an attempt before the latest may have run */

#ifdef BROKEN_KEY
#define KNOWS_KEY false
#else
#define KNOWS_KEY (Repeatable && Applied)
#endif

proctype member() {
  byte Id;
end:
  do
  :: atomic { Requests ? [Id] -> Requests ? Id;
       if
       :: KNOWS_KEY -> Answers ! Id, DONE
       :: !KNOWS_KEY -> Runs++; Applied = true; Answers ! Id, DONE
       :: Answers ! Id, REFUSED         /* wrong term, busy, leaving */
       fi;
       Id = NONE
     }
  od
}

/* Loses requests and answers, and duplicates answers. */
proctype network() {
  byte Id, Result;
end:
  do
  :: atomic { Requests ? [Id] -> Requests ? Id; Id = NONE }
  :: atomic { Answers ? [Id, Result] -> Answers ? Id, Result; Id = NONE; Result = NONE }
  :: atomic { Answers ? [Id, Result] && len(Answers) == 1 -> Answers ? <Id, Result>;
       Answers ! Id, Result; Id = NONE; Result = NONE }
  od
}

inline reportOutcome(Reported) {
  Outcome = Reported;
  assert(Reported != RAN || Runs > 0)
}

inline sendAttempt() {
  Attempt++;
  Requests ! Attempt
}

/* The latest attempt did not run. */
inline handleRefusal() {
  if
  :: !InDoubt -> reportOutcome(NOT_RUN)
  :: InDoubt -> reportOutcome(UNKNOWN)
  :: Attempt < ATTEMPTS && (Repeatable || !InDoubt) -> sendAttempt()
  fi
}

proctype host() {
  byte Id, Result;
  do
  /* Sends the first attempt, or none if the caller has exceeded its rate. */
  :: atomic { Outcome == WAITING && Attempt == 0 ->
       if
       :: sendAttempt()
       :: reportOutcome(NOT_RUN)
       fi
     }
  /* Receives an answer; one to an earlier attempt is ignored. */
  :: atomic { Outcome == WAITING && Answers ? [Id, Result] -> Answers ? Id, Result;
       if
#ifdef BROKEN_ANSWER
       :: Result == DONE -> reportOutcome(RAN)
       :: Result == REFUSED -> handleRefusal()
#else
       :: Id == Attempt && Result == DONE -> reportOutcome(RAN)
       :: Id == Attempt && Result == REFUSED -> handleRefusal()
       :: Id != Attempt
#endif
       fi;
       Id = NONE; Result = NONE
     }
  /* The answer is overdue: it is lost or delayed. */
  :: atomic { Outcome == WAITING && Attempt > 0 ->
       if
#ifdef BROKEN_RESEND
       :: Attempt < ATTEMPTS -> InDoubt = true; sendAttempt()
#else
       :: Attempt < ATTEMPTS && Repeatable -> InDoubt = true; sendAttempt()
#endif
#ifdef BROKEN_OUTCOME
       :: reportOutcome(NOT_RUN)
#else
       :: reportOutcome(UNKNOWN)
#endif
       fi
     }
  :: Outcome != WAITING -> break
  od
}

/* The reported outcome stays true, and the write never runs twice. */
active proctype monitor() {
end:
  do
  :: atomic { Runs > 1 -> assert(false) }
  :: atomic { Outcome == NOT_RUN && Runs > 0 -> assert(false) }
  od
}

init {
  atomic {
    if
    :: Repeatable = true
    :: Repeatable = false
    fi;
    run member();
    run network();
    run host()
  }
}
