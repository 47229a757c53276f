package telemetry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics names and holds a daemon's metrics. docs/OPERATIONS.md says what
// each means for an operator.
type Metrics struct {
	Set *metrics.Set
}

// NewMetrics returns an empty set.
func NewMetrics() *Metrics { return &Metrics{Set: metrics.NewSet()} }

// Request counts one answer to a caller. result is the outcome, or the type of
// the problem.
func (m *Metrics) Request(service, result string, took time.Duration) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_requests_total{service=%q,result=%q}`, service, result)).Inc()
	m.Set.GetOrCreateHistogram(fmt.Sprintf(`balsambarrow_request_seconds{service=%q}`, service)).Update(took.Seconds())
}

// Lookup counts one answer of GET /v1/entries.
func (m *Metrics) Lookup() { m.Set.GetOrCreateCounter(`balsambarrow_lookups_total`).Inc() }

// PeerCall counts one control call to a peer.
func (m *Metrics) PeerCall(call string, err error) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_peer_calls_total{call=%q,result=%q}`, call, result(err))).Inc()
}

// StoreCall counts one call to the platform.
func (m *Metrics) StoreCall(call string, err error) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_store_calls_total{call=%q,result=%q}`, call, result(err))).Inc()
}

// LinesDropped counts log lines of a kind that were left out.
func (m *Metrics) LinesDropped(kind string, n int) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_log_lines_dropped_total{kind=%q}`, kind)).Add(n)
}

// Gauge registers a value that is read at each scrape.
func (m *Metrics) Gauge(name string, read func() float64) { m.Set.NewGauge(name, read) }

func result(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}
