package quota

import (
	"sync"
	"time"
)

// Share is this daemon's part of one quota.
type Share struct {
	// Rate in tokens per second.
	Rate float64
	// Burst in tokens.
	Burst float64
}

// Ledger holds this daemon's bucket of each quota. Traffic threads take from
// it; the control thread sets the shares. It is safe for concurrent use.
type Ledger struct {
	// Fence stops spending after a pause.
	Fence   Fence
	mu      sync.Mutex
	buckets map[string]*Bucket
}

// NewLedger returns a ledger without buckets: it admits nothing.
func NewLedger() *Ledger { return &Ledger{buckets: map[string]*Bucket{}} }

// SetShares replaces all shares. A quota that is new to the ledger starts
// with an empty bucket: whoever held the share before may have spent it.
func (l *Ledger) SetShares(shares map[string]Share, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.buckets {
		if _, kept := shares[name]; !kept {
			delete(l.buckets, name)
		}
	}
	for name, s := range shares {
		if b := l.buckets[name]; b != nil {
			b.Reshape(s.Rate, s.Burst, now)
			continue
		}
		l.buckets[name] = NewBucket(s.Rate, s.Burst, 0, now)
	}
}

// Take spends cost of a quota. If it cannot, it returns how long until it
// could; a negative time means that it is not known.
func (l *Ledger) Take(name string, cost float64, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[name]
	if b == nil || !l.Fence.Open(now) {
		return false, -1
	}
	return b.Take(cost, now)
}

// Refund gives back what was taken for a request that certainly did not run.
func (l *Ledger) Refund(name string, cost float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[name]; b != nil {
		b.Refund(cost, now)
	}
}
