/* Two hosts share the slack of a retry budget without messages; see internal/retry.
 * Each lists the store, registers there under a lease, counts the registrations that it
 * knows, and uses its part of the slack: all of it while it has known no other host
 * for a window, else half. Hosts are killed, started and cut off from the store in any
 * order; a host that is cut off keeps its view. Time passes in ticks.
 *
 * No window has more retries by all processes, dead ones included, than the slack.
 *
 * A host considers its registration valid for less time than the store keeps it. The
 * first host of the fleet finds no trace of others and need not wait. Each broken
 * variant, which must be refuted, removes one safeguard; see broken.txt.
 */
#define WINDOW 3
#define SLACK 2
#define LEASE 2
#define VALIDITY 1
#define FULL (WINDOW + 1)

bool up[2], cut[2], listed[2];
/* known: the other host is registered, as this one knows. hint: a host has been
 * registered; the store keeps that. */
bool known[2], hint;
byte lease[2], validity[2];
/* Ticks for which a host may still take itself for the first, has been counted, and
 * has known no other; the latter two at most FULL. */
byte firstFor[2], counted[2], alone[2];
/* Retries by the present process of a host, and by all processes, in the present tick
 * and in the two before. */
byte now[2], before[2], earlier[2], allNow, allBefore, allEarlier;

#ifdef RETRIES_NO_WAIT
#define waited(h) true
#else
#define waited(h) (counted[h] == FULL)
#endif
#ifdef RETRIES_LAPSED
#define entitled(h) (counted[h] > 0)
#define lapse(h) skip
#else
#define entitled(h) (validity[h] > 0)
#define lapse(h) counted[h] = 0
#endif
#ifdef RETRIES_PRESENT_COUNT
#define part(h) (known[h] -> SLACK / 2 : SLACK)
#else
#define part(h) (alone[h] < FULL -> SLACK / 2 : SLACK)
#endif
#ifdef RETRIES_FIRST_BESIDE_OTHERS
#define isFirst(h) (firstFor[h] > 0)
#else
#define isFirst(h) (firstFor[h] > 0 && !known[h])
#endif

inline start(h) {
  up[h] = true; listed[h] = false; firstFor[h] = 0;
  known[h] = false; validity[h] = 0; counted[h] = 0; alone[h] = FULL;
  now[h] = 0; before[h] = 0; earlier[h] = 0
}

inline kill(h) { up[h] = false; validity[h] = 0; counted[h] = 0; now[h] = 0; before[h] = 0; earlier[h] = 0 }

/* reach lists the store or, after that, renews the registration. */
inline reach(h) {
#ifndef RETRIES_FIRST_FOR_EVER
  if :: firstFor[h] > 0 -> firstFor[h]-- :: else fi;
#endif
  if
  :: up[h] && !cut[h] && listed[h] -> lease[h] = LEASE; validity[h] = VALIDITY; hint = true
  :: else ->
    if :: lease[h] > 0 -> lease[h]-- :: else fi;
    if :: validity[h] > 0 -> validity[h]-- :: else fi;
    if
    :: up[h] && !cut[h] ->
      listed[h] = true;
      if :: !hint && lease[0] == 0 && lease[1] == 0 -> firstFor[h] = LEASE :: else fi
    :: else
    fi
  fi
}

inline look(h) {
  if :: up[h] && !cut[h] -> known[h] = lease[1 - h] > 0 :: else fi;
  if
  :: known[h] -> alone[h] = 0
  :: !known[h] && alone[h] < FULL -> alone[h]++
  :: else
  fi;
  if
  :: validity[h] == 0 -> lapse(h)
  :: validity[h] > 0 && isFirst(h) -> counted[h] = FULL
  :: validity[h] > 0 && !isFirst(h) && counted[h] < FULL -> counted[h]++
  :: else
  fi
}

#define shift(h) earlier[h] = before[h]; before[h] = now[h]; now[h] = 0

inline tick() {
  allEarlier = allBefore; allBefore = allNow; allNow = 0;
  shift(0); shift(1);
  reach(0); reach(1); look(0); look(1)
}

inline retry(h) {
  now[h]++; allNow++;
  assert(allNow + allBefore + allEarlier <= SLACK)
}

#define HOST(h) \
  :: d_step { !up[h] -> start(h) } \
  :: d_step { up[h] -> kill(h) } \
  :: d_step { !cut[h] -> cut[h] = true } \
  :: d_step { cut[h] -> cut[h] = false } \
  :: d_step { up[h] && entitled(h) && waited(h) && now[h] + before[h] + earlier[h] < part(h) -> retry(h) }

active proctype fleet() {
  do
  :: d_step { tick() }
  HOST(0)
  HOST(1)
  od
}
