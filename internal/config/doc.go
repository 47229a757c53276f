// Package config defines the configuration that operators change at run time:
// regions, zones, links, services, upstreams, customers with their keys, moves,
// drains and client blocks. It parses and validates a document, applies merge
// patches to a numbered version, and stores the versions in the platform's
// store.
//
// Every section is a map by name, so that a JSON Merge Patch (RFC 7396) changes
// only the entries it names, and two patches conflict only if they write the
// same path.
package config
