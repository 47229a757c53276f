// Package entry serves the callers' listener of an entry host: the lookup of
// entry hosts, and requests to services. A service request is authenticated by
// the caller's API key, which is then removed, admitted within its customer's
// quota and deadline, and sent to a handler, which is a daemon that runs requests
// on upstreams of its own zone. See docs/ARCHITECTURE.md.
package entry
