// Package standin provides test doubles of the outside systems: the platform (store,
// leases, watches, host list), upstreams and callers. balsamlab serves them as processes,
// and tests use them in-process. They can produce the faults of the real systems: lost
// responses, outages, slowness, expired leases, stale lists, cold starts and inaccurate
// load reports.
package standin
