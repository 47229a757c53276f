package room

import (
	"errors"
	"sync"
	"time"
)

const (
	// boundFactor bounds the requests of all hosts at an upstream, as a multiple of its slots: a
	// request waits there for one service time at most. Requests that can wait at their host ask
	// for less.
	boundFactor = 2
	// countTTL is how long a holder's count is valid without a further message. Later, the requests
	// of a holder that still runs show in the upstream's own reports.
	countTTL = 2 * time.Second
	// holderTTL is how long the sequence of a holder without requests is kept; it exceeds the time
	// that a datagram may take.
	holderTTL = 5 * time.Second
	// interestTTL is how long a refused holder is told of free room, and keepTime how long that room
	// is kept for it: a message inside the region, and the time in which a busy host handles it.
	interestTTL = 500 * time.Millisecond
	keepTime    = 30 * time.Millisecond
	// unannouncedDecay is the time constant with which requests decay that no holder announced.
	unannouncedDecay = 400 * time.Millisecond
	// maxReportAge is the age of the oldest load report that is compared with the announced counts.
	maxReportAge = 50 * time.Millisecond
	// maxUpstreams and maxHolders bound what the ledger holds.
	maxUpstreams = 1 << 15
	maxHolders   = 512
)

// ErrFull is returned for a statement about more upstreams or holders than the ledger holds.
var ErrFull = errors.New("room: too many upstreams or holders")

// Ledger holds the room of the upstreams that this host owns. It is safe for concurrent use.
type Ledger struct {
	mu        sync.Mutex
	upstreams map[uint64]*account
	alive     map[uint64]bool
	expired   int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{upstreams: map[uint64]*account{}} }

// Answer is the owner's answer to a holder.
type Answer struct {
	Granted bool
	// Others is the number of requests at the upstream that are not the holder's.
	Others int
	// Slowdown is the last that the upstream has reported to any holder of its region, and
	// SlowdownAge the time since; 0 if it has reported none.
	Slowdown    float64
	SlowdownAge time.Duration
}

// Freed tells a holder that was refused of free room, which is kept for it for a short time.
type Freed struct {
	Upstream, Holder uint64
	Others           int
}

// Report is an upstream's load report. Requests is its own count of its running and waiting requests,
// and includes the request with whose response the report was received, Age ago. Slowdown is how
// long work takes there, relative to the usual time; 0 if not reported.
type Report struct {
	Requests int
	Slowdown float64
	Age      time.Duration
}

// Reserve decides about one more request of a holder. It is granted if at most maxAhead requests
// are ahead of it, and the owner's bound is not exceeded. A refused holder is told of free room for
// a while. The error is a *StatementError or ErrFull.
func (l *Ledger) Reserve(now time.Time, s Statement, maxAhead int) (Answer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, h, err := l.open(now, s)
	if err != nil {
		return Answer{}, err
	}
	h.apply(now, s)
	h.keptUntil = time.Time{}
	answer := a.answer(now, s.Holder)
	switch {
	case s.Sequence < h.settled:
		// The holder no longer awaits the answer.
	case h.hasGrant(s.Sequence):
		answer.Granted = true
	case a.ahead(now, s.Holder) > min(maxAhead, a.bound()-1):
		a.remember(now, s.Holder, maxAhead)
	default:
		answer.Granted = true
		h.granted = append(h.granted, reservation{s.Sequence, earlier(s.Until, now.Add(countTTL))})
	}
	return answer, nil
}

// Announce applies the count of a holder that has sent a request without a reservation. The errors
// are those of Reserve.
func (l *Ledger) Announce(now time.Time, s Statement) (Answer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, h, err := l.open(now, s)
	if err != nil {
		return Answer{}, err
	}
	h.apply(now, s)
	answer := a.answer(now, s.Holder)
	answer.Granted = true
	return answer, nil
}

// Release applies the count of a holder after the end of a request, and the upstream's load report
// that came with the response, if any. It returns the holders to tell of free room. The errors are
// those of Reserve; a *StatementError about the report leaves only the report out.
func (l *Ledger) Release(now time.Time, s Statement, report *Report) ([]Freed, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, h, err := l.open(now, s)
	if err != nil {
		return nil, err
	}
	// What the holder states does not depend on what the upstream reports.
	err = report.check()
	if err == nil && report != nil && report.Age <= maxReportAge {
		a.observe(now, *report)
	}
	h.apply(now, s)
	return a.offer(now, s.Upstream), err
}

// open returns the account of an upstream and the entry of the holder, both as of now.
func (l *Ledger) open(now time.Time, s Statement) (*account, *holder, error) {
	if err := s.check(); err != nil {
		return nil, nil, err
	}
	a := l.upstreams[s.Upstream]
	if a == nil {
		if len(l.upstreams) >= maxUpstreams {
			return nil, nil, ErrFull
		}
		a = &account{holders: map[uint64]*holder{}}
		l.upstreams[s.Upstream] = a
	}
	a.slots = s.Slots
	l.expired += a.expire(now)
	h := a.holder(s.Holder)
	if h == nil {
		return nil, nil, ErrFull
	}
	return a, h, nil
}

// Sweep removes what has expired, and returns the holders to tell of room that this has freed.
func (l *Ledger) Sweep(now time.Time) []Freed {
	l.mu.Lock()
	defer l.mu.Unlock()
	var freed []Freed
	for id, a := range l.upstreams {
		l.expired += a.expire(now)
		if len(a.holders) == 0 {
			delete(l.upstreams, id)
			continue
		}
		freed = append(freed, a.offer(now, id)...)
	}
	return freed
}

// SetAlive sets the holders that are known to be alive. The requests of those that were alive
// before and no longer are do not count any more: the process has ended, or it is suspended and its
// requests show in the upstream's own reports.
func (l *Ledger) SetAlive(alive map[uint64]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.alive {
		if alive[id] {
			continue
		}
		for _, a := range l.upstreams {
			if h := a.holders[id]; h != nil {
				l.expired += h.requests()
				h.count, h.granted, h.keptUntil = 0, nil, time.Time{}
			}
		}
	}
	l.alive = alive
}

// Stats describes a ledger, for metrics.
type Stats struct {
	// Reserved is the number of requests that holders have announced or were granted, and Slots the
	// number of slots of the upstreams that they are at.
	Reserved, Slots int
	// Expired is the number of requests that have stopped counting without a message, since the
	// start.
	Expired int
}

// Stats returns the present figures.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Stats{Expired: l.expired}
	for _, a := range l.upstreams {
		s.Reserved += a.announced()
		s.Slots += a.slots
	}
	return s
}
