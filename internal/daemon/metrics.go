package daemon

import (
	"net/http"
	"strings"
	"time"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/telemetry"
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/wire"
)

// registerGauges registers the gauges that report the current snapshot.
// docs/OPERATIONS.md describes each gauge.
func (d *Daemon) registerGauges() {
	d.metrics.Gauge("balsambarrow_ready", func() float64 {
		return boolToFloat(d.view.Load().Self.State == membership.StateReady)
	})
	d.metrics.Gauge("balsambarrow_config_version", func() float64 { return float64(d.view.Load().Self.ConfigVersion) })
	d.metrics.Gauge("balsambarrow_slots", func() float64 { return float64(len(d.view.Load().Self.Slots)) })
	d.metrics.Gauge("balsambarrow_ready_daemons", func() float64 { return float64(len(d.view.Load().Ready)) })
	d.metrics.Gauge("balsambarrow_postings", func() float64 {
		records, _ := d.postings.Size()
		return float64(records)
	})
	d.metrics.Gauge("balsambarrow_posting_answer_bytes", func() float64 {
		_, responseBytes := d.postings.Size()
		return float64(responseBytes)
	})
	d.metrics.Gauge("balsambarrow_draining_running", func() float64 { return float64(runningOnDrained(d.handler.Drains())) })
	d.metrics.Gauge("balsambarrow_load", func() float64 { return d.view.Load().Self.Load })
}

// runningOnDrained returns the number of requests that still run on draining
// upstreams.
func runningOnDrained(drains []upstream.DrainStatus) int {
	n := 0
	for _, d := range drains {
		n += d.Running
	}
	return n
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// requestMetrics counts the responses to callers of one listener by service and
// result.
type requestMetrics struct {
	next    http.Handler
	metrics *telemetry.Metrics
	// isKnownService reports whether a name may become a label. A misspelled
	// name in a caller's request must not create a new time series.
	isKnownService func(service string) bool
}

// ServeHTTP implements http.Handler.
func (m *requestMetrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, isService := strings.CutPrefix(r.URL.Path, "/svc/")
	if !isService {
		m.metrics.Lookup()
		m.next.ServeHTTP(w, r)
		return
	}
	service, _, _ := strings.Cut(rest, "/")
	if !m.isKnownService(service) {
		service = "unknown"
	}
	startedAt := time.Now()
	result := &resultWriter{ResponseWriter: w}
	// The handler aborts an incomplete response by a panic. The deferred call
	// counts such a response too.
	defer func() { m.metrics.Request(service, result.result(), time.Since(startedAt)) }()
	m.next.ServeHTTP(result, r)
}

// resultWriter records the status and the outcome of a response.
type resultWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *resultWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *resultWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher.
func (w *resultWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// result returns the outcome of the response. If the outcome is not "ran", the
// result also contains the status text. A response without a status is "broken".
func (w *resultWriter) result() string {
	outcome := w.Header().Get(wire.HeaderOutcome)
	switch {
	case w.status == 0:
		return "broken"
	case outcome == string(wire.OutcomeRan):
		return outcome
	}
	return outcome + " " + http.StatusText(w.status)
}

// hasService reports whether the configuration in force declares the service.
func (d *Daemon) hasService(service string) bool {
	snap := d.view.Load()
	if snap.Config == nil {
		return false
	}
	_, ok := snap.Config.Config.Services[service]
	return ok
}
