/*
 * How accepted versions of the configuration propagate.
 *
 * The store's version increases by one with each change (see submit.pml).
 * Three daemons read the store, with responses that may be outdated when they
 * arrive, pull versions from each other, crash, and restart without a version.
 * The store can become unavailable at any time. A restarted daemon becomes
 * ready after it has read the store's version or, while the store is
 * unavailable, after it has queried every peer.
 *
 * Checked by assertions: the active version of a daemon never decreases; and
 * a daemon that becomes ready has at least the version that the store had or,
 * while the store is unavailable, that any running peer had, when the daemon
 * sent its first query.
 *
 * Broken variants, which must be refuted:
 *   ADOPT_ANY      a daemon applies whatever version it reads;
 *   READY_AT_ONCE  a daemon is ready with the first version that it receives;
 *   ASK_ONE        a daemon that starts during a store outage queries one peer.
 */
#define DAEMONS 3
#define VERSIONS 3

byte version = 1;
bool out;
byte outages = 1;
byte crashes = 2;
byte have[DAEMONS];
byte highest[DAEMONS]; /* highest version of each daemon since its start */
bool up[DAEMONS];
bool ready[DAEMONS];

#define PEER1(d) ((d + 1) % DAEMONS)
#define PEER2(d) ((d + 2) % DAEMONS)

inline adopt(d, v) {
  if
  :: v > have[d] -> have[d] = v
#ifdef ADOPT_ANY
  :: v > 0 && v < have[d] -> have[d] = v
#endif
  :: else -> skip
  fi;
  assert(have[d] >= highest[d]);
  highest[d] = have[d]
}

/* The version that d must reach before it is ready: of each peer, and at index
 * d of the store, as of d's first query. A peer that crashes meanwhile is
 * excluded. */
byte need[DAEMONS * DAEMONS];
#define NEED(d, p) need[(d) * DAEMONS + (p)]

inline require(d) {
  NEED(d, d) = (out -> 0 : version);
  NEED(d, PEER1(d)) = (out -> have[PEER1(d)] : 0);
  NEED(d, PEER2(d)) = (out -> have[PEER2(d)] : 0)
}

inline crash(d) {
  crashes--;
  up[d] = false;
  ready[d] = false;
  have[d] = 0;
  highest[d] = 0;
  NEED(PEER1(d), d) = 0;
  NEED(PEER2(d), d) = 0
}

inline serve(d) {
  if
  :: have[d] > 0 ->
    ready[d] = true;
    assert(have[d] >= NEED(d, d));
    assert(have[d] >= NEED(d, PEER1(d)));
    assert(have[d] >= NEED(d, PEER2(d)))
  :: else -> skip
  fi;
  NEED(d, d) = 0;
  NEED(d, PEER1(d)) = 0;
  NEED(d, PEER2(d)) = 0
}

proctype Daemon(byte d) {
  byte answer;
  do
  :: up[d] && !ready[d] ->
    atomic { require(d); answer = 0 }
    if
    :: atomic { !out -> answer = version } /* the store sends its response */
       atomic { adopt(d, answer); serve(d); answer = 0 }
    :: atomic { out -> require(d) }
       atomic { if :: up[PEER1(d)] -> adopt(d, have[PEER1(d)]) :: else -> skip fi }
#ifndef ASK_ONE
       atomic { if :: up[PEER2(d)] -> adopt(d, have[PEER2(d)]) :: else -> skip fi }
#endif
       atomic { serve(d) }
#ifdef READY_AT_ONCE
    :: atomic { up[PEER1(d)] && have[PEER1(d)] > 0 -> adopt(d, have[PEER1(d)]); serve(d) }
#endif
    fi
  :: atomic { up[d] && ready[d] && !out -> answer = version }
     atomic { adopt(d, answer); answer = 0 }
  :: atomic { up[d] && up[PEER1(d)] -> adopt(d, have[PEER1(d)]) }
  :: atomic { up[d] && up[PEER2(d)] -> adopt(d, have[PEER2(d)]) }
  :: atomic { up[d] && crashes > 0 -> crash(d) }
  :: atomic { !up[d] -> up[d] = true }
  od
}

proctype Store() {
end:
  do
  :: atomic { !out && version < VERSIONS -> version++ }
  :: atomic { !out && outages > 0 -> outages--; out = true }
  :: out -> out = false
  od
}

init {
  atomic {
    up[0] = true; up[1] = true; up[2] = true;
    have[0] = 1; highest[0] = 1; ready[0] = true;
    have[1] = 1; highest[1] = 1; ready[1] = true;
    run Daemon(0);
    run Daemon(1);
    run Daemon(2);
    run Store()
  }
}
