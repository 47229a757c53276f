// Package posting runs non-idempotent requests at most once. A caller that
// wants to be able to ask again bears a posting id: the prefix of one daemon
// instance and the caller's own part. Only that instance runs it, once, and
// keeps the outcome; every other daemon passes it on, and answers
// outcome-unknown where the instance is gone. Nobody ever runs it a second
// time.
//
// The decision is pure: time comes as an argument, nothing here waits or
// calls. The load pattern answered is a caller that asks again, at any host,
// at any time, also many at once; without it a lost answer becomes a lost or
// a doubled posting. Memory is bounded by refusing new ids when it is full,
// never by forgetting one that could still come back.
package posting
