// Package posting runs non-idempotent requests, called postings, at most once.
// A caller that wants to be able to retry a request sends a posting id, which
// consists of a prefix that one daemon instance issued and a suffix that the
// caller chose. Only the instance named in the prefix runs the posting, once,
// and it stores the outcome. All other daemons relay the request to that
// instance. If the instance no longer exists, they respond with outcome-unknown;
// the posting never runs a second time.
//
// The package solves the problem of callers that retry at any host, at any
// time, or many times concurrently: without it, a lost response becomes a lost
// or a duplicate posting. The table's decisions do not block and do no I/O, and
// the current time is a parameter. A full table rejects new ids; it never
// removes an id that a caller could still retry, so memory stays bounded.
package posting
