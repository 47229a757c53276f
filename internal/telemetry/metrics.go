package telemetry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics holds a daemon's metrics. docs/OPERATIONS.md explains each of them to
// operators.
type Metrics struct {
	Set *metrics.Set
}

// NewMetrics returns an empty set.
func NewMetrics() *Metrics { return &Metrics{Set: metrics.NewSet()} }

// Request counts one response to a caller. result is the outcome, or the problem
// type of an error response.
func (m *Metrics) Request(service, result string, took time.Duration) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_requests_total{service=%q,result=%q}`, service, result)).Inc()
	m.Set.GetOrCreateHistogram(fmt.Sprintf(`balsambarrow_request_seconds{service=%q}`, service)).Update(took.Seconds())
}

// Lookup counts one response of GET /v1/entries.
func (m *Metrics) Lookup() { m.Set.GetOrCreateCounter(`balsambarrow_lookups_total`).Inc() }

// PeerCall counts one control call to a peer.
func (m *Metrics) PeerCall(call string, err error) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_peer_calls_total{call=%q,result=%q}`, call, result(err))).Inc()
}

// StoreCall counts one call to the platform.
func (m *Metrics) StoreCall(call string, err error) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_store_calls_total{call=%q,result=%q}`, call, result(err))).Inc()
}

// LinesDropped counts dropped log lines of a kind.
func (m *Metrics) LinesDropped(kind string, n int) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_log_lines_dropped_total{kind=%q}`, kind)).Add(n)
}

// Gauge registers a metric whose value is read at each scrape.
func (m *Metrics) Gauge(name string, read func() float64) { m.Set.NewGauge(name, read) }

func result(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}
