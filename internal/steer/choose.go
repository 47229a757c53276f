package steer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsambarrow/internal/config"
)

// Request is what steering knows of a request.
type Request struct {
	Service  string
	Customer string
	// HashKey decides which part of a shifted traffic a request belongs to: the
	// same key goes to the same region, so that caches warm.
	HashKey string
	// SizeBytes is the size of the request on the way to another region.
	SizeBytes float64
}

// Target is a daemon to ask, with what has to be taken before.
type Target struct {
	Handler *Handler
	// ShiftQuota is the quota of the shift's cap; "" in the home region.
	ShiftQuota string
	// DrainQuota is the quota of the drain that causes the shift; "" if none.
	DrainQuota string
	// LinkQuota is the quota of the link that the request crosses; "" if none.
	LinkQuota string
	// LinkBits is the cost on that link.
	LinkBits float64
	// feedback is told how requests in the home region fared; nil elsewhere.
	feedback *feedback
}

// RecordSent counts a request that is sent to the target.
func (t *Target) RecordSent() { t.Handler.sent.Add(1) }

// RecordResult records how long the request waited for room there, or that there was
// none.
func (t *Target) RecordResult(waited time.Duration, refused bool) {
	if t.feedback != nil {
		t.feedback.note(waited, refused)
	}
}

// MaxTargets bounds the handlers asked for one request: a second and a third
// for a refusal by lagging headroom; more would only add load when all are full.
const MaxTargets = 3

// Choose returns the daemons to ask, best first, MaxTargets at most.
func (t *Table) Choose(r Request, now time.Time, rng *rand.Rand) []Target {
	s := t.services[r.Service]
	if s == nil {
		return nil
	}
	c := chooser{t: t, s: s, r: r, now: now, rng: rng, where: position(r)}
	c.targets = make([]Target, 0, MaxTargets)
	c.run()
	return c.targets
}

// position places a request between 0 and 1 by its key.
func position(r Request) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Customer)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(r.HashKey)
	return float64(h.Sum64()>>11) / (1 << 53)
}

type chooser struct {
	t       *Table
	s       *serviceTable
	r       Request
	now     time.Time
	rng     *rand.Rand
	where   float64
	targets []Target
}

func (c *chooser) run() {
	first, drain := c.planned()
	if first == nil && c.where >= 1-c.s.spill {
		first = c.roomiest()
	}
	if first != nil {
		c.addOther(first, drain)
	}
	if c.homeAllowed() {
		c.addHome()
	}
	c.elsewhere(first)
	if c.homeAllowed() && len(c.targets) < MaxTargets {
		c.addFormer()
	}
}

// planned returns the region that a move or a drain of the home region sends
// this request to, and the drain's quota.
func (c *chooser) planned() (*regionTable, string) {
	edge := 0.0
	for _, m := range c.s.moves {
		next := edge + m.move.Share*ramp(m.move.StartUnixMs, m.move.RampSeconds, c.now)
		if c.where >= edge && c.where < next {
			if r := c.region(m.to); r != nil {
				return r, ""
			}
		}
		edge = next
	}
	if d := c.s.homeDrain; d != nil && c.where < ramp(d.StartUnixMs, d.RampSeconds, c.now) {
		return c.roomiest(), drainQuota(*d)
	}
	return nil, ""
}

// ramp grows from 0 at start to 1 after seconds.
func ramp(startUnixMs int64, seconds float64, now time.Time) float64 {
	passed := now.Sub(time.UnixMilli(startUnixMs)).Seconds()
	switch {
	case passed <= 0:
		return 0
	case passed >= seconds:
		return 1
	}
	return passed / seconds
}

// homeAllowed is false where neither service nor customer may be served in
// the home region.
func (c *chooser) homeAllowed() bool { return c.allowed(c.t.region) }

func (c *chooser) allowed(region string) bool {
	cfg := c.t.active.Config
	return allows(cfg.Services[c.r.Service].Regions, region) && allows(cfg.Customers[c.r.Customer].Regions, region)
}

