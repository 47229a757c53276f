/*
 * How long keys are accepted by hosts that cannot use the newest version of the configuration.
 *
 * The store's version increases by one with each withdrawal of a key; some versions cannot be
 * used. A watcher reads the store at any time. A host gets its changes from the watcher, or its
 * state confirmed if both have the same digest: the version in force and the refused one. A host
 * accepts keys by the version in force for AGE ticks after that was last known to be the newest.
 *
 * Checked by assertions: no key is accepted later than AGE after the version that withdraws it.
 *
 * Broken variants, which must be refuted:
 *   COUNTS        a refused version counts as in force once the state is confirmed;
 *   NO_DIGEST     the digest leaves out the refused version, so that it does not reach hosts;
 *   SINCE_SEEN    the age counts from the moment at which the version was refused.
 */
#define LENGTH 6   /* ticks */
#define VERSIONS 3
#define AGE 1      /* ticks */

byte now;
byte version = 1;
byte writtenAt[VERSIONS + 2];
bool usable[VERSIONS + 1];

typedef Host { byte force, refused, confirmedAt, outdatedSince };
Host hosts[2]; /* 0 is the watcher */

#ifdef SINCE_SEEN
#define since(h) now
#else
#define since(h) hosts[h].confirmedAt
#endif

/* The age counts from the first refused version that is newer than the one in force. */
inline refuse(h, v) {
  hosts[h].outdatedSince = (hosts[h].refused <= hosts[h].force -> since(h) : hosts[h].outdatedSince);
  hosts[h].refused = v
}

#ifdef COUNTS
#define outdated(h) false
#else
#define outdated(h) (hosts[h].refused > hosts[h].force && now > hosts[h].outdatedSince + AGE)
#endif
#define stale(h) (now > hosts[h].confirmedAt + AGE)

/* A host accepts keys by its version in force. The next version has withdrawn one of them. */
inline accept(h) {
  assert(outdated(h) || stale(h) || hosts[h].force >= version || now <= writtenAt[hosts[h].force + 1] + AGE)
}

proctype Store() {
end:
  do
  :: atomic {
       version < VERSIONS -> version++; writtenAt[version] = now;
       if
       :: usable[version] = true
       :: usable[version] = false
       fi
     }
  :: atomic { now < LENGTH -> now++ }
  od
}

proctype Watcher() {
end:
  do
  :: atomic {
       if
       :: usable[version] && version > hosts[0].force -> hosts[0].force = version
       :: !usable[version] && version > hosts[0].refused -> refuse(0, version)
       :: else -> skip
       fi;
       hosts[0].confirmedAt = now;
     }
  :: atomic { accept(0) }
  od
}

proctype Other() {
end:
  do
  :: atomic {
       if
#ifndef NO_DIGEST
       :: hosts[1].refused < hosts[0].refused && hosts[0].refused > hosts[0].force -> refuse(1, hosts[0].refused)
#endif
       :: hosts[1].force < hosts[0].force -> hosts[1].force = hosts[0].force
       :: else -> hosts[1].confirmedAt = hosts[0].confirmedAt
       fi
     }
  :: atomic { accept(1) }
  od
}

init {
  atomic {
    usable[1] = true;
    hosts[0].force = 1; hosts[1].force = 1;
    run Store(); run Watcher(); run Other()
  }
}
