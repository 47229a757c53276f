// Package soak holds a randomized soak: real daemons as processes of their own,
// on stand-ins of the platform, with faults injected from outside. Its tests check
// what callers and upstreams see against what is promised. docs/DEVELOPMENT.md
// says how to run more of it.
package soak
