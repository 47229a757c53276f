/* A quota of two tokens over two slots. Daemon A holds one slot under a lease
 * and lends its share to B, which holds the other slot. H takes A's slot after
 * the lease has expired. Messages may be lost, duplicated and delayed; A may
 * crash or be suspended past its lease; B's clock value may be one tick old
 * when B spends a token. ref is a single token bucket for the full quota: every
 * spent token must be available in it, and the tokens of all daemons together
 * must not exceed its level.
 *
 * Each broken variant, which must be refuted, removes one safeguard; see
 * broken.txt.
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

/* A: the end of its lease by its own clock, the level of its bucket, and the
 * loan that it has granted. */
bool aAlive = true;
byte aLease = LEASE, aLevel = 1;
bool lent;
byte lentId, lentUntil, lentWorth;

/* B: its clock value, the level of its bucket, the loan that it has borrowed,
 * and the pending request. */
byte bRead, bLevel = 1;
bool borrowed;
byte loanId, loanUntil, pending, asked, lastId;

/* H: the next holder of A's slot. */
bool taken;
byte hFrom, hLevel;

/* Messages. Each may be received repeatedly until it is lost. */
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

/* settle ends expired loans and discards tokens above the bucket capacities. */
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

/* lend responds to a loan request: it grants A's share, if that is not lent,
 * with the token in it. A request for the current loan extends the loan,
 * unless A has lost the slot. */
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

/* receiveGrant accepts a grant only if it responds to the last request, for a
 * loan that B has not closed since, and if the loan's term, which starts when
 * the request was sent, has not ended. */
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

/* close returns the loan with the token above B's own share. B never uses the
 * loan's ID again, and ignores later responses for it. */
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
