package place

import (
	"math"
	"time"

	"balsambarrow/internal/traffic"
)

const (
	// loadDecay is the time constant with which the reported load of other hosts decays
	// towards its mean.
	loadDecay = 400 * time.Millisecond
	// backgroundGain is the weight of one load report in the mean load of other hosts.
	backgroundGain = 0.1
)

// load estimates how many requests are at an upstream, from the upstream's load reports
// and the requests that this host has in flight.
type load struct {
	// inflight is the number of this host's requests.
	inflight int
	// others is the load from other hosts in the last report, received at reportedAt.
	others     float64
	reportedAt time.Time
	// background is the moving average of others.
	background float64
	reported   bool
}

// KnownLoad is what a host knew of the load of an upstream when it chose it, for logs and metrics.
type KnownLoad struct {
	// Requests is the estimated number of requests at the upstream, and Own the number of those
	// that this host has sent.
	Requests float64
	Own      int
	// Slowdown is that of the upstream's last report; 0 if there was none. ExpectedSlowdown is the
	// one that was expected; 1 if upstreams of the service report none.
	Slowdown, ExpectedSlowdown float64
	// ReportAge is the time since the upstream reported its load to this host; -1 if it has not.
	ReportAge time.Duration
}

// known returns what is known of the load before a further request is sent.
func (l *load) known(now time.Time, assumed float64) KnownLoad {
	k := KnownLoad{Requests: l.estimate(now, assumed), Own: l.inflight, ReportAge: -1}
	if l.reported {
		k.ReportAge = now.Sub(l.reportedAt)
	}
	return k
}

// observe applies a load report. The report and inflight both still count the request
// that the report was received with.
func (l *load) observe(now time.Time, report traffic.Load) {
	l.observeOthers(now, max(float64(report.Running+report.Waiting-l.inflight), 0))
}

// observeOthers records the number of requests that other hosts have at the upstream.
func (l *load) observeOthers(now time.Time, others float64) {
	if !l.reported {
		l.background = others
	}
	l.reported = true
	l.background += backgroundGain * (others - l.background)
	l.others, l.reportedAt = others, now
}

// estimate returns the estimated number of requests at the upstream now. assumed is the load from
// other hosts until the upstream has reported any.
func (l *load) estimate(now time.Time, assumed float64) float64 {
	if !l.reported {
		return float64(l.inflight) + assumed
	}
	decay := math.Exp(-float64(now.Sub(l.reportedAt)) / float64(loadDecay))
	return float64(l.inflight) + l.background + (l.others-l.background)*decay
}
