/* Two hosts, the holders, share the room of an upstream for one request. Each asks
 * the owner before it sends a request, and states its own count in each message;
 * see internal/room. Messages may be lost, delayed and reordered. A holder may have
 * several requests for room at the same time. Holder 0 sends up to three messages,
 * and may die; holder 1 sends up to two. An answer that stays on its way for ever
 * is a lost one. Another owner, which
 * knows nothing, may take over once.
 *
 * The grants of the owner that are in use never exceed the bound. No holder waits
 * for ever, and no room stays taken after all requests have ended: otherwise the
 * search finds a state without a next step.
 *
 * Counts expire with the deadline of the requests, so here no earlier than these
 * end. Each broken variant, which must be refuted, removes one safeguard; see
 * broken.txt.
 */
#define BOUND 1
#define MESSAGES 3
#define LIMIT(h) (MESSAGES - (h))
#define AT(h, s) ((h) * (MESSAGES + 1) + (s))
#define BIT(s) (1 << (s))

/* Holders: the sequence of the last message, the requests in flight, those of them
 * that the present owner has granted, and the requests for room that are awaited, as
 * a set of sequences. */
bool dead[2];
byte last[2], inFlight[2], granted[2], awaited[2];

/* Messages and answers, by holder and sequence. */
bool sent[8], ask[8], answered[8], answer[8];
byte count[8], settled[8];

/* The present owner: by holder, the last sequence, the highest settled sequence, the
 * count, and the grants that no count includes yet, as a set of sequences. */
byte seen[2], decided[2], known[2], grants[2];
bool changed;

#define size(set) (((set) & 2) / 2 + ((set) & 4) / 4 + ((set) & 8) / 8)
#define requests(h) (known[h] + size(grants[h]))
#define firstOf(set, none) (((set) & 2) -> 1 : (((set) & 4) -> 2 : (((set) & 8) -> 3 : none)))

/* send sends a message with the holder's count. */
inline send(h, isAsk) {
  last[h]++;
  if :: isAsk -> awaited[h] = awaited[h] | BIT(last[h]) :: else fi;
  sent[AT(h, last[h])] = true; ask[AT(h, last[h])] = isAsk;
  count[AT(h, last[h])] = inFlight[h];
  settled[AT(h, last[h])] = firstOf(awaited[h], last[h])
}

inline lose(h, s) { sent[AT(h, s)] = false; ask[AT(h, s)] = false; count[AT(h, s)] = 0; settled[AT(h, s)] = 0 }

inline drop(h, s) { answered[AT(h, s)] = false; answer[AT(h, s)] = false }

/* apply applies the count of a message that is later than the last. */
inline apply(h, s) {
  if
#ifndef ROOM_NO_SEQUENCE
  :: s <= seen[h] -> skip
#endif
  :: else ->
    seen[h] = s; known[h] = count[AT(h, s)];
    if :: settled[AT(h, s)] > decided[h] -> decided[h] = settled[AT(h, s)] :: else fi;
#ifdef ROOM_DROP_GRANTS
    grants[h] = 0
#else
    grants[h] = grants[h] & ~(BIT(decided[h]) - 1)
#endif
  fi
}

/* decide answers a request for room, unless the holder no longer awaits it. */
inline decide(h, s) {
  answered[AT(h, s)] = true;
  if
  :: s >= decided[h] && requests(0) + requests(1) < BOUND -> grants[h] = grants[h] | BIT(s); answer[AT(h, s)] = true
  :: else
  fi
}

inline receive(h, s) {
  apply(h, s);
  if :: ask[AT(h, s)] -> decide(h, s) :: else fi;
  lose(h, s)
}

/* takeOver replaces the owner. What the previous one has granted is in use without
 * a grant of the present one. */
inline takeOver() {
  changed = true;
  seen[0] = 0; decided[0] = 0; known[0] = 0; grants[0] = 0; granted[0] = 0;
  seen[1] = 0; decided[1] = 0; known[1] = 0; grants[1] = 0; granted[1] = 0;
  drop(0, 1); drop(0, 2); drop(0, 3); drop(1, 1); drop(1, 2)
}

/* settle ends the wait for an answer. A request is sent by a grant, or, without an
 * answer, by what the holder knows itself. */
inline settle(h, s, isSent, byGrant) {
  awaited[h] = awaited[h] & ~BIT(s);
  if :: isSent -> inFlight[h]++ :: else fi;
  if :: byGrant -> granted[h]++; assert(granted[0] + granted[1] <= BOUND) :: else fi
}

/* finish ends a request, and states the count without it. */
inline finish(h) {
  inFlight[h]--;
  if :: last[h] < LIMIT(h) -> send(h, false) :: else fi
}

inline die(h) { dead[h] = true; inFlight[h] = 0; awaited[h] = 0; granted[h] = 0 }

#ifdef ROOM_ANY_ANSWER
#define answers(h, s) (answered[AT(h, s)] && awaited[h])
#define answeredTo(h, s) firstOf(awaited[h], 0)
#else
#define answers(h, s) (answered[AT(h, s)] && (awaited[h] & BIT(s)))
#define answeredTo(h, s) s
#endif
#ifdef ROOM_NO_TIMEOUT
#define mayGiveUp(h, s) false
#else
#define mayGiveUp(h, s) (awaited[h] & BIT(s))
#endif
#ifdef ROOM_NO_EXPIRY
#define mayExpire(h) false
#else
#define mayExpire(h) (inFlight[h] == 0 && awaited[h] == 0 && requests(h) > 0)
#endif
#define done(h) (dead[h] || (last[h] == LIMIT(h) && inFlight[h] == 0 && awaited[h] == 0))

#define HOLDER(h) \
  :: d_step { !dead[h] && last[h] < LIMIT(h) -> send(h, true) } \
  :: d_step { granted[h] > 0 -> granted[h]--; finish(h) } \
  :: d_step { inFlight[h] > granted[h] -> finish(h) } \
  :: d_step { mayExpire(h) -> known[h] = 0; grants[h] = 0 }

#define MESSAGE(h, s) \
  :: d_step { sent[AT(h, s)] -> receive(h, s) } \
  :: d_step { sent[AT(h, s)] -> lose(h, s) } \
  :: d_step { answers(h, s) && answer[AT(h, s)] -> settle(h, answeredTo(h, s), true, true); drop(h, s) } \
  :: d_step { answers(h, s) && !answer[AT(h, s)] -> settle(h, answeredTo(h, s), false, false); drop(h, s) } \
  :: d_step { mayGiveUp(h, s) -> settle(h, s, true, false) }

active proctype fleet() {
  do
  :: d_step { !changed -> takeOver() }
  :: d_step { !dead[0] -> die(0) }
  HOLDER(0)
  HOLDER(1)
  MESSAGE(0, 1)
  MESSAGE(0, 2)
  MESSAGE(0, 3)
  MESSAGE(1, 1)
  MESSAGE(1, 2)
  :: d_step { done(0) && done(1) && requests(0) + requests(1) == 0 } -> break
  od
}
