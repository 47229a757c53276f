/*
 * Postings run at most once, over entry hosts.
 *
 * One posting id. Its prefix names host OWNER and epoch 0. Two callers (the
 * same customer's phone and its retry, say) ask at any host, each a few times.
 * A host that is not the named one relays to it, or to the host that took its
 * memory over; if neither is reached the answer is outcome-unknown.
 *
 *   crash      the owner dies at any moment; its memory is gone
 *   stop       the owner closes its table (no new runs), waits until what runs
 *              has ended, hands the table to NEXT, dies
 *   restart    a new instance appears on the owner's host, with another name
 *   lost       any answer, of the upstream or of a relay, may be lost; then
 *              the asker is told may-have-run
 *   epochs     time passes: an epoch is forgotten, with its records
 *
 * Checked:
 *   - the upstream runs the posting at most once;
 *   - a not-run answer is true for ever: the attempt that was answered not-run
 *     has not run it and never will; and where the owner's memory (or its
 *     successor) calls the id not-run, no attempt has run it nor will.
 *
 * Broken variants, each of which must be refuted:
 *   PREFIX_IGNORED    a host runs the posting itself if the owner is gone
 *   RESTART_RUNS      the new instance takes the old one's prefix for its own
 *   ABANDON_IN_DOUBT  a run whose answer was lost is taken out of the table
 *   EARLY_HANDOVER    the table goes over, without what still runs, before
 *                     the running ones have ended
 *   FORGOTTEN_RUNS    an id of a forgotten epoch counts as new
 *   OPEN_TABLE        the table is not closed before it is handed over
 */

#define TRIES 2

mtype = { absent, running, ended, doubt };       /* record of the id */
mtype = { ran, notRun, mayHaveRun };             /* what a caller is told */

mtype record = absent;       /* the owner's memory */
mtype archive = absent;      /* what NEXT was handed */
bool ownerAlive = true;
bool sealed = false;
bool taken = false;          /* NEXT answers for the owner */
bool restarted = false;
bool forgotten = false;      /* the id's epoch is older than is remembered */
byte runs = 0;               /* how often the upstream ran the posting */
byte dispatching = 0;        /* dispatches on their way to the upstream */
bool denied = false;         /* someone was told that the id never ran */

/* The upstream runs a dispatch some time after it was sent, or never. */
inline dispatch(outcome) {
	dispatching++;
	if
	:: atomic {                    /* refused before anything was sent */
		dispatching--;
		outcome = notRun
	}
	:: atomic {                    /* it runs, the answer comes back */
		runs++;
		dispatching--;
		assert(runs <= 1);
		assert(!denied);
		outcome = ran
	}
	:: atomic {                    /* it runs, the answer is lost */
		runs++;
		dispatching--;
		assert(runs <= 1);
		assert(!denied);
		outcome = mayHaveRun
	}
	:: atomic {                    /* the answer is lost before it runs */
		outcome = mayHaveRun;
		late = true
	}
	fi
}

/* A dispatch whose sender has given up may still run. */
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
		/* The request reaches the named instance, directly or relayed. */
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
			:: record == running -> told = mayHaveRun   /* waits, gives up */
			:: record == ended -> told = ran
			:: record == doubt -> told = mayHaveRun
			fi
		}
		/* The owner is gone and NEXT answers for it. */
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
		/* Nobody is reached, or the new instance is. */
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
			/* The dispatching host keeps how it ended, if it still lives. */
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

/* The owner crashes, or is stopped as planned. */
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
		/* The bound of the stop is over, or it crashes meanwhile. */
		:: true -> skip
		fi;
#endif
		if
		:: ownerAlive = false; goto end     /* nobody takes it */
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
	:: skip                              /* it lives on */
	fi;
end:
	if
	:: !ownerAlive -> restarted = true
	:: !ownerAlive -> skip
	:: ownerAlive -> skip
	fi
}

/* The id's epoch passes out of memory, with its record. */
proctype Time() {
	atomic {
		forgotten = true;
		if
		:: record != running -> record = absent
		:: else -> record = absent         /* the run goes on without it */
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
