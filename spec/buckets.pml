/*
 * How often the burst of a customer is granted while the owner of its bucket changes.
 *
 * Each host has a view of who owns the bucket, which changes at any time: hosts start, stop, fail, and are cut
 * off from each other, so several of them may take themselves for the owner. A host that no longer owns the
 * bucket transfers its tokens to the next owner by a message, which may be late or lost. A host that
 * restarts knows nothing of before. The slack that a process begins with, and the rate, are left out.
 *
 * Checked by assertions: what was granted, what the hosts have and what is in transit is the burst at most.
 *
 * Broken variants, which must be refuted:
 *   KEEPS         the earlier owner keeps the tokens that it transfers;
 *   FULL          a host that becomes the owner begins with a full bucket;
 *   RESTART_FULL  a host that restarts begins with a full bucket.
 */
#define HOSTS 3
#define BURST 3
#define MOVES 5
#define RESTARTS 2

byte tokens[HOSTS];
byte view[HOSTS]; /* the owner, as each host sees it */
byte granted, moves, restarts;
chan transfers = [2] of { byte, byte }; /* next owner, tokens */
byte inTransit;

inline check() {
  assert(granted + tokens[0] + tokens[1] + tokens[2] + inTransit <= BURST)
}

inline move(h, next) {
  if
  :: view[h] == h && tokens[h] > 0 ->
       if
       :: nfull(transfers) -> transfers ! next, tokens[h]; inTransit = inTransit + tokens[h]
       :: full(transfers) -> skip /* lost */
       fi;
#ifndef KEEPS
       tokens[h] = 0
#endif
  :: else -> skip
  fi;
#ifdef FULL
  if
  :: next == h -> tokens[h] = BURST
  :: else -> skip
  fi;
#endif
  view[h] = next;
  moves++;
  check()
}

proctype Host(byte h) {
  byte next, n;
end:
  do
  :: atomic { view[h] == h && tokens[h] > 0 -> tokens[h]--; granted++; check() }
  :: atomic { moves < MOVES -> select(next : 0 .. HOSTS - 1);
       if
       :: next != view[h] -> move(h, next)
       :: else -> skip
       fi
     }
  :: atomic { restarts < RESTARTS -> restarts++; tokens[h] = 0;
#ifdef RESTART_FULL
       tokens[h] = BURST;
#endif
       check()
     }
  :: atomic { transfers ?? eval(h), n -> inTransit = inTransit - n; tokens[h] = tokens[h] + n;
       if
       :: tokens[h] > BURST -> tokens[h] = BURST
       :: else -> skip
       fi;
       check()
     }
  :: atomic { transfers ?? eval(h), n -> inTransit = inTransit - n } /* lost */
  od
}

init {
  byte h = 0;
  atomic {
    tokens[0] = BURST;
    do
    :: h < HOSTS -> run Host(h); h++
    :: else -> break
    od
  }
}
