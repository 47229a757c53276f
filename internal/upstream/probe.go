package upstream

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// What a worker pays, as its operators measured it.
const (
	probeCost      = 6 * time.Millisecond
	connectionCost = time.Millisecond
)

// Plan of probes. One daemon probes an upstream, its handler, and only where
// the upstream's own answers say nothing: it is ejected, or nobody asked it.
const (
	// probeEvery is the time between two probes of one upstream: 6 ms in 2 s
	// is 0.3% of one worker's time and leaves room under 1% for seven new
	// connections a second; with connections kept open there are next to none.
	probeInterval = 2 * time.Second
	// quietAfter without an answer, an upstream is probed.
	maxResponseAge = 10 * time.Second
	// probeTick is how often due probes are looked for.
	probeCheckInterval = 500 * time.Millisecond
	// probeTimeout is short against probeEvery, so that probes never overlap.
	probeTimeout = time.Second
)

// The health endpoint. An upstream that has none (404) counts as well: it
// answers.
const (
	probePath = "/healthz"
	// headerLoad tells the part of its slots that the upstream thinks it uses.
	headerLoad = "Balsam-Load"
	// loadComplaint is a reported load that counts as a complaint where this
	// handler, which is the only one to send it work, uses less than half of
	// its slots. A report lags and may lie: see hintTrust.
	warningLoad = 0.9
)

// probe is the plan of one upstream's probes, and what they cost it.
type probeSchedule struct {
	nextAt       time.Time
	lastResponse time.Time
	// probes counts what the upstream paid for.
	sent int
}

// due tells whether to probe now, and plans the next one.
func (p *probeSchedule) due(usable bool, now time.Time) bool {
	if now.Before(p.nextAt) || usable && now.Sub(p.lastResponse) < maxResponseAge {
		return false
	}
	p.nextAt = now.Add(probeInterval)
	p.sent++
	return true
}

// ProbeTarget is an upstream to be probed now.
type ProbeTarget struct {
	Service  string
	Upstream string
	Address  string
}

// DueProbes returns the upstreams to be probed now and counts them as probed.
func (h *Handler) DueProbes(now time.Time) []ProbeTarget {
	h.mu.Lock()
	defer h.mu.Unlock()
	var due []ProbeTarget
	for service, p := range h.pools {
		for _, w := range p.upstreams {
			if w.acceptsRequests(now) && w.probe.due(w.health.condition == healthy, now) {
				due = append(due, ProbeTarget{Service: service, Upstream: w.name, Address: w.Address})
			}
		}
	}
	return due
}

// ProbeResult is what a health endpoint said.
type ProbeResult struct {
	// OK: it answered, and with no server error.
	OK bool
	// Load is the part of its slots that it says it uses; 0 if it says nothing.
	Load float64
}

// Probed notes a probe's result.
func (h *Handler) RecordProbe(target ProbeTarget, r ProbeResult, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[target.Service]
	if p == nil {
		return
	}
	for _, w := range p.upstreams {
		if w.name == target.Upstream {
			w.recordProbe(r, now)
		}
	}
}

func (w *upstreamState) recordProbe(r ProbeResult, now time.Time) {
	full := r.Load >= warningLoad && 2*w.running < w.limit.Value()
	if !r.OK || full {
		w.health.RecordWarning(now)
	}
	if w.health.condition == healthy {
		return
	}
	w.health.probePassed = r.OK
}

// Prober probes the upstreams that a daemon handles.
type Prober struct {
	Handler *Handler
	Client  *Client
}

// Run probes until ctx ends.
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
	load, err := strconv.ParseFloat(resp.Header.Get(headerLoad), 64)
	if err != nil {
		load = 0
	}
	return ProbeResult{OK: resp.StatusCode < http.StatusInternalServerError, Load: load}
}