func allows(list []string, region string) bool {
	return len(list) == 0 || slices.Contains(list, region)
}

func (c *chooser) region(name string) *regionTable {
	for i := range c.s.others {
		if c.s.others[i].name == name && c.allowed(name) {
			return &c.s.others[i]
		}
	}
	return nil
}

// roomiest picks the other region to start in: the one with less pressure
// out of two picked at random, so that not everybody picks the same.
func (c *chooser) roomiest() *regionTable {
	var best *regionTable
	n := len(c.s.others)
	if n == 0 {
		return nil
	}
	for i, start := 0, c.rng.IntN(n); i < n; i++ {
		r := &c.s.others[(start+i)%n]
		if !c.allowed(r.name) || c.draining(r.name) {
			continue
		}
		if best == nil {
			best = r
			continue
		}
		if r.pressure() < best.pressure() {
			best = r
		}
		break
	}
	return best
}

func (c *chooser) draining(region string) bool {
	_, is := c.t.regionDrains[region]
	return is
}

// elsewhere fills up with other regions, for when the first ones refuse.
func (c *chooser) elsewhere(first *regionTable) {
	n := len(c.s.others)
	if n == 0 {
		return
	}
	for i, start := 0, c.rng.IntN(n); i < n && len(c.targets) < MaxTargets; i++ {
		r := &c.s.others[(start+i)%n]
		if r != first && c.allowed(r.name) && !c.draining(r.name) {
			c.addOther(r, "")
		}
	}
}

// addHome appends a handler of each zone of the home region, nearest zone
// first; a zone that is being drained comes last. One place is kept for
// another region.
func (c *chooser) addHome() {
	room := MaxTargets - len(c.targets)
	if len(c.s.others) > 0 {
		room = max(room-1, 1)
	}
	zones := c.s.home.zones
	for _, drained := range []bool{false, true} {
		for i := range zones {
			if room == 0 {
				return
			}
			if c.zoneDrained(zones[i].name) == drained {
				c.targets = append(c.targets, Target{Handler: pick(zones[i].handlers, c.rng), feedback: c.s.feedback})
				room--
			}
		}
	}
}

// addFormer appends a former handler of the home region, for when the handler
// that the assignment names does not know of it yet.
func (c *chooser) addFormer() {
	if former := c.s.home.former; len(former) > 0 {
		c.targets = append(c.targets, Target{Handler: pick(former, c.rng), feedback: c.s.feedback})
	}
}

// addOther appends a handler of another region, of any zone of it: seen from
// far its zones are equally near, and one of them alone would fill first.
func (c *chooser) addOther(r *regionTable, drain string) {
	t := Target{Handler: pick(r.handlers, c.rng), DrainQuota: drain}
	t.ShiftQuota = config.ShiftQuota(c.r.Service, c.t.region, r.name)
	if c.t.linked[r.name] {
		t.LinkQuota = config.LinkQuota(c.t.region, r.name)
		t.LinkBits = bitsPerByte * c.r.SizeBytes
	}
	c.targets = append(c.targets, t)
}

// zoneDrained tells whether this request is in the part of a zone's traffic
// that its drain has already moved.
func (c *chooser) zoneDrained(zone string) bool {
	d, ok := c.t.zoneDrains[zone]
	return ok && c.where < ramp(d.StartUnixMs, d.RampSeconds, c.now)
}

// pick takes the roomier of two handlers picked at random.
func pick(handlers []*Handler, rng *rand.Rand) *Handler {
	n := len(handlers)
	if n == 1 {
		return handlers[0]
	}
	i := rng.IntN(n)
	j := (i + 1 + rng.IntN(n-1)) % n
	if handlers[j].free() > handlers[i].free() {
		return handlers[j]
	}
	return handlers[i]
}

const bitsPerByte = 8

// drainQuota names the quota of a drain's own cap; "" if it has none.
func drainQuota(d config.Drain) string {
	if d.CapPerSecond == 0 {
		return ""
	}
	return config.DrainQuota(d.Kind, d.Target)
}
