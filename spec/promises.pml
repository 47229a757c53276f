/*
 * Whether a status that promises that a request has not run is true; see internal/front/execution.go.
 *
 * A host sends a request to upstreams, one after another, and answers its caller. Of each attempt nothing,
 * a part or all is written; an upstream may run what it has at any later time, also after the host has given
 * up. It states that it did not run the request only if it never will, and may answer with a refusal that
 * states nothing after it has run it, or state that it did not run it with a status that says that it failed. A request that must not run twice is sent again only if that is safe.
 * The host may refuse at any time between two attempts, as at a stop or for lack of room. A version that comes into force
 * meanwhile may declare that the request must not run twice.
 *
 * Checked by assertions: no request runs, before or after, whose caller got such a status. For requests that
 * may run twice this holds for the refusals of the host itself. No request that must not run twice by the version in force is
 * sent after it may have run.
 *
 * Broken variants, which must be refuted:
 *   PASS_STATUS      the status of an upstream is passed on although it states nothing;
 *   LAST_ATTEMPT     only the last attempt counts;
 *   PART_IS_UNSENT   an attempt of which a part was written counts as one that sent nothing;
 *   GAVE_UP_UNSENT   an attempt that was given up counts as one that sent nothing;
 *   SAME_CONNECTION  a second copy of a statement is read as the response to the next attempt, which uses the same connection;
 *   ANY_STATUS       a statement counts whatever the status that it comes with;
 *   ADMITTED_KIND    whether a request may run twice is decided by the version that admitted it alone.
 */
#define ATTEMPTS 3
#define NOTHING 0
#define PART 1
#define ALL 2

/* What is known after the attempts. */
#define NOT_SENT 0
#define NOT_RUN 1
#define MAY_HAVE_RUN 2

#define NO_RESPONSE 0
#define SUCCESS 1
#define REFUSAL 2
#define STATED 3
#define CONTRADICTION 4

byte written[ATTEMPTS], response[ATTEMPTS];
bool ran[ATTEMPTS], declined[ATTEMPTS];
bool promised;
/* Whether the request may run twice, by the version that admitted it and by the one in force. */
bool idempotent, declaredUnsafe;
byte execution, attempt;
bool done;

#define anyRan (ran[0] || ran[1] || ran[2])

#ifdef ADMITTED_KIND
#define mayRunTwice idempotent
#else
#define mayRunTwice (idempotent && !declaredUnsafe)
#endif

#ifdef LAST_ATTEMPT
#define learn(e) execution = e
#else
#define learn(e) execution = (execution > e -> execution : e)
#endif

proctype Upstream(byte a) {
end:
  do
  :: atomic { written[a] != NOTHING && !ran[a] && !declined[a] -> ran[a] = true; assert(!promised) }
  :: atomic { written[a] == ALL && !ran[a] && !declined[a] -> declined[a] = true }
  :: atomic {
       ran[a] && written[a] == ALL && response[a] == NO_RESPONSE ->
       if
       :: response[a] = SUCCESS
       :: response[a] = REFUSAL
       :: response[a] = CONTRADICTION
       fi
     }
  :: atomic { declined[a] && response[a] == NO_RESPONSE -> response[a] = STATED }
  od
}

/* The caller gets a status that promises. */
inline promise() { promised = true; done = true; assert(!anyRan) }

/* The host refuses by itself. */
inline refuse() {
  if
  :: execution == MAY_HAVE_RUN -> done = true
  :: else -> promise()
  fi
}

inline passOn(a) {
  if
  :: response[a] == REFUSAL && mayRunTwice && declaredUnsafe -> promise()
#ifdef PASS_STATUS
  :: response[a] == REFUSAL && !mayRunTwice -> promise()
#endif
  :: else -> done = true
  fi
}

inline endAttempt(a) {
  if
  :: written[a] == NOTHING -> learn(NOT_SENT)
  :: written[a] == PART ->
#ifdef PART_IS_UNSENT
     learn(NOT_SENT)
#else
     learn(MAY_HAVE_RUN)
#endif
  :: written[a] == ALL && response[a] == STATED -> learn(NOT_RUN)
  :: written[a] == ALL && (response[a] == SUCCESS || response[a] == REFUSAL) -> learn(MAY_HAVE_RUN); passOn(a)
  :: written[a] == ALL && response[a] == CONTRADICTION ->
#ifdef ANY_STATUS
     learn(NOT_RUN)
#else
     learn(MAY_HAVE_RUN); passOn(a)
#endif
#ifdef SAME_CONNECTION
  :: written[a] == ALL && a > 0 && response[(a + ATTEMPTS - 1) % ATTEMPTS] == STATED -> learn(NOT_RUN)
#endif
  :: written[a] == ALL -> /* given up, whatever follows */
#ifdef GAVE_UP_UNSENT
     learn(NOT_SENT)
#else
     learn(MAY_HAVE_RUN)
#endif
  fi
}

proctype Host() {
  do
  :: done || attempt == ATTEMPTS -> break
  :: atomic { !done && attempt < ATTEMPTS -> refuse() }
  :: atomic {
       !done && attempt < ATTEMPTS && (mayRunTwice || execution != MAY_HAVE_RUN) ->
       assert(!(declaredUnsafe && execution == MAY_HAVE_RUN));
       if
       :: skip
       :: written[attempt] = PART
       :: written[attempt] = ALL
       fi
     };
     atomic { endAttempt(attempt); attempt++ }
  od;
  atomic {
    if
    :: !done -> refuse()
    :: else -> skip
    fi
  }
}

/* A version comes into force. */
proctype Operator() {
end:
  atomic { idempotent && !declaredUnsafe -> declaredUnsafe = true }
}

init {
  atomic {
    if
    :: idempotent = true
    :: skip
    fi;
    run Upstream(0); run Upstream(1); run Upstream(2); run Host(); run Operator()
  }
}
