// Package entryhost is the daemon of one entry host on the users' platform. It
// puts the slices together: one control thread owns what the daemon believes of
// the fleet and the store, and publishes it for the threads that serve callers.
package entryhost
