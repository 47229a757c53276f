package entryhost

import (
	"math"
	"sync"
	"time"

	"balsambarrow/internal/standby"
)

// meterMemory is the time over which the load is averaged: what moves callers
// between hosts should not follow chance or a burst of a second.
const meterMemory = 3 * time.Second

// meter measures what this host does. It is safe for concurrent use.
type meter struct {
	mu       sync.Mutex
	requests float64
	bytes    float64
	at       time.Time
	load     standby.Load
}

// add counts one answer.
func (m *meter) add(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests++
	m.bytes += float64(bytes)
}

// read brings the load to now and returns it.
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
	m.load.RequestsPerSecond += gain * (m.requests/passed.Seconds() - m.load.RequestsPerSecond)
	m.load.ResponseMbps += gain * (8*m.bytes/bitsPerMbit/passed.Seconds() - m.load.ResponseMbps)
	m.requests, m.bytes, m.at = 0, 0, now
	return m.load
}

// last is the load as it was read last.
func (m *meter) last() standby.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.load
}
