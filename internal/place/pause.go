package place

import "time"

// pause is the time for which an upstream that has rejected a request wants none from this
// host. Afterwards one request probes whether the upstream accepts requests again; otherwise
// all requests that waited for the end of the pause would be rejected together.
type pause struct {
	until time.Time
	// unconfirmed is set until the upstream has responded without asking for a pause.
	unconfirmed bool
	// probing is set while the probe runs.
	probing bool
}

// active reports whether the upstream may be sent no request now.
func (p *pause) active(now time.Time) bool {
	return now.Before(p.until) || p.unconfirmed && p.probing
}

// ObserveRetryAfter records how long the upstream of a choice wants no requests from this host,
// as its response says; 0 if it does not ask for a pause.
func (t *Table) ObserveRetryAfter(now time.Time, c Choice, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.instance(c)
	if w == nil {
		return
	}
	p := &w.announced.pause
	if until := now.Add(retryAfter); until.After(p.until) && retryAfter > 0 {
		p.until = until
	}
	// A response during the pause belongs to a request that was sent before.
	p.unconfirmed = p.unconfirmed && now.Before(p.until) || retryAfter > 0
}

// PauseLeft returns the time until the first pause ends if all upstreams that might serve the
// query, with those that it has tried, are paused; else 0.
func (t *Table) PauseLeft(now time.Time, q Query) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	q.Excluded = nil
	return t.survey(now, q, objectOf(q.Route, q.Object)).pauseLeft(now)
}

// Paused returns the number of upstreams that want no requests from this host at present.
func (t *Table) Paused(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, w := range t.byID {
		if now.Before(w.announced.pause.until) {
			n++
		}
	}
	return n
}
