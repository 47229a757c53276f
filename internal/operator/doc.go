// Package operator implements the operators' HTTP API of a daemon, comparable
// to the admin interface of a proxy. The API reads and changes the stored
// configuration, reports the status of the fleet, explains how a request would
// be routed, and serves health checks and metrics.
//
//	GET   /v1/config        the stored configuration and its version
//	PATCH /v1/config        submit a change (JSON Merge Patch)
//	GET   /v1/changes       the recent changes
//	GET   /v1/changes/{id}  the outcome of a change
//	GET   /v1/fleet         every host in the host list or known from heartbeats
//	GET   /v1/explain       how a customer's request would be routed, and why
//	GET   /livez            200 while the process serves HTTP
//	GET   /readyz           200 if the daemon is ready, else 503
//	GET   /metrics          metrics in the Prometheus text format
//
// PATCH fails with 400 if the request is malformed, 409 if its base version is
// stale or its change id is reused, 413 if it is too large, 422 if the resulting
// configuration is invalid, 503 if the change was not applied, and 504 if its
// outcome is unknown.
package operator
