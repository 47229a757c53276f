// Package membership tracks the live daemons of the fleet, their load and
// health, and the quota slots that this daemon holds. All state is owned by the
// control thread: methods take the current time as an argument and, apart from
// ListHosts, do no I/O.
package membership
