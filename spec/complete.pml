/*
 * Up to which revision of the store a host's state is complete.
 *
 * The store holds two keys: the configuration, in the first page of a listing, and a
 * registration, in the second. Each change of either takes the next revision. A host begins
 * with a listing whose pages may each be as old as the store is, or with a copy of the two
 * pages from a peer that follows the store. It then watches from the revision up to which its
 * state is complete; a response carries all changes after that revision, and confirms the state
 * as of the moment at which it was created. While a watch is on its way, a peer's copy of the
 * registration that is older may replace the host's own.
 *
 * Checked by assertions: a host whose state is confirmed has both keys as the store had them
 * when the response was created.
 *
 * Broken variants, which must be refuted:
 *   NEWEST_ITEM  the watch after a listing begins at the newest revision of any item;
 *   LAST_PAGE    the watch after a copy begins at the revision of the peer's last page;
 *   NO_GAP       a response confirms the state from whatever revision it was watched.
 */
#define CHANGES 4
#define COPIES 1

byte revision = 2;           /* of the store */
byte config[CHANGES + 3];    /* revision of the configuration, by the store's revision */
byte member[CHANGES + 3];    /* revision of the registration, likewise */

byte peerTo = 2;             /* the peer has all changes up to this revision */

byte hostConfig, hostMember; /* revisions of what the host has */
byte configTo, memberTo;     /* up to which each is complete */
byte follows;                /* where the next watch begins */
byte copies;

inline least(to, a, b) { to = (a < b -> a : b) }

proctype Store() {
end:
  do
  :: atomic { revision < CHANGES + 2 -> revision++; config[revision] = revision; member[revision] = member[revision - 1] }
  :: atomic { revision < CHANGES + 2 -> revision++; member[revision] = revision; config[revision] = config[revision - 1] }
  od
}

proctype Peer() {
end:
  do
  :: atomic { peerTo < revision -> peerTo++ }
  od
}

proctype Host() {
  byte first, second, after, to;
  /* the first state */
  if
  :: atomic { first = 2; do :: first < revision -> first++ :: break od }
     atomic { second = 2; do :: second < revision -> second++ :: break od }
     atomic {
       hostConfig = config[first]; hostMember = member[second];
#ifdef NEWEST_ITEM
       configTo = (hostConfig > hostMember -> hostConfig : hostMember); memberTo = configTo
#else
       configTo = hostConfig; memberTo = hostMember
#endif
     }
  :: atomic { first = peerTo; hostConfig = config[first] }
     atomic {
       second = peerTo; hostMember = member[second];
#ifdef LAST_PAGE
       configTo = second;
#else
       configTo = first;
#endif
       memberTo = configTo
     }
  fi;
  least(follows, configTo, memberTo);
end:
  do
  :: atomic { after = follows }
     if
     :: atomic { copies < COPIES -> copies++; to = 2; do :: to < peerTo -> to++ :: break od; hostMember = member[to]; memberTo = to }
     :: skip
     fi;
     atomic {
       to = revision;
       /* changes that precede the watch are not in the response */
       if :: config[to] > after -> hostConfig = config[to] :: else -> skip fi;
       if :: member[to] > after -> hostMember = member[to] :: else -> skip fi;
#ifdef NO_GAP
       configTo = to; memberTo = to;
       assert(hostConfig == config[to] && hostMember == member[to]);
#else
       if :: after <= configTo -> configTo = to :: else -> skip fi;
       if :: after <= memberTo -> memberTo = to :: else -> skip fi;
       if
       :: configTo == to && memberTo == to -> assert(hostConfig == config[to] && hostMember == member[to])
       :: else -> skip
       fi;
#endif
       least(follows, configTo, memberTo);
       after = 0; to = 0
     }
  od
}

init {
  atomic {
    config[1] = 1; config[2] = 1; member[2] = 2;
    run Store(); run Peer(); run Host()
  }
}
