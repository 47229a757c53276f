// Package catalog holds the configuration that operators declare for the entry hosts
// (routes, services, customers and limits, under one version), and the entries that
// upstreams register. A Catalog is immutable and indexed once, so that a request costs
// one map lookup by host, a longest-prefix match and one map lookup by key.
package catalog
