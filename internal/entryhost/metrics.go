package entryhost

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"balsambarrow/internal/front"
)

func (d *Daemon) metricsHandler() http.Handler {
	d.metrics.Gauge("balsambarrow_configuration_version", func() float64 {
		if c := d.state.Load().Catalog; c != nil {
			return float64(c.Version)
		}
		return 0
	})
	d.metrics.Gauge("balsambarrow_configuration_age_seconds", func() float64 {
		return d.now().Sub(d.state.Load().ConfirmedAt).Seconds()
	})
	d.metrics.Gauge("balsambarrow_upstreams", func() float64 { return float64(d.table.Size()) })
	d.metrics.Gauge("balsambarrow_ready", func() float64 {
		if d.ready.Load() {
			return 1
		}
		return 0
	})
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		d.metrics.Set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

// observe counts one answer to a caller.
func (d *Daemon) observe(o front.Observation) {
	cause := string(o.Cause)
	if cause == "" {
		cause = "upstream"
	}
	d.meter.add(o.Bytes)
	set := d.metrics.Set
	set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_answers_total{route=%q,status="%d",cause=%q}`, o.Route, o.Status, cause)).Inc()
	set.GetOrCreateHistogram(fmt.Sprintf(`balsambarrow_answer_seconds{route=%q}`, o.Route)).Update(o.Took.Seconds())
}
