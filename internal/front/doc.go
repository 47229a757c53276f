// Package front is the HTTP handler for callers' requests. For each request it
// matches the route, authenticates the customer by its key, applies the rate
// limit, forwards the request to an upstream with retries, and returns the
// response, complete or not at all.
//
// The status code tells the caller whether it is safe to send the request
// again. The statuses 429 and 503 guarantee that the request has not run and
// will not run; they are sent only if no upstream that was tried can have run
// the request. The statuses 502 and 504 guarantee nothing.
package front
