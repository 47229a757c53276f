package entryhost

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"balsambarrow/internal/front"
	"balsambarrow/internal/release"
)

func (d *Daemon) metricsHandler() http.Handler {
	d.metrics.Gauge("balsambarrow_release", func() float64 { return release.Number })
	d.metrics.Gauge("balsambarrow_configuration_version", func() float64 {
		if c := d.state.Load().Catalog; c != nil {
			return float64(c.Version)
		}
		return 0
	})
	d.metrics.Gauge("balsambarrow_configuration_age_seconds", func() float64 {
		return d.now().Sub(d.state.Load().ConfirmedAt).Seconds()
	})
	d.metrics.Gauge("balsambarrow_configuration_outdated_seconds", func() float64 {
		if since := d.state.Load().OutdatedSince; !since.IsZero() {
			return d.now().Sub(since).Seconds()
		}
		return 0
	})
	d.metrics.Gauge("balsambarrow_upstreams", func() float64 { return float64(d.table.Size()) })
	d.metrics.Gauge("balsambarrow_upstreams_rate_limited", func() float64 { return float64(d.table.RateLimited()) })
	d.metrics.Gauge("balsambarrow_upstreams_paused", func() float64 { return float64(d.table.Paused(d.now())) })
	d.metrics.Gauge("balsambarrow_upstreams_ejected", func() float64 { return float64(d.table.Ejected(d.now())) })
	d.metrics.Gauge("balsambarrow_upstream_slowdowns_invalid", func() float64 { return float64(d.table.InvalidSlowdowns()) })
	d.metrics.Gauge("balsambarrow_upstream_links_down", func() float64 { return boolGauge(d.links.LinksDown()) })
	d.metrics.Gauge("balsambarrow_tunnel_peers", func() float64 { return float64(len(*d.tunnelPeers.Load())) })
	d.metrics.Gauge("balsambarrow_tunnels_served", func() float64 { return float64(d.tunnels.Count()) })
	d.metrics.Gauge("balsambarrow_ready", func() float64 { return boolGauge(d.ready.Load()) })
	d.metrics.Gauge("balsambarrow_takes_callers", func() float64 { return boolGauge(!d.state.Load().Standby) })
	d.metrics.Gauge("balsambarrow_watches_store", func() float64 { return boolGauge(d.watches.Load()) })
	d.metrics.Gauge("balsambarrow_caller_connections", func() float64 { return float64(d.callerConns.count()) })
	d.metrics.Gauge("balsambarrow_room_reserved", func() float64 { return float64(d.rooms.ledger.Stats().Reserved) })
	d.metrics.Gauge("balsambarrow_room_slots", func() float64 { return float64(d.rooms.ledger.Stats().Slots) })
	d.metrics.Gauge("balsambarrow_room_expired", func() float64 { return float64(d.rooms.ledger.Stats().Expired) })
	d.metrics.Gauge("balsambarrow_room_owners_silent", func() float64 { return float64(d.rooms.owners.Silent()) })
	d.metrics.Gauge("balsambarrow_suspect_requests", func() float64 { return float64(d.suspects.tracker.Stats(d.now()).Suspects) })
	d.metrics.Gauge("balsambarrow_suspect_requests_refused", func() float64 { return float64(d.suspects.tracker.Stats(d.now()).Refused) })
	d.registerMemoryGauges()
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		d.metrics.Set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

// boolGauge returns the metric value of a condition.
func boolGauge(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// countConfirmation counts one confirmation of the state; by is that of advanceConfirmedAt.
func (d *Daemon) countConfirmation(by string) {
	if by != confirmedByWatch && by != confirmedByListing {
		by = "peer"
	}
	d.metrics.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_state_confirmations_total{by=%q}`, by)).Inc()
}

// countConfigurationRefused counts one version of the configuration that could not be used.
func (d *Daemon) countConfigurationRefused() {
	d.metrics.Set.GetOrCreateCounter("balsambarrow_configurations_refused_total").Inc()
}

// observeFailedAttempt counts one attempt at an upstream that did not answer the request.
func (d *Daemon) observeFailedAttempt(outcome, zone string) {
	d.metrics.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_upstream_failed_attempts_total{outcome=%q,zone=%q}`, outcome, zone)).Inc()
}

// observeUpstreamEnd counts one request that was in flight at an upstream when that ended.
func (d *Daemon) observeUpstreamEnd(service string) {
	d.metrics.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_requests_at_upstream_end_total{service=%q}`, service)).Inc()
}

// observeRetry counts one decision whether a request is sent to another upstream.
func (d *Daemon) observeRetry(decision front.RetryDecision) {
	d.metrics.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_retry_decisions_total{decision=%q}`, string(decision))).Inc()
}

// observe counts one response to a caller.
func (d *Daemon) observe(o front.Observation) {
	cause := string(o.Cause)
	if cause == "" {
		cause = "upstream"
	}
	d.meter.add(o.Bytes)
	set := d.metrics.Set
	set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_answers_total{route=%q,status="%d",cause=%q}`, o.Route, o.Status, cause)).Inc()
	if o.PromisesNotRun() {
		set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_not_run_promises_total{execution=%q,idempotent="%t",cause=%q}`, o.Execution, o.Idempotent, cause)).Inc()
	}
	set.GetOrCreateHistogram(fmt.Sprintf(`balsambarrow_answer_seconds{route=%q}`, o.Route)).Update(o.Duration.Seconds())
	d.observeUpstreamLatency(o.Route, o.Latency)
}

// observeUpstreamLatency records the expected and the actual latency and queueing delay of a
// request at an upstream.
func (d *Daemon) observeUpstreamLatency(route string, p *front.LatencyComparison) {
	if p == nil {
		return
	}
	update := func(what, of string, took time.Duration) {
		name := fmt.Sprintf(`balsambarrow_upstream_%s_seconds{route=%q,of=%q}`, what, route, of)
		d.metrics.Set.GetOrCreateHistogram(name).Update(took.Seconds())
	}
	update("answer", "expected", p.Expected)
	update("answer", "actual", p.Actual)
	update("wait", "expected", p.ExpectedQueueing)
	update("wait", "actual", p.ActualQueueing)
	if p.Reported.Slowdown > 0 {
		d.metrics.Set.GetOrCreateHistogram(fmt.Sprintf(`balsambarrow_upstream_slowdown{route=%q}`, route)).Update(p.Reported.Slowdown)
	}
}
