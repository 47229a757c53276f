// Package front serves callers' requests: it finds the route, knows the
// customer by its key, admits or refuses, sends the request to an upstream and
// gives the answer back, whole or not at all.
//
// What may be concluded is decided where it is known. A refusal (429 or 503)
// says that the request has not run and never will; it is given only where
// every upstream that was asked certainly did not run it. 502 and 504 promise
// nothing.
package front
