package entryhost

import (
	"math"
	"sync"
	"time"

	"balsambarrow/internal/standby"
)

// meterTimeConstant is the time over which the load is averaged. The load decides which hosts
// serve callers, and must not follow random variation or a burst of one second.
const meterTimeConstant = 3 * time.Second

// meter measures the load of this host. It is safe for concurrent use.
type meter struct {
	mu        sync.Mutex
	requests  float64
	bytes     float64
	updatedAt time.Time
	load      standby.Load
}

// add counts one response.
func (m *meter) add(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests++
	m.bytes += float64(bytes)
}

// update computes the load up to now and returns it.
func (m *meter) update(now time.Time) standby.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now.Sub(m.updatedAt)
	if m.updatedAt.IsZero() || elapsed <= 0 {
		m.updatedAt = now
		return m.load
	}
	const bitsPerMbit = 1e6
	gain := 1 - math.Exp(-elapsed.Seconds()/meterTimeConstant.Seconds())
	m.load.RequestsPerSecond += gain * (m.requests/elapsed.Seconds() - m.load.RequestsPerSecond)
	m.load.ResponseMbps += gain * (8*m.bytes/bitsPerMbit/elapsed.Seconds() - m.load.ResponseMbps)
	m.requests, m.bytes, m.updatedAt = 0, 0, now
	return m.load
}

// latest returns the load as of the last update.
func (m *meter) latest() standby.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.load
}
