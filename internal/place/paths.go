package place

import (
	"time"

	"balsambarrow/internal/catalog"
)

// ForgetUnreachable forgets that upstreams were unreachable or did not respond. It is called when
// that turns out to be, or to have been, the trouble of this host.
func (t *Table) ForgetUnreachable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.byID {
		h := &w.health
		if h.consecutiveNoResponse == 0 && h.ejection == 0 {
			continue
		}
		h.failures, h.consecutiveNoResponse, h.ejection = 0, 0, 0
		h.ejectedUntil, h.possibleRestartUntil = time.Time{}, time.Time{}
	}
}

// Locate returns the upstream that may receive requests at an address; false if there is none.
func (t *Table) Locate(address string) (catalog.Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.byID {
		if w.Address == address && t.isOpen(w) {
			return w.Upstream, true
		}
	}
	return catalog.Upstream{}, false
}

// SampleZones returns up to n upstreams that may receive requests, each of another zone: one of
// this host's zone first, then of its region, then of others.
func (t *Table) SampleZones(n int) []catalog.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out [3][]catalog.Upstream
	seen := map[string]bool{}
	for _, w := range t.byID {
		if seen[w.Zone] || !t.isOpen(w) {
			continue
		}
		seen[w.Zone] = true
		distance := 2
		switch {
		case w.Zone == t.self.Zone:
			distance = 0
		case w.region == t.self.Region:
			distance = 1
		}
		out[distance] = append(out[distance], w.Upstream)
	}
	all := append(append(out[0], out[1]...), out[2]...)
	return all[:min(n, len(all))]
}

func (t *Table) isOpen(w *upstream) bool {
	return !t.evacuatedZones[w.Zone] && w.State == catalog.StateReady && !w.announced.leaving.announced
}
