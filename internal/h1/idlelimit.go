package h1

import (
	"sync"
	"time"
)

// Limits of the idle time of a connection that may be reused for a non-idempotent
// request.
//
// An upstream, or a middlebox in front of it, may drop an idle connection earlier
// than announced and without a notice. The next request on the connection is then
// reset. A read is retried, but the outcome of a posting is unknown, and its caller
// receives an error. A fixed limit does not solve this: two seconds is longer than
// the 0.3 s after which some upstreams drop connections, and where no connections are
// dropped, it makes most postings to another region wait for a new connection.
// Therefore the announced idle timeout applies until a connection is found to have
// been dropped.
//
// A reset alone does not prove that: an upstream that loses responses also resets
// busy connections. Resets of connections that were idle for less than
// minDroppedIdle distinguish the two cases.
const (
	// nonIdempotentFraction is the part of a connection's idle timeout that is used.
	// The margin ensures that the request does not cross a close by the upstream,
	// even if this host is overloaded.
	nonIdempotentFraction = 0.6
	// droppedFraction is the part of the idle time of a dropped connection that is
	// the limit from then on: other connections may be dropped sooner than the one
	// that was found.
	droppedFraction = 0.25
	// limitTTL is how long such a limit applies.
	limitTTL = 30 * time.Second
	// minDroppedIdle is an idle time after which no upstream drops a connection: a
	// third of the shortest one that is known.
	minDroppedIdle = 100 * time.Millisecond
	// lossyFor is how long after the reset of a connection that was idle for less
	// than minDroppedIdle other resets are attributed to lost responses, too.
	lossyFor = 5 * time.Second
	// resetMargin is added to the round-trip time. A reset that arrives later was
	// sent after the upstream had processed the request, since the fastest requests
	// take twice as long as the margin.
	resetMargin = 15 * time.Millisecond
)

// idleLimits learns after which idle time connections are dropped. It is safe for
// concurrent use.
type idleLimits struct {
	mu sync.Mutex
	// byAddress holds the limits of single upstreams.
	byAddress map[string]idleLimit
	// global applies to all upstreams. It is set once two upstreams have dropped
	// connections.
	global idleLimit
	// lossyUntil is the time until which resets are attributed to lost responses.
	lossyUntil time.Time
}

// idleLimit is a maximum idle time that applies until a point in time.
type idleLimit struct {
	maxIdle time.Duration
	until   time.Time
}

// tighten lowers the limit to limit, unless a lower one is in effect, and extends it.
func (l *idleLimit) tighten(now time.Time, limit time.Duration) {
	if now.Before(l.until) {
		limit = min(limit, l.maxIdle)
	}
	l.maxIdle, l.until = limit, now.Add(limitTTL)
}

// apply returns the lower of idle and the limit, if the limit is in effect.
func (l idleLimit) apply(now time.Time, idle time.Duration) time.Duration {
	if now.Before(l.until) {
		return min(idle, l.maxIdle)
	}
	return idle
}

// recordReset records that a connection to address was reset immediately when it
// was reused after idleTime.
func (l *idleLimits) recordReset(now time.Time, address string, idleTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if idleTime < minDroppedIdle {
		l.lossyUntil, l.global = now.Add(lossyFor), idleLimit{}
		return
	}
	limit := max(time.Duration(droppedFraction*float64(idleTime)), minDroppedIdle)
	others := l.othersLimited(now, address)
	if l.byAddress == nil {
		l.byAddress = map[string]idleLimit{}
	}
	own := l.byAddress[address]
	own.tighten(now, limit)
	l.byAddress[address] = own
	if others && now.After(l.lossyUntil) {
		l.global.tighten(now, limit)
	}
}

// reset removes all limits.
func (l *idleLimits) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byAddress, l.global, l.lossyUntil = nil, idleLimit{}, time.Time{}
}

// othersLimited reports whether a limit is in effect for another upstream, and
// deletes expired limits.
func (l *idleLimits) othersLimited(now time.Time, address string) bool {
	found := false
	for a, limit := range l.byAddress {
		switch {
		case !now.Before(limit.until):
			delete(l.byAddress, a)
		case a != address:
			found = true
		}
	}
	return found
}

// maxIdleTime returns the idle time up to which a connection may be reused for a
// non-idempotent request. idleTimeout is that of the connection.
func (l *idleLimits) maxIdleTime(now time.Time, address string, idleTimeout time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := time.Duration(nonIdempotentFraction * float64(idleTimeout))
	return l.global.apply(now, l.byAddress[address].apply(now, limit))
}
