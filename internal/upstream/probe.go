package upstream

import (
	"context"
	"net/http"
	"sync"
	"time"

	"balsambarrow/internal/header"
)

// Cost of a probe and of a new connection in service time of the upstream.
const (
	probeCost      = 6 * time.Millisecond
	connectionCost = time.Millisecond
)

// Timing of probes. An upstream is probed only by its handler, and only while
// there are no recent responses to judge it by: it is ejected, or it has received
// no requests recently.
const (
	// probeInterval is the time between two probes of one upstream. A probe
	// of 6 ms every 2 s takes 0.3% of the upstream's time. A total of 1% is
	// reached only with seven new connections a second in addition, and
	// kept-alive connections make new ones rare.
	probeInterval = 2 * time.Second
	// maxResponseAge is the time without a response after which an upstream
	// is probed.
	maxResponseAge = 10 * time.Second
	// probeCheckInterval is the time between two checks for due probes.
	probeCheckInterval = 500 * time.Millisecond
	// probeTimeout is shorter than probeInterval, so that probes of an
	// upstream never overlap.
	probeTimeout = time.Second
)

// The health endpoint. A 404 from an upstream without the endpoint counts as
// success, because the upstream responds.
const (
	probePath = "/healthz"
	// headerLoad contains the fraction of its slots that the upstream reports
	// as used.
	headerLoad = "Balsam-Load"
	// warningLoad is the reported load that counts as a warning if this
	// handler, the only one that sends requests to the upstream, uses less
	// than half of its slots. Reports lag and can be wrong; see
	// warningWeight.
	warningLoad = 0.9
)

// probeSchedule is the probe schedule of one upstream.
type probeSchedule struct {
	nextAt       time.Time
	lastResponse time.Time
	// sent is the number of probes.
	sent int
}

// due reports whether the upstream is to be probed now, and if so schedules
// the next probe.
func (p *probeSchedule) due(usable bool, now time.Time) bool {
	if now.Before(p.nextAt) || usable && now.Sub(p.lastResponse) < maxResponseAge {
		return false
	}
	p.nextAt = now.Add(probeInterval)
	p.sent++
	return true
}

// ProbeTarget is an upstream to probe.
type ProbeTarget struct {
	Service  string
	Upstream string
	Address  string
}

// DueProbes returns the upstreams to probe now and schedules their next
// probes.
func (h *Handler) DueProbes(now time.Time) []ProbeTarget {
	h.mu.Lock()
	defer h.mu.Unlock()
	var due []ProbeTarget
	for service, p := range h.pools {
		for _, s := range p.upstreams {
			if s.acceptsRequests(now) && s.probe.due(s.health.condition == healthy, now) {
				due = append(due, ProbeTarget{Service: service, Upstream: s.name, Address: s.Address})
			}
		}
	}
	return due
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	// OK is true if the upstream responded, and not with a server error.
	OK bool
	// Load is the fraction of its slots that the upstream reports as used; 0
	// if it reports none.
	Load float64
}

// RecordProbe records the result of a probe.
func (h *Handler) RecordProbe(target ProbeTarget, r ProbeResult, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[target.Service]
	if p == nil {
		return
	}
	for _, s := range p.upstreams {
		if s.name == target.Upstream {
			s.recordProbe(r, now)
		}
	}
}

func (s *upstreamState) recordProbe(r ProbeResult, now time.Time) {
	if !r.OK || s.reportsOverload(r.Load) {
		s.health.RecordWarning(now)
	}
	if s.health.condition == healthy {
		return
	}
	s.health.probePassed = r.OK
}

// reportsOverload reports whether a load report counts as a warning.
func (s *upstreamState) reportsOverload(load float64) bool {
	return load >= warningLoad && 2*s.running < s.limit.Value()
}

// Prober probes the upstreams that a daemon handles.
type Prober struct {
	Handler *Handler
	Client  *Client
}

// Run sends probes until ctx is done.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(probeCheckInterval)
	defer ticker.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, target := range p.Handler.DueProbes(now) {
				probes.Go(func() { p.Handler.RecordProbe(target, p.probe(ctx, target.Address), time.Now()) })
			}
		}
	}
}

func (p *Prober) probe(ctx context.Context, address string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+probePath, nil)
	if err != nil {
		return ProbeResult{}
	}
	resp, _, err := p.Client.Send(req)
	if err != nil {
		return ProbeResult{}
	}
	_ = resp.Body.Close()
	load, _, err := header.Number(resp.Header, headerLoad)
	if err != nil {
		load = 0
	}
	return ProbeResult{OK: resp.StatusCode < http.StatusInternalServerError, Load: load}
}
