// Package upstream manages the upstreams that a daemon handles. Rendezvous
// hashing assigns each upstream to one ready daemon of its zone, its handler.
// Only the handler sends requests to the upstream, so its count of running
// requests is exact. The package holds that assignment, the concurrency limit
// and health of each upstream, the queue in front of each service, and the
// connections to the upstreams.
package upstream
