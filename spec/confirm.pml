/*
 * How hosts confirm to each other what the store holds.
 *
 * The store's version rises by one with each withdrawal of a key. A watcher reads
 * the store and knows as of when its reading certainly holds: when it asked. Another
 * host asks the watcher for what it knows and its age. Where that is the same as it
 * knows itself, it takes the answer for the time of the question less the age. Any
 * message may be on its way for as long as it likes, and the host may be killed and
 * start again with the same address while an answer is on its way to it.
 *
 * Checked by assertions: a host that says that it knows what the store held at some
 * time knows every version that the store had by then.
 *
 * Broken variants, which must be refuted:
 *   AS_OF_ANSWER  the host takes an answer for the time at which it comes;
 *   NO_AGE        it takes it for the time of the question;
 *   READ_AT_END   the watcher takes its reading for the time at which it comes;
 *   ID_FROM_ONE   each process numbers its questions from one.
 */
#define LENGTH 4    /* ticks */
#define VERSIONS 2
#define PROCESSES 1 /* kills */
#define QUESTIONS 3 /* of all processes together */
#define NONE 255

byte now;
byte version = 1;
byte had[LENGTH + 1]; /* the version of the store at the beginning of each tick */

byte watcherHas = 1;
byte watcherAt;

byte hostHas = 1;
byte hostAt;
byte process;          /* how often the host was killed */
byte asked = NONE;     /* when the question left that has no answer yet */
byte question;         /* its id */
byte last;             /* the id given out last */
byte questions;
bool told;             /* the question was answered; the answer may be on its way */

/* at most two answers are on their way: id, digest, age */
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
       holds(watcherHas, watcherAt); reading = 0; began = 0
     }
  od
}

/* The changes that the host lacks come from the watcher, whenever they like. */
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
  :: atomic { asked != NONE && nfull(answers) && !told -> told = true; answers!question, watcherHas, now - watcherAt }
  :: atomic { asked != NONE && now > asked + 1 -> asked = NONE } /* given up */
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
       hostHas = watcherHas; /* read anew */
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
