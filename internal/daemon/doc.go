// Package daemon assembles the other packages into the balsambarrowd process.
// It owns the listeners, the control thread and the planned stop.
//
// The control thread is one goroutine that owns membership, slots and the
// configuration in force. All other goroutines send it typed messages and read
// the immutable snapshots that it publishes.
package daemon
