// Package entry serves the callers' listener of an entry host: the lookup of
// entry hosts, and requests to services. A service request is authenticated by
// the caller's API key, which is then removed, admitted within its customer's
// quota and deadline, and run by a chosen handler. See docs/ARCHITECTURE.md.
package entry
