/*
 * Postings run at most once across all entry hosts.
 *
 * The model has one posting ID. Its prefix names host OWNER and epoch 0. Two
 * callers (for example a client and its retry) send the posting to any host,
 * each several times. A host that is not the owner relays the posting to the
 * owner, or to the host to which the owner's table was transferred. If it
 * reaches neither, the response is outcome-unknown.
 *
 *   crash      the owner crashes at any time and loses its table
 *   stop       the owner closes its table (no new runs), waits until running
 *              postings have ended, transfers the table to NEXT and exits
 *   restart    a new instance starts on the owner's host, under another name
 *   lost       any response of the upstream or of a relay may be lost; then
 *              the caller receives may-have-run
 *   epochs     an epoch expires, and its records are removed
 *
 * Checked:
 *   - the upstream runs the posting at most once;
 *   - a not-run response stays true: the attempt that got it has not run the
 *     posting and never will; and if the owner's table (or its successor's)
 *     reports the ID as not run, no attempt has run it or will run it.
 *
 * Broken variants, each of which must be refuted:
 *   PREFIX_IGNORED    a host runs the posting itself if the owner is absent
 *   RESTART_RUNS      the new instance treats the old instance's prefix as its own
 *   ABANDON_IN_DOUBT  a run whose response was lost is removed from the table
 *   EARLY_HANDOVER    the table is transferred before running postings have
 *                     ended, and without them
 *   FORGOTTEN_RUNS    an ID of an expired epoch counts as new
 *   OPEN_TABLE        the table is not closed before it is transferred
 */

#define TRIES 2

mtype = { absent, running, ended, doubt };       /* record of the ID */
mtype = { ran, notRun, mayHaveRun };             /* outcome that a caller receives */

mtype record = absent;       /* the owner's table */
mtype archive = absent;      /* the record that was transferred to NEXT */
bool ownerAlive = true;
bool sealed = false;
bool taken = false;          /* NEXT has the owner's table */
bool restarted = false;
bool forgotten = false;      /* the ID's epoch has expired */
byte runs = 0;               /* number of times that the upstream ran the posting */
byte dispatching = 0;        /* dispatches in flight to the upstream */
bool denied = false;         /* a caller was told that the ID never ran */

/* The upstream runs a dispatch at some time after it was sent, or never. */
inline dispatch(outcome) {
	dispatching++;
	if
	:: atomic {                    /* rejected before anything was sent */
		dispatching--;
		outcome = notRun
	}
	:: atomic {                    /* it runs, the response arrives */
		runs++;
		dispatching--;
		assert(runs <= 1);
		assert(!denied);
		outcome = ran
	}
	:: atomic {                    /* it runs, the response is lost */
		runs++;
		dispatching--;
		assert(runs <= 1);
		assert(!denied);
		outcome = mayHaveRun
	}
	:: atomic {                    /* the sender gives up before it runs */
		outcome = mayHaveRun;
		late = true
	}
	fi
}

/* A dispatch that its sender has abandoned may still run. */
inline runLate() {
	if
	:: atomic {
		late ->
		late = false;
		dispatching--;
		if
		:: runs++; assert(runs <= 1); assert(!denied)
		:: skip                        /* it never arrived */
		fi
	}
	:: else
	fi
}

proctype Caller() {
	byte try = 0;
	mtype told;
	mtype got;
	bool mine;
	bool late = false;

	do
	:: try < TRIES ->
		try++;
		mine = false;
		told = mayHaveRun;
		if
		/* The request reaches the owner, directly or through a relay. */
		:: atomic {
			ownerAlive ->
			if
#ifdef FORGOTTEN_RUNS
			:: record == absent && !sealed -> record = running; mine = true
#else
			:: forgotten -> told = mayHaveRun
			:: !forgotten && record == absent && !sealed -> record = running; mine = true
#endif
			:: !forgotten && record == absent && sealed ->
				told = notRun; denied = true; assert(runs == 0 && dispatching == 0)
			:: record == running -> told = mayHaveRun   /* waits until a timeout */
			:: record == ended -> told = ran
			:: record == doubt -> told = mayHaveRun
			fi
		}
		/* The owner has exited and NEXT has its table. */
		:: atomic {
			!ownerAlive && taken ->
			if
			:: forgotten -> told = mayHaveRun
			:: !forgotten && archive == absent ->
				told = notRun; denied = true; assert(runs == 0 && dispatching == 0)
			:: !forgotten && archive == ended -> told = ran
			:: !forgotten && archive == doubt -> told = mayHaveRun
			fi
		}
		/* No host with the table is reached, or only the new instance is. */
		:: atomic {
#ifdef PREFIX_IGNORED
			!ownerAlive && !taken -> mine = true
#else
#ifdef RESTART_RUNS
			restarted -> mine = true
#else
			true -> told = mayHaveRun
#endif
#endif
		}
		fi;
		if
		:: mine ->
			dispatch(got);
			/* The dispatching host records the outcome, if it still runs. */
			atomic {
				if
				:: ownerAlive && record == running && got == ran -> record = ended
				:: ownerAlive && record == running && got == notRun -> record = absent
#ifdef ABANDON_IN_DOUBT
				:: ownerAlive && record == running && got == mayHaveRun -> record = absent
#else
				:: ownerAlive && record == running && got == mayHaveRun -> record = doubt
#endif
				:: else
				fi;
				told = got;
				if
				:: got == notRun -> assert(!late)
				:: else
				fi
			}
		:: else
		fi;
		if
		:: told == ran -> assert(runs == 1)
		:: else
		fi;
		runLate()
	:: try >= TRIES -> break
	od
}

/* The owner crashes, or stops as planned. */
proctype Owner() {
	if
	:: ownerAlive = false
	:: true ->
#ifndef OPEN_TABLE
		sealed = true;
#endif
#ifndef EARLY_HANDOVER
		if
		:: record != running
		/* The timeout of the stop expires, or the owner crashes meanwhile. */
		:: true -> skip
		fi;
#endif
		if
		:: ownerAlive = false; goto end     /* no host receives the table */
		:: atomic {
#ifdef EARLY_HANDOVER
			archive = (record == running -> absent : record);
#else
			archive = (record == running -> doubt : record);
#endif
			taken = true
		}
		fi;
		ownerAlive = false
	:: skip                              /* the owner keeps running */
	fi;
end:
	if
	:: !ownerAlive -> restarted = true
	:: !ownerAlive -> skip
	:: ownerAlive -> skip
	fi
}

/* The ID's epoch expires, and its record is removed. */
proctype Time() {
	atomic {
		forgotten = true;
		if
		:: record != running -> record = absent
		:: else -> record = absent         /* the run continues without a record */
		fi;
		archive = absent
	}
}

init {
	atomic {
		run Caller();
		run Caller();
		run Owner();
		run Time()
	}
}
