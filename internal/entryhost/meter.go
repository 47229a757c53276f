package entryhost

import (
	"math"
	"sync"
	"time"

	"balsambarrow/internal/standby"
)

// meterTimeConstant is the time over which the load is averaged. The load decides which hosts
// serve callers, and must not follow random variation or a burst of one second.
const meterMemory = 3 * time.Second

// meter measures the load of this host. It is safe for concurrent use.
type meter struct {
	mu       sync.Mutex
	requests float64
	bytes    float64
	at       time.Time
	load     standby.Load
}

// add counts one response.
func (m *meter) add(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests++
	m.bytes += float64(bytes)
}

// update computes the load up to now and returns it.
func (m *meter) read(now time.Time) standby.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	passed := now.Sub(m.at)
	if m.at.IsZero() || passed <= 0 {
		m.at = now
		return m.load
	}
	const bitsPerMbit = 1e6
	gain := 1 - math.Exp(-passed.Seconds()/meterMemory.Seconds())
	m.load.Requests += gain * (m.requests/passed.Seconds() - m.load.Requests)
	m.load.AnswerMbps += gain * (8*m.bytes/bitsPerMbit/passed.Seconds() - m.load.AnswerMbps)
	m.requests, m.bytes, m.at = 0, 0, now
	return m.load
}

// latest returns the load as of the last update.
func (m *meter) last() standby.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.load
}
