/* Ownership of one quota slot by two daemons of one availability zone.
 *
 * The store's entry names the slot's holder and is not tied to a lease, so that
 * it outlives store outages. A daemon spends tokens of the slot only after its
 * own compare-and-swap, sent since its last suspension, has named it as the
 * holder. It takes another daemon's slot only after that daemon has been
 * unresponsive in the zone for the holder timeout, which is longer than the
 * delay of a control tick that counts as a pause. A daemon that detects a late
 * tick (pause), or receives no heartbeats at all (isolation), suspends itself
 * before that. Calls may take effect late, also after the caller has stopped
 * waiting for the response. A store outage needs no state of its own, because
 * every read and every call may be delayed without limit.
 *
 * Assumption: daemons of a zone receive each other's heartbeats unless they
 * have crashed, are paused, or are isolated from all other daemons.
 *
 * Broken variants, which must be refuted:
 *  NO_LATE_TICK   a paused holder keeps spending when it resumes
 *  NO_CUT_CHECK   an isolated holder keeps spending
 *  NO_WAIT        a daemon takes a slot without waiting for the holder timeout
 *  LOST_IS_UNDONE a slot transfer without a response counts as not executed
 *  READ_CONFIRMS  a resumed holder spends after a read instead of a swap
 *  STALE_ANSWER   a response to a call from before the suspension counts
 */
#define DAEMONS 2
#define NOBODY 2
#define MAX_WRITES 4
#define UNREAD 7

mtype = { RUN, PAUSED, CUT, DEAD }

typedef Call {
	bool sent;   /* in flight, or executed and without a response so far */
	bool taken;  /* the store has executed it */
	bool ok;
	byte at;     /* expected revision */
	byte to      /* new holder; NOBODY deletes the entry */
}

mtype mode[DAEMONS];
bool silent[DAEMONS];  /* unresponsive for the holder timeout */
bool spends[DAEMONS];
bool fresh[DAEMONS];   /* the current call was sent since the last suspension */
byte seenHolder[DAEMONS];
byte seenAt[DAEMONS];
Call now[DAEMONS];     /* the call whose response is pending */
Call late;             /* an abandoned call, which may still take effect */

byte holder = NOBODY;
byte revision = 0;     /* 0: no entry */
byte writes = 0;

#define running(d) (mode[d] == RUN || mode[d] == CUT)

inline suspend(W) {
	spends[W] = false;
#ifndef STALE_ANSWER
	fresh[W] = false
#else
	skip
#endif
}

inline send(W, T) {
	now[W].sent = true;
	now[W].taken = false;
	now[W].ok = false;
	now[W].at = seenAt[W];
	now[W].to = T;
	seenHolder[W] = NOBODY;
	seenAt[W] = UNREAD;
	fresh[W] = true
}

inline clear(C) {
	C.sent = false;
	C.taken = false;
	C.ok = false;
	C.at = 0;
	C.to = 0
}

inline act(C) {
	C.taken = true;
	if
	:: C.at == revision && writes < MAX_WRITES ->
		C.ok = true;
		writes++;
		holder = C.to;
		if
		:: C.to == NOBODY -> revision = 0
		:: else -> revision = writes
		fi
	:: else -> C.ok = false
	fi
}

inline check() {
	assert(!(spends[0] && running(0) && spends[1] && running(1)))
}

proctype daemon(byte d) {
	byte other;
	do
	/* Read the store; stop spending if another daemon holds the slot. */
	:: atomic { mode[d] == RUN && !now[d].sent ->
		seenHolder[d] = holder;
		seenAt[d] = revision;
		if
		:: holder != d -> spends[d] = false
		:: else -> skip
		fi;
#ifdef READ_CONFIRMS
		if
		:: holder == d -> spends[d] = true
		:: else -> skip
		fi;
#endif
		check() }
	/* Claim a free slot, or confirm a slot that this daemon holds in the store. */
	:: atomic { mode[d] == RUN && !now[d].sent && !spends[d] &&
		seenAt[d] != UNREAD && (seenHolder[d] == NOBODY || seenHolder[d] == d) -> send(d, d) }
	/* Take the slot of a daemon that was unresponsive for the holder timeout. */
	:: atomic { mode[d] == RUN && !now[d].sent && seenHolder[d] != NOBODY && seenHolder[d] != d ->
		other = seenHolder[d];
#ifdef NO_WAIT
		if
		:: mode[other] != RUN -> send(d, d)
#else
		if
		:: silent[other] || mode[other] == DEAD -> send(d, d)
#endif
		:: else -> skip
		fi;
		other = 0 }
	/* Stop spending, then transfer the slot to the other daemon or delete the entry. */
	:: atomic { mode[d] == RUN && !now[d].sent && spends[d] && seenHolder[d] == d ->
		if
		:: other = 1 - d
		:: other = NOBODY
		fi;
		spends[d] = false;
		send(d, other);
		other = 0 }
	/* The response arrives. */
	:: atomic { mode[d] == RUN && now[d].taken ->
		if
		:: now[d].ok && now[d].to == d && fresh[d] -> spends[d] = true
		:: else -> skip
		fi;
		clear(now[d]);
		check() }
	/* The response is lost or too late; the call may still take effect. */
	:: atomic { mode[d] == RUN && now[d].sent && !late.sent ->
#ifdef LOST_IS_UNDONE
		if
		:: now[d].to != d -> spends[d] = true
		:: else -> skip
		fi;
#endif
		if
		:: now[d].taken -> skip
		:: else ->
			late.sent = true;
			late.at = now[d].at;
			late.to = now[d].to
		fi;
		clear(now[d]);
		check() }
	od
}

proctype world() {
	byte d;
	do
	:: atomic { select(d : 0 .. 1);
		if
		:: now[d].sent && !now[d].taken -> act(now[d])
		:: late.sent -> act(late); clear(late)
		:: mode[d] == RUN -> mode[d] = PAUSED
		:: mode[d] == RUN -> mode[d] = CUT
		:: d == 0 && mode[d] != DEAD -> mode[d] = DEAD; silent[d] = true
		:: mode[d] == PAUSED && !silent[d] -> silent[d] = true
		:: mode[d] == CUT && !silent[d] ->
			silent[d] = true;
#ifndef NO_CUT_CHECK
			suspend(d)
#endif
		:: mode[d] == PAUSED ->
#ifndef NO_LATE_TICK
			if
			:: silent[d] -> suspend(d)
			:: else -> skip
			fi;
#endif
			silent[d] = false;
			mode[d] = RUN
		:: mode[d] == CUT -> silent[d] = false; mode[d] = RUN
		:: else -> skip
		fi;
		check();
		d = 0 }
	od
}

init {
	atomic {
		byte i = 0;
		do
		:: i < DAEMONS ->
			mode[i] = RUN;
			seenHolder[i] = NOBODY;
			seenAt[i] = UNREAD;
			run daemon(i);
			i++
		:: else -> break
		od;
		run world()
	}
}
