// Package soak contains a randomized soak test. It runs entry hosts as separate
// processes against stand-ins of the platform and injects faults from outside. Its
// checks compare what callers and upstreams observe with the guarantees of the system.
// docs/DEVELOPMENT.md describes how to run it for longer.
package soak
