// Package operator serves the operators' listener: the configuration and its
// changes, the fleet's status, why a request is sent where, health and metrics.
//
//	GET   /v1/config        the store's version
//	PATCH /v1/config        submit a change (JSON Merge Patch)
//	GET   /v1/changes       the recent changes
//	GET   /v1/changes/{id}  what has become of a change
//	GET   /v1/fleet         every host that is listed or was heard
//	GET   /v1/explain       why a customer's request goes where
//
// Refusals of PATCH: 400 malformed, 409 stale base or reused change id, 413
// too large, 422 invalid configuration, 503 not applied, 504 outcome unknown.
package operator
