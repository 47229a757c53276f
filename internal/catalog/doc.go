// Package catalog holds what operators declare for the entry hosts: routes,
// services, customers and limits under one version, and what upstreams say of
// themselves. A Catalog is immutable and indexed once, so that a request costs
// one map look-up by host, a longest-prefix match and one map look-up by key.
package catalog
