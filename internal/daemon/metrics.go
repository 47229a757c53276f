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

// registerGauges publishes what the snapshot says. docs/OPERATIONS.md tells
// what each gauge means.
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
		_, answerBytes := d.postings.Size()
		return float64(answerBytes)
	})
	d.metrics.Gauge("balsambarrow_draining_running", func() float64 { return float64(runningOnDrained(d.handler.Drains())) })
	d.metrics.Gauge("balsambarrow_load", func() float64 { return d.view.Load().Self.Load })
}

// runningOnDrained is how many requests still run on upstreams that are drained.
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

// requestMetrics counts a listener's answers to callers by service and result.
type requestMetrics struct {
	next    http.Handler
	metrics *telemetry.Metrics
	// known tells which names may become a label: a caller's misspelling
	// must not make a new series.
	isKnownService func(service string) bool
}

// ServeHTTP implements http.Handler.
func (o *requestMetrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, isService := strings.CutPrefix(r.URL.Path, "/svc/")
	if !isService {
		o.metrics.Lookup()
		o.next.ServeHTTP(w, r)
		return
	}
	service, _, _ := strings.Cut(rest, "/")
	if !o.isKnownService(service) {
		service = "unknown"
	}
	startedAt := time.Now()
	result := &resultWriter{ResponseWriter: w}
	// An answer that breaks off leaves by a panic; it is counted all the same.
	defer func() { o.metrics.Request(service, result.result(), time.Since(startedAt)) }()
	o.next.ServeHTTP(result, r)
}

// resultWriter remembers the status and outcome of an answer.
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

// Unwrap lets http.ResponseController reach the connection.
func (w *resultWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher.
func (w *resultWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// result is the outcome, with the status where the answer is a refusal.
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

// hasService tells whether the configuration in force has a service.
func (d *Daemon) hasService(service string) bool {
	snap := d.view.Load()
	if snap.Config == nil {
		return false
	}
	_, ok := snap.Config.Config.Services[service]
	return ok
}
