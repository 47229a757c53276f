package steer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsambarrow/internal/config"
)

// Request holds the properties of a request that steering uses.
type Request struct {
	Service  string
	Customer string
	// HashKey is hashed to select the requests that a shift moves. Requests
	// with the same key go to the same region, so that its caches become warm.
	HashKey string
	// SizeBytes is the number of bytes that the request takes on a link to
	// another region.
	SizeBytes float64
}

// Target is a daemon that may run the request, with the quotas to take from
// before the request is sent to it.
type Target struct {
	Handler *Handler
	// ShiftQuota names the quota of the shift's cap; it is empty in the local
	// region.
	ShiftQuota string
	// DrainQuota names the quota of the drain that causes the shift; it is
	// empty without a drain.
	DrainQuota string
	// LinkQuota names the quota of the link that the request crosses; it is
	// empty without a declared link.
	LinkQuota string
	// LinkBits is the cost of the request on that link.
	LinkBits float64
	// feedback records the results of requests in the local region; it is nil
	// for targets in other regions.
	feedback *feedback
}

// RecordSent counts a request that is sent to the target.
func (t *Target) RecordSent() { t.Handler.sent.Add(1) }

// RecordResult records the queueing delay of a request at the target, or that
// the target had no headroom.
func (t *Target) RecordResult(queueing time.Duration, noHeadroom bool) {
	if t.feedback != nil {
		t.feedback.record(queueing, noHeadroom)
	}
}

// MaxTargets limits the handlers that are tried for one request. The second
// and third try cover a handler that rejects the request because its
// advertised headroom was out of date; further tries would only add load when
// all handlers are full.
const MaxTargets = 3

// Choose returns up to MaxTargets targets, best first.
func (t *Table) Choose(r Request, now time.Time, rng *rand.Rand) []Target {
	s := t.services[r.Service]
	if s == nil {
		return nil
	}
	c := chooser{table: t, service: s, request: r, now: now, rng: rng, position: position(r)}
	c.targets = make([]Target, 0, MaxTargets)
	c.fill()
	return c.targets
}

// position maps a request to a number in [0, 1) by a hash of its customer and
// key.
func position(r Request) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Customer)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(r.HashKey)
	return float64(h.Sum64()>>11) / (1 << 53)
}

// chooser builds the list of targets for one request.
type chooser struct {
	table    *Table
	service  *serviceTable
	request  Request
	now      time.Time
	rng      *rand.Rand
	position float64
	targets  []Target
}

// fill appends the targets in order: the region of a move, drain or spillover,
// the local region, other regions, and last a local handler that is not
// assigned.
func (c *chooser) fill() {
	first, drain := c.plannedShift()
	if first == nil && c.position >= 1-c.service.spillover {
		first = c.leastUsedRegion()
	}
	if first != nil {
		c.addRemote(first, drain)
	}
	if c.localAllowed() {
		c.addLocal()
	}
	c.addOtherRegions(first)
	if c.localAllowed() && len(c.targets) < MaxTargets {
		c.addUnassigned()
	}
}

// plannedShift returns the region to which a move or a drain of the local
// region sends this request, and the drain's quota.
func (c *chooser) plannedShift() (*regionTable, string) {
	lower := 0.0
	for _, m := range c.service.moves {
		upper := lower + m.move.Share*ramp(m.move.StartUnixMs, m.move.RampSeconds, c.now)
		if c.position >= lower && c.position < upper {
			if r := c.remoteRegion(m.to); r != nil {
				return r, ""
			}
		}
		lower = upper
	}
	if d := c.service.localDrain; d != nil && c.position < ramp(d.StartUnixMs, d.RampSeconds, c.now) {
		return c.leastUsedRegion(), drainQuota(*d)
	}
	return nil, ""
}

// ramp returns a fraction that grows linearly from 0 at the start to 1 after
// the given number of seconds.
func ramp(startUnixMs int64, seconds float64, now time.Time) float64 {
	elapsed := now.Sub(time.UnixMilli(startUnixMs)).Seconds()
	switch {
	case elapsed <= 0:
		return 0
	case elapsed >= seconds:
		return 1
	}
	return elapsed / seconds
}

// localAllowed reports whether both service and customer may be served in the
// local region.
func (c *chooser) localAllowed() bool { return c.allowed(c.table.region) }

// allowed reports whether both service and customer may be served in a region.
func (c *chooser) allowed(region string) bool {
	cfg := c.table.active.Config
	return allowsRegion(cfg.Services[c.request.Service].Regions, region) && allowsRegion(cfg.Customers[c.request.Customer].Regions, region)
}

