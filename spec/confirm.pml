/*
 * How hosts confirm the state of the store to each other.
 *
 * The store's version increases by one with each withdrawal of a key. A watcher reads
 * the store; its state is valid as of the time at which it sent the read. Another host
 * requests the digest of the watcher's state and the age of that state. If the digest
 * matches the host's own state, the host's state is valid as of the time at which it sent
 * the request, less the age. Messages may be delayed without limit, and the host may be
 * killed and restarted at the same address while a response to it is in flight. The watcher
 * may be restarted at the same address, too; it then holds a stale listing, and responds
 * only after its first read.
 *
 * Checked by assertions: a host whose state is valid as of some time has every version
 * that the store had by then.
 *
 * Broken variants, which must be refuted:
 *   AS_OF_ANSWER  the host's state is valid as of the time at which a response arrives;
 *   NO_AGE        the host's state is valid as of the time of the request, without the age;
 *   READ_AT_END   the watcher's state is valid as of the time at which its read completes;
 *   ID_FROM_ONE   each process numbers its requests from one;
 *   UNCONFIRMED   a restarted watcher responds before its first read; it has no age to state.
 */
#define LENGTH 4    /* ticks */
#define VERSIONS 2
#define PROCESSES 1 /* kills */
#define RESTARTS 1  /* of the watcher */
#define QUESTIONS 3 /* requests of all processes together */
#define NONE 255

byte now;
byte version = 1;
byte had[LENGTH + 1]; /* the version of the store at the beginning of each tick */

byte watcherHas = 1;
byte watcherAt;
bool watcherConfirmed = true;
byte watcherRestarts;

byte hostHas = 1;
byte hostAt;
byte process;          /* number of times that the host was killed */
byte asked = NONE;     /* when the pending request was sent */
byte question;         /* ID of the pending request */
byte last;             /* last ID that was assigned */
byte questions;
bool told;             /* the watcher has responded; the response may be in flight */

/* At most two responses are in flight: ID, digest, age. */
chan answers = [2] of { byte, byte, byte };

inline holds(has, at) {
  assert(has >= had[at])
}

proctype Store() {
end:
  do
  :: atomic { version < VERSIONS -> version++ }
  :: atomic { now < LENGTH -> now++; had[now] = version }
  od
}

proctype Watcher() {
  byte reading, began;
end:
  do
  :: atomic { began = now }
     atomic { reading = version }
     atomic {
       watcherHas = reading;
#ifdef READ_AT_END
       watcherAt = now;
#else
       watcherAt = began;
#endif
       watcherConfirmed = true;
       holds(watcherHas, watcherAt); reading = 0; began = 0
     }
  :: atomic {
       watcherRestarts < RESTARTS ->
       watcherRestarts++;
       watcherHas = 1; watcherAt = 0; watcherConfirmed = false
     }
  od
}

/* The host receives missing changes from the watcher at any time. */
proctype Changes() {
end:
  do
  :: atomic { hostHas < watcherHas -> hostHas = watcherHas }
  od
}

proctype Host() {
  byte id, digest, age;
end:
  do
  :: atomic { asked == NONE && questions < QUESTIONS -> questions++; last++; question = last; asked = now; told = false }
#ifdef UNCONFIRMED
  :: atomic { asked != NONE && nfull(answers) && !told -> told = true; answers!question, watcherHas, (watcherConfirmed -> now - watcherAt : 0) }
#else
  :: atomic { asked != NONE && nfull(answers) && !told && watcherConfirmed -> told = true; answers!question, watcherHas, now - watcherAt }
#endif
  :: atomic { asked != NONE && now > asked + 1 -> asked = NONE } /* the request times out */
  :: atomic {
       answers??id, digest, age ->
       if
       :: id == question && asked != NONE && digest == hostHas ->
#ifdef AS_OF_ANSWER
         hostAt = now;
#else
#ifdef NO_AGE
         hostAt = asked;
#else
         hostAt = (age > asked -> 0 : asked - age);
#endif
#endif
         asked = NONE;
         holds(hostHas, hostAt)
       :: else -> skip
       fi;
       id = 0; digest = 0; age = 0
     }
  :: atomic {
       process < PROCESSES ->
       process++;
       asked = NONE;
       hostHas = watcherHas; /* the restarted host reads its state again */
       hostAt = 0;
#ifdef ID_FROM_ONE
       last = 0;
#endif
       question = 0
     }
  od
}

init {
  atomic {
    had[0] = 1;
    run Store(); run Watcher(); run Changes(); run Host()
  }
}
