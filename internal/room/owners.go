package room

import (
	"sync"
	"time"
)

// retryInterval is the time after which one request waits for a silent owner again.
const retryInterval = time.Second

// Owners tracks which owners do not respond, so that requests do not wait for them. It is safe for
// concurrent use.
type Owners struct {
	mu sync.Mutex
	// silent holds when a request last waited for an owner that did not respond, by instance.
	silent map[string]time.Time
}

// NewOwners returns the state in which all owners are taken to respond.
func NewOwners() *Owners { return &Owners{silent: map[string]time.Time{}} }

// MayWait reports whether a request may wait for the owner's answer.
func (o *Owners) MayWait(now time.Time, owner string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	waitedAt, silent := o.silent[owner]
	if !silent {
		return true
	}
	if now.Sub(waitedAt) < retryInterval {
		return false
	}
	o.silent[owner] = now
	return true
}

// NoAnswer records that the owner has not answered in time. It reports whether the owner was not
// known to be silent.
func (o *Owners) NoAnswer(now time.Time, owner string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, silent := o.silent[owner]
	o.silent[owner] = now
	return !silent
}

// Heard records that the owner has answered in time or has sent a newer heartbeat.
func (o *Owners) Heard(owner string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.silent, owner)
}

// Forget removes the owners that are not in known.
func (o *Owners) Forget(known func(owner string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for owner := range o.silent {
		if !known(owner) {
			delete(o.silent, owner)
		}
	}
}

// Silent returns the number of silent owners.
func (o *Owners) Silent() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.silent)
}