func allowsRegion(list []string, region string) bool {
	return len(list) == 0 || slices.Contains(list, region)
}

// remoteRegion returns the table of another region, or nil if that region has
// no handler or may not serve the request.
func (c *chooser) remoteRegion(name string) *regionTable {
	for i := range c.service.remote {
		if c.service.remote[i].name == name && c.allowed(name) {
			return &c.service.remote[i]
		}
	}
	return nil
}

// leastUsedRegion selects the region for a request that leaves the local one:
// the region with the lower utilization out of two picked at random. The
// random pick keeps entry hosts from all selecting the same region.
func (c *chooser) leastUsedRegion() *regionTable {
	var best *regionTable
	n := len(c.service.remote)
	if n == 0 {
		return nil
	}
	for i, start := 0, c.rng.IntN(n); i < n; i++ {
		r := &c.service.remote[(start+i)%n]
		if !c.allowed(r.name) || c.draining(r.name) {
			continue
		}
		if best == nil {
			best = r
			continue
		}
		if r.utilization() < best.utilization() {
			best = r
		}
		break
	}
	return best
}

func (c *chooser) draining(region string) bool {
	_, found := c.table.regionDrains[region]
	return found
}

// addOtherRegions appends targets in the remaining regions, in case the
// earlier targets reject the request.
func (c *chooser) addOtherRegions(first *regionTable) {
	n := len(c.service.remote)
	if n == 0 {
		return
	}
	for i, start := 0, c.rng.IntN(n); i < n && len(c.targets) < MaxTargets; i++ {
		r := &c.service.remote[(start+i)%n]
		if r != first && c.allowed(r.name) && !c.draining(r.name) {
			c.addRemote(r, "")
		}
	}
}

// addLocal appends one handler from each zone of the local region, nearest
// zone first. A zone that is being drained comes last. One target is reserved
// for another region.
func (c *chooser) addLocal() {
	remaining := MaxTargets - len(c.targets)
	if len(c.service.remote) > 0 {
		remaining = max(remaining-1, 1)
	}
	zones := c.service.local.zones
	for _, drained := range []bool{false, true} {
		for i := range zones {
			if remaining == 0 {
				return
			}
			if c.zoneDrained(zones[i].name) == drained {
				c.targets = append(c.targets, Target{Handler: pickHandler(zones[i].handlers, c.rng), feedback: c.service.feedback})
				remaining--
			}
		}
	}
}

// addUnassigned appends a handler of the local region that the assignment does
// not name, in case the assigned handler does not know of its assignment yet.
func (c *chooser) addUnassigned() {
	if unassigned := c.service.local.unassigned; len(unassigned) > 0 {
		c.targets = append(c.targets, Target{Handler: pickHandler(unassigned, c.rng), feedback: c.service.feedback})
	}
}

// addRemote appends a handler of another region, picked from all of its zones.
// All zones of another region are equally near, and if every request went to
// the same zone, that zone would fill up first.
func (c *chooser) addRemote(r *regionTable, drain string) {
	t := Target{Handler: pickHandler(r.handlers, c.rng), DrainQuota: drain}
	t.ShiftQuota = config.ShiftQuota(c.request.Service, c.table.region, r.name)
	if c.table.linkedRegions[r.name] {
		t.LinkQuota = config.LinkQuota(c.table.region, r.name)
		t.LinkBits = bitsPerByte * c.request.SizeBytes
	}
	c.targets = append(c.targets, t)
}

// zoneDrained reports whether a drain of the zone has already moved this
// request.
func (c *chooser) zoneDrained(zone string) bool {
	d, ok := c.table.zoneDrains[zone]
	return ok && c.position < ramp(d.StartUnixMs, d.RampSeconds, c.now)
}

// pickHandler picks two handlers at random and returns the one with more
// estimated free slots.
func pickHandler(handlers []*Handler, rng *rand.Rand) *Handler {
	n := len(handlers)
	if n == 1 {
		return handlers[0]
	}
	i := rng.IntN(n)
	j := (i + 1 + rng.IntN(n-1)) % n
	if handlers[j].estimatedFree() > handlers[i].estimatedFree() {
		return handlers[j]
	}
	return handlers[i]
}

const bitsPerByte = 8

// drainQuota returns the name of the quota of a drain's own cap, or "" if the
// drain has no cap.
func drainQuota(d config.Drain) string {
	if d.CapPerSecond == 0 {
		return ""
	}
	return config.DrainQuota(d.Kind, d.Target)
}
