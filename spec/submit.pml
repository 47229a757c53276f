/*
 * Submission of configuration changes by concurrent operators to a store with
 * compare-and-swap.
 *
 * Two operators submit one change each. A submission reads the store and
 * writes version base+1 with the change's ID. The write may be lost, its
 * response may be lost, and a write may arrive late. While the outcome is
 * unknown, the operator submits again with the same ID. The store can become
 * unavailable. spread.pml models how versions propagate afterwards.
 *
 * change[v] is the operator whose change made version v, so the document at
 * version n contains change[1..n]. Checked by assertions: an acknowledged
 * change stays at its version and occurs at no other; a change that was
 * reported as rejected never takes effect.
 *
 * Broken variants, which must be refuted:
 *   NO_CHANGE_ID   a submission does not search for its own ID;
 *   DOUBT_DROPPED  a submission after an unknown outcome is reported as not
 *                  applied if the store is unavailable;
 *   NO_COMPARE     the store writes without comparing the version.
 */
#define OPERATORS 2
#define VERSIONS 3
#define NOBODY 9

byte version;
byte change[VERSIONS + 1];
bool out;
bool inFlight[OPERATORS]; /* a delayed write that may still arrive */
byte acked[OPERATORS];    /* the acknowledged version; 0: none */
bool refused[OPERATORS];
byte outages = 2;

/* The base of both operators: the version that they read before submitting. */
#define BASE 0

inline write(who, took) {
  if
#ifdef NO_COMPARE
  :: version < VERSIONS ->
#else
  :: version == BASE ->
#endif
    version++;
    change[version] = who;
    took = true
  :: else -> took = false
  fi;
  check()
}

inline made(who, at) {
  if
  :: change[1] == who -> at = 1
  :: change[1] != who && change[2] == who -> at = 2
  :: change[1] != who && change[2] != who && change[3] == who -> at = 3
  :: else -> at = 0
  fi
}

#define TIMES(who) ((change[1] == who) + (change[2] == who) + (change[3] == who))
#define SOUND(who) (TIMES(who) <= 1 && (acked[who] == 0 || change[acked[who]] == who) && (!refused[who] || TIMES(who) == 0))

inline check() {
  assert(SOUND(0));
  assert(SOUND(1))
}

proctype Operator(byte op) {
  byte at;
  bool took, doubt;
  byte tries = 4;
  do
  :: tries > 0 && acked[op] == 0 && !refused[op] ->
    tries--;
    if
    :: atomic { out -> /* the store cannot be read */
#ifdef DOUBT_DROPPED
         refused[op] = true;
#else
         refused[op] = !doubt;
#endif
         check()
       }
    :: atomic { !out ->
         made(op, at);
#ifdef NO_CHANGE_ID
         at = 0;
#endif
         if
         :: at > 0 -> acked[op] = at
         :: at == 0 && version != BASE -> refused[op] = true
         :: at == 0 && version == BASE -> skip /* not decided: write below */
         fi;
         check()
       }
       if
       :: acked[op] > 0 || refused[op] -> skip
       :: else ->
          if
          :: atomic { true -> write(op, took);
               if
               :: took -> acked[op] = version
               :: else -> skip
               fi;
               check() }
          :: atomic { true -> write(op, took); doubt = true }
          :: doubt = true
          :: inFlight[op] = true; doubt = true
          fi
       fi
    fi
  :: else -> break
  od
}

proctype Network() {
  bool took;
end:
  do
  :: atomic { inFlight[0] -> inFlight[0] = false; write(0, took); took = false }
  :: atomic { inFlight[1] -> inFlight[1] = false; write(1, took); took = false }
  od
}

proctype Outage() {
end:
  do
  :: atomic { !out && outages > 0 -> outages--; out = true }
  :: out -> out = false
  od
}

init {
  atomic {
    change[0] = NOBODY; change[1] = NOBODY; change[2] = NOBODY; change[3] = NOBODY;
    run Operator(0);
    run Operator(1);
    run Network();
    run Outage()
  }
}
