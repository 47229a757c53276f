package share

import (
	"sync"
	"time"
)

const (
	// silenceTrialInterval is the time between two requests that are sent to a silent host
	// nevertheless, to find out whether it responds again.
	silenceTrialInterval = 250 * time.Millisecond
	// silenceMemory is how long a host that is no longer queried stays recorded.
	silenceMemory = 10 * time.Second
)

// Silence records which hosts have not responded to a request, by address, so that the requests
// that follow do not wait for them. It is safe for concurrent use.
type Silence struct {
	mu sync.Mutex
	// triedAt is when each silent host was last queried.
	triedAt map[string]time.Time
}

// NewSilence returns a record without silent hosts.
func NewSilence() *Silence { return &Silence{triedAt: map[string]time.Time{}} }

// MayQuery reports whether a host is to be queried now: it is not silent, or a trial is due.
func (s *Silence) MayQuery(now time.Time, host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, silent := s.triedAt[host]
	if !silent {
		return true
	}
	if now.Sub(at) < silenceTrialInterval {
		return false
	}
	s.triedAt[host] = now
	return true
}

// TimedOut records that a host has not responded to a query.
func (s *Silence) TimedOut(now time.Time, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, at := range s.triedAt {
		if now.Sub(at) >= silenceMemory {
			delete(s.triedAt, other)
		}
	}
	s.triedAt[host] = now
}

// Heard records that a host has sent something.
func (s *Silence) Heard(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.triedAt, host)
}
