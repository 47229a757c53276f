package tunnel

import (
	"sync"
	"time"
)

// upRounds is the number of consecutive rounds of successful dials after which the links count as
// up. One round may succeed while links come and go.
const upRounds = 2

// links is whether the links of this host to upstreams are up. It is safe for concurrent use.
type links struct {
	mu   sync.Mutex
	down bool
	// downSince is the time of the last change to down.
	downSince time.Time
	// changed is closed at the next change of down.
	changed chan struct{}
	// succeededAt is when a direct connection was last opened.
	succeededAt time.Time
	// roundsUp is the number of consecutive rounds of successful dials while down.
	roundsUp int
}

func newLinks() *links { return &links{changed: make(chan struct{})} }

// state returns whether the links are down, and a channel that is closed at the next change.
func (l *links) state() (down bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down, l.changed
}

func (l *links) isDown() bool {
	down, _ := l.state()
	return down
}

// recordSuccess records that a direct connection was opened.
func (l *links) recordSuccess(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.succeededAt = now
}

// succeededSince reports whether a direct connection was opened after a point in time.
func (l *links) succeededSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.succeededAt.After(t)
}

// recordDown records that only peers reach upstreams, and reports whether that is news.
func (l *links) recordDown(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return false
	}
	l.down, l.downSince, l.roundsUp = true, now, 0
	l.notify()
	return true
}

// recordRound records a round of direct dials while the links are down. It reports whether they
// now count as up, and for how long they were down.
func (l *links) recordRound(now time.Time, succeeded bool) (up bool, downFor time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !succeeded {
		l.roundsUp = 0
		return false, 0
	}
	if l.roundsUp++; l.roundsUp < upRounds {
		return false, 0
	}
	l.down, l.succeededAt = false, now
	l.notify()
	return true, now.Sub(l.downSince)
}

func (l *links) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
