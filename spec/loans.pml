/* A quota of two tokens over two slots. Daemon A holds one under a lease and
 * lends its part to B, which holds the other. H takes A's slot over once the
 * lease has lapsed. Messages may be lost, repeated and late; A may crash or be
 * paused past its lease; B's reading of the clock may be a tick old when it
 * spends. ref is one bucket for the whole quota: every spend must be covered
 * by it, and the tokens of all together must be no more than it holds.
 *
 * The refuted variants each take one guard away; see broken.txt.
 */
#define QUOTA 2
#define HORIZON 6
#define LEASE 2
#define TERM 2
#ifdef LOANS_NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
#ifdef LOANS_NO_QUARANTINE
#define QUARANTINE 0
#else
#define QUARANTINE (TERM + MARGIN)
#endif

byte now, ref = QUOTA;

/* A: its lease as it counts it, its bucket, and what it has lent. */
bool aAlive = true;
byte aLease = LEASE, aLevel = 1;
bool lent;
byte lentId, lentUntil, lentWorth;

/* B: its bucket, its reading of the clock, what it borrowed and asked for. */
byte bRead, bLevel = 1;
bool borrowed;
byte loanId, loanUntil, pending, asked, lastId;

/* H: the slot after A. */
bool taken;
byte hFrom, hLevel;

/* Messages; each stays and may be received again until it is lost. */
bool ask, grant, repay;
byte askId, askSent;
byte grantId, grantTokens, grantSent;
byte repayId, repayTokens;

#define aHolds (aAlive && now < aLease)
#define aCap (aHolds && !lent)
#ifdef LOANS_TERM_BY_TIMER
#define bHolds borrowed
#else
#define bHolds (borrowed && bRead < loanUntil)
#endif
#define bCap (1 + (bHolds -> 1 : 0))
#define hCap (taken && now >= hFrom)

inline earn(level) { level++; if :: ref < QUOTA -> ref++ :: else fi }
inline spend(level) { assert(ref > 0); level--; ref-- }

/* settle drops what lies above the capacities and ends A's loan. */
inline settle() {
  if :: lent && now >= lentUntil -> lent = false; lentId = 0; lentUntil = 0; lentWorth = 0 :: else fi;
  if :: !aCap -> aLevel = 0 :: else fi;
  if :: borrowed && !bHolds -> borrowed = false; loanId = 0; loanUntil = 0 :: else fi;
  if :: bLevel > bCap -> bLevel = bCap :: else fi;
  assert(aLevel + bLevel + hLevel <= ref)
}

inline tick() {
  now++;
  if :: now - bRead > 1 -> bRead = now - 1 :: else fi
}

/* lend answers an ask: the free part, if any, and the token in it. An ask for
 * the loan that runs extends it, unless the slot under it is lost. */
inline lend() {
  if
#ifdef LOANS_EXTEND_LOST_SHARE
  :: lent && lentId == askId ->
#else
  :: lent && lentId == askId && aHolds ->
#endif
    lentUntil = now + TERM + MARGIN; grantTokens = 0; grantId = askId; grantSent = askSent; grant = true
  :: !lent && aCap ->
    lent = true; lentId = askId; lentUntil = now + TERM + MARGIN;
    grantTokens = aLevel; lentWorth = aLevel; aLevel = 0;
    grantId = askId; grantSent = askSent; grant = true
  :: else
  fi
}

/* receiveGrant takes the answer to the last ask about a loan that B has not
 * closed since, if its term, counted from before the ask left, still runs. */
inline receiveGrant() {
  if
#ifndef LOANS_ANY_ANSWER
  :: pending != grantId || grantSent != asked -> skip
#endif
#ifdef LOANS_TERM_FROM_ANSWER
  :: else -> pending = 0; borrowed = true; loanId = grantId; loanUntil = bRead + TERM; bLevel = bLevel + grantTokens
#else
  :: else -> pending = 0;
    if
    :: grantSent + TERM > bRead ->
      borrowed = true; loanId = grantId; loanUntil = grantSent + TERM; bLevel = bLevel + grantTokens
    :: else
    fi
#endif
  fi
}

/* close gives the loan back with the token above B's own part; B never uses
 * its id again, nor hears an answer for it. */
inline close() {
  repay = true; repayId = loanId; repayTokens = (bLevel > 1 -> 1 : 0);
  bLevel = bLevel - repayTokens; borrowed = false; loanId = 0; loanUntil = 0; pending = 0
}

inline receiveRepay() {
  if
  :: lent && lentId == repayId ->
    lent = false; lentId = 0; lentUntil = 0;
    if :: repayTokens <= lentWorth -> aLevel = aLevel + repayTokens :: else fi;
    lentWorth = 0
#ifdef LOANS_LATE_REPAY
  :: else -> aLevel = aLevel + repayTokens
#else
  :: else
#endif
  fi
}

inline takeOver() {
  taken = true; hFrom = now + QUARANTINE;
#ifdef LOANS_FULL_TAKE_OVER
  hLevel = 1
#else
  hLevel = 0
#endif
}

active proctype fleet() {
  do
  :: d_step { now < HORIZON -> tick(); settle() }
  :: d_step { bRead < now -> bRead = now; settle() }
  :: d_step { aHolds && !taken && aLease < now + LEASE -> aLease = now + LEASE }
  :: d_step { aAlive -> aAlive = false; settle() }
  :: d_step { !taken && now > aLease -> takeOver(); settle() }

  :: d_step { aCap && aLevel < 1 -> earn(aLevel); settle() }
  :: d_step { bLevel < bCap -> earn(bLevel); if :: bHolds && lent && lentId == loanId -> lentWorth = 1 :: else fi; settle() }
  :: d_step { hCap && hLevel < 1 -> earn(hLevel); settle() }
  :: d_step { aLevel > 0 -> spend(aLevel); settle() }
  :: d_step { bLevel > 0 -> spend(bLevel); settle() }
  :: d_step { hLevel > 0 && hCap -> spend(hLevel); settle() }

  :: d_step { !borrowed && lastId < 2 -> lastId++; ask = true; askId = lastId; askSent = bRead; pending = askId; asked = bRead }
  :: d_step { borrowed && asked < bRead -> ask = true; askId = loanId; askSent = bRead; pending = askId; asked = bRead }
  :: d_step { ask && aAlive -> lend(); settle() }
  :: d_step { ask -> ask = false; askId = 0; askSent = 0 }
  :: d_step { grant -> receiveGrant(); settle() }
  :: d_step { grant -> grant = false; grantId = 0; grantTokens = 0; grantSent = 0 }
  :: d_step { borrowed && !repay -> close(); settle() }
  :: d_step { repay && aAlive -> receiveRepay(); settle() }
  :: d_step { repay -> repay = false; repayId = 0; repayTokens = 0 }
  :: now == HORIZON -> break
  od
}
