package steer_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/quota"
	"balsambarrow/internal/steer"
)

// The simulation drives Table, Spill and quota.Bucket with simulated time: an
// entry host and a handler in each zone, handlers with slots and a bounded
// queue, headroom heard late, callers that arrive at random times.

const (
	simStep     = 2 * time.Millisecond
	beatEvery   = 500 * time.Millisecond
	serviceTime = 20 * time.Millisecond
	maxWait     = 500 * time.Millisecond
	coldFactor  = 4
	nearDelay   = 500 * time.Microsecond
)

// deployment has the sizes of one of the two users.
type deployment struct {
	name   string
	slots  int // of one zone, for the service
	oneWay time.Duration
}

var deployments = []deployment{
	{"cooperative lookup", 12, 35 * time.Millisecond},
	{"association balance", 8, 55 * time.Millisecond},
}

func (d deployment) capacity() float64 { return float64(2*d.slots) / serviceTime.Seconds() }

// policy decides where an entry host sends a request.
type policy func(s *sim, entry string, r steer.Request) []steer.Target

type simHandler struct {
	zone   string
	free   []time.Duration // when each slot is free again
	starts []time.Duration
	warm   map[string]bool
	cold   bool
}

type sim struct {
	d        deployment
	c        *config.Config
	stale    time.Duration
	rng      *rand.Rand
	now      time.Duration
	handlers map[string]*simHandler
	builders map[string]*steer.Builder
	tables   map[string]*steer.Table
	heard    []map[string]membership.Headroom // by beat
	ready    []membership.Member
	lost     map[string]bool // regions and zones
	caps     map[string]*quota.Bucket
	demand   func(region string, now time.Duration) float64
	policy   policy
	sequence uint64
	// answers are told to steering when they arrive.
	answers map[time.Duration][]simAnswer
	result  simResult
}

type simAnswer struct {
	target  steer.Target
	waited  time.Duration
	refused bool
}

// simResult is what callers received and what regions were sent.
type simResult struct {
	sent, ran, refused int
	latency            []time.Duration
	// perSecond counts requests by second and region or shift.
	perSecond []map[string]int
}

func newSim(d deployment, c *config.Config, stale time.Duration, p policy) *sim {
	s := &sim{
		d: d, c: c, stale: stale, policy: p, rng: rand.New(rand.NewPCG(20261202, 1)),
		handlers: map[string]*simHandler{}, builders: map[string]*steer.Builder{}, tables: map[string]*steer.Table{},
		lost: map[string]bool{}, caps: map[string]*quota.Bucket{}, answers: map[time.Duration][]simAnswer{},
	}
	for z := range c.Zones {
		s.handlers[z] = &simHandler{zone: z, free: make([]time.Duration, d.slots), warm: map[string]bool{}}
		s.builders[z] = steer.NewBuilder(z)
	}
	for _, q := range c.Quotas() {
		s.caps[q.Name] = quota.NewBucket(q.Rate, q.Burst, q.Burst, start)
	}
	return s
}

func (s *sim) clock() time.Time { return start.Add(s.now) }

func (s *sim) run(length time.Duration, at func(now time.Duration)) simResult {
	regions := sortedKeys(s.c.Regions)
	for ; s.now < length; s.now += simStep {
		if s.now%time.Second == 0 {
			s.result.perSecond = append(s.result.perSecond, map[string]int{})
			at(s.now)
		}
		if s.now%beatEvery == 0 {
			s.beat()
		}
		if s.now%(100*time.Millisecond) == 0 {
			s.build()
		}
		s.answer()
		for _, region := range regions {
			if s.lost[region] {
				continue
			}
			for range s.poisson(s.demand(region, s.now) * simStep.Seconds()) {
				entry := []string{region + "-a", region + "-b"}[s.rng.IntN(2)]
				if s.lost[entry] {
					entry = region + "-a"
				}
				s.arrive(entry)
			}
		}
	}
	return s.result
}

func (s *sim) answer() {
	for _, a := range s.answers[s.now] {
		a.target.RecordResult(a.waited, a.refused)
	}
	delete(s.answers, s.now)
}

func (s *sim) poisson(mean float64) int {
	limit, p, n := math.Exp(-mean), 1.0, 0
	for p *= s.rng.Float64(); p > limit; p *= s.rng.Float64() {
		n++
	}
	return n
}

// beat lets every daemon hear the headroom of stale ago.
func (s *sim) beat() {
	s.sequence++
	rooms := map[string]membership.Headroom{}
	for z, h := range s.handlers {
		rooms[z] = h.room(s.now)
	}
	s.heard = append(s.heard, rooms)
	seen := s.heard[max(0, len(s.heard)-1-int(s.stale/beatEvery))]
	var ready []membership.Member
	for _, z := range sortedKeys(s.c.Zones) {
		if s.lost[s.c.Zones[z].Region] || s.lost[z] {
			continue
		}
		m := member(z, seen[z])
		m.Sequence = s.sequence
		ready = append(ready, m)
	}
	s.ready = ready
}

// build makes every daemon's table, as its control thread does on each tick.
func (s *sim) build() {
	active := config.NewActive(1, s.c)
	for z, b := range s.builders {
		s.tables[z] = b.Build(active, s.ready, nobody{}, s.clock())
	}
}

func (h *simHandler) room(now time.Duration) membership.Headroom {
	room := membership.Headroom{Limit: len(h.free)}
	for _, until := range h.free {
		if until <= now {
			room.Free++
		}
	}
	h.starts = slices.DeleteFunc(h.starts, func(t time.Duration) bool { return t <= now })
	room.Queued = len(h.starts)
	return room
}

func (s *sim) arrive(entry string) {
	s.result.sent++
	r := steer.Request{Service: "lookup", Customer: "farm", HashKey: fmt.Sprint("/", s.rng.IntN(2000))}
	took := nearDelay
	for _, t := range s.policy(s, entry, r) {
		if t.ShiftQuota != "" {
			if ok, _ := s.caps[t.ShiftQuota].Take(1, s.clock()); !ok {
				continue
			}
			took += 2 * s.d.oneWay
		}
		t.RecordSent()
		h := s.handlers[t.Handler.Member.Zone]
		wait, ok := h.serve(s.now, r.HashKey)
		second := s.result.perSecond[len(s.result.perSecond)-1]
		if t.ShiftQuota != "" {
			second[t.ShiftQuota]++
		}
		arrives := (s.now + wait).Truncate(simStep) + simStep
		s.answers[arrives] = append(s.answers[arrives], simAnswer{target: t, waited: wait - serviceTime, refused: !ok})
		if !ok {
			continue
		}
		second[s.c.Zones[h.zone].Region]++
		s.result.ran++
		s.result.latency = append(s.result.latency, took+wait)
		return
	}
	s.result.refused++
}

// serve takes the slot that is free first, or refuses what would wait too long.
func (h *simHandler) serve(now time.Duration, key string) (time.Duration, bool) {
	i := 0
	for j := range h.free {
		if h.free[j] < h.free[i] {
			i = j
		}
	}
	begin := max(now, h.free[i])
	if begin-now > maxWait {
		return 0, false
	}
	length := serviceTime
	if h.cold && !h.warm[key] {
		length *= coldFactor
		h.warm[key] = true
	}
	h.free[i] = begin + length
	if begin > now {
		h.starts = append(h.starts, begin)
	}
	return begin + length - now, true
}

// steered is the policy under test.
func steered(s *sim, entry string, r steer.Request) []steer.Target {
	return s.tables[entry].Choose(r, s.clock(), s.rng)
}

// roomiestFirst is the naive baseline: every request goes to the zone whose
// advertised room is largest, with no fraction, no cap and no count of what
// was sent.
func roomiestFirst(s *sim, entry string, r steer.Request) []steer.Target {
	ts := s.tables[entry].Choose(r, s.clock(), s.rng)
	all := s.tables[entry].Handlers("lookup")
	slices.SortStableFunc(all, func(x, y *steer.Handler) int {
		return cmp.Compare(y.Member.Headroom["lookup"].Free, x.Member.Headroom["lookup"].Free)
	})
	if len(ts) == 0 {
		return nil
	}
	out := make([]steer.Target, 0, len(all))
	for _, h := range all {
		out = append(out, steer.Target{Handler: h})
	}
	return out[:min(len(out), steer.MaxTargets)]
}

func (r simResult) quantile(q float64) time.Duration {
	if len(r.latency) == 0 {
		return 0
	}
	sorted := slices.Clone(r.latency)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

// most returns the highest count of a name in any second from from on, the
// mean and the standard deviation.
func (r simResult) most(name string, from int) (highest int, mean, deviation float64) {
	n := float64(len(r.perSecond) - from)
	for _, second := range r.perSecond[from:] {
		highest = max(highest, second[name])
		mean += float64(second[name]) / n
	}
	for _, second := range r.perSecond[from:] {
		deviation += math.Pow(float64(second[name])-mean, 2) / n
	}
	return highest, mean, math.Sqrt(deviation)
}

func (r simResult) line(t *testing.T, d deployment, pattern, policy string) {
	t.Logf("%-20s %-34s %-9s ran %5.1f%% refused %5.2f%% p50 %4d ms p99 %4d ms", d.name, pattern, policy,
		100*float64(r.ran)/float64(r.sent), 100*float64(r.refused)/float64(r.sent),
		r.quantile(0.5).Milliseconds(), r.quantile(0.99).Milliseconds())
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// simRegions is a configuration of the named regions with a shift cap.
func simRegions(cap float64, names ...string) *config.Config {
	c := &config.Config{
		Regions: map[string]config.Region{}, Zones: map[string]config.Zone{},
		Services:  map[string]config.Service{"lookup": {ShiftCapPerSecond: cap}},
		Customers: map[string]config.Customer{"farm": {}},
	}
	for _, r := range names {
		c.Regions[r] = config.Region{}
		c.Zones[r+"-a"] = config.Zone{Region: r, Slots: 4, Weight: 1}
		c.Zones[r+"-b"] = config.Zone{Region: r, Slots: 4, Weight: 1}
	}
	return c
}

func quiet(time.Duration) {}

// Load pattern: one region gets 1.3 times what it can serve, its neighbour
// 0.3 times, and each sees the other's room five seconds late. What a naive
// policy shows: everybody sends to the region that looked empty, which fills
// while the other empties, and back.
func TestTwoRegionsDoNotOscillate(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			demand := func(region string, _ time.Duration) float64 {
				return map[string]float64{"vt": 1.3, "me": 0.3}[region] * d.capacity()
			}
			swing := map[string]float64{}
			for name, p := range map[string]policy{"naive": roomiestFirst, "steered": steered} {
				s := newSim(d, simRegions(d.capacity(), "vt", "me"), 5*time.Second, p)
				s.demand = demand
				r := s.run(120*time.Second, quiet)
				highest, mean, deviation := r.most("me", 60)
				swing[name] = deviation / mean
				r.line(t, d, "two regions, headroom 5 s late", name)
				t.Logf("    neighbour's load per second: mean %.0f, most %d, deviation %.1f%%, capacity %.0f", mean, highest, 100*swing[name], d.capacity())
				if name == "steered" {
					g.Expect(float64(r.ran) / float64(r.sent)).To(BeNumerically(">", 0.97))
					g.Expect(float64(highest)).To(BeNumerically("<", d.capacity()))
				}
			}
			g.Expect(swing["steered"]).To(BeNumerically("<", swing["naive"]/3))
		})
	}
}

// Load pattern: a region is lost, the survivors' caches are cold for its keys
// and their room is just enough. The shift from the lost region's neighbours
// stays under the cap; here callers of the lost region come in elsewhere.
func TestLossOfARegionWithColdCaches(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			for name, p := range map[string]policy{"naive": roomiestFirst, "steered": steered} {
				limit := 0.1 * d.capacity()
				s := newSim(d, simRegions(limit, "vt", "me", "ma"), beatEvery, p)
				s.demand = func(region string, now time.Duration) float64 {
					if now < 20*time.Second {
						return 0.5 * d.capacity()
					}
					return map[string]float64{"me": 0.95, "ma": 0.55}[region] * d.capacity()
				}
				r := s.run(60*time.Second, func(now time.Duration) {
					if now == 20*time.Second {
						s.lost["vt"] = true
						for _, h := range s.handlers {
							h.cold = true
						}
					}
				})
				r.line(t, d, "a region lost, caches cold", name)
				highest, _, _ := r.most("shift/lookup/me/ma", 0)
				t.Logf("    most shifted in a second: %d, cap %.0f", highest, limit)
				if name == "steered" {
					g.Expect(float64(highest)).To(BeNumerically("<=", limit))
				}
			}
		})
	}
}

// Load pattern: operators move half of a service's traffic within 20 s, with
// a cap below what the ramp would send; later a second operator drains the
// same region. Both draw on one cap.
func TestMoveAndDrainTogetherStayUnderTheCap(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			limit := math.Floor(0.2 * d.capacity())
			c := simRegions(limit, "vt", "me")
			c.Moves = map[string]config.Move{"m": {
				Service: "lookup", From: "vt", To: "me", Share: 0.5, CapPerSecond: limit,
				RampSeconds: 20, StartUnixMs: start.Add(5 * time.Second).UnixMilli(),
			}}
			c.Drains = map[string]config.Drain{"d": {
				Kind: config.DrainRegion, Target: "vt", RampSeconds: 20, StartUnixMs: start.Add(30 * time.Second).UnixMilli(),
			}}
			s := newSim(d, c, beatEvery, steered)
			s.demand = func(string, time.Duration) float64 { return 0.5 * d.capacity() }
			r := s.run(90*time.Second, quiet)
			highest, mean, _ := r.most("shift/lookup/vt/me", 60)
			r.line(t, d, "move and drain under one cap", "steered")
			t.Logf("    shifted per second: mean %.1f, most %d, cap %.0f", mean, highest, limit)
			all, _, _ := r.most("shift/lookup/vt/me", 0)
			g.Expect(float64(all)).To(BeNumerically("<=", limit))
			g.Expect(mean).To(BeNumerically(">", 0.8*limit))
			g.Expect(r.refused).To(BeZero())
		})
	}
}

// Load pattern: operators drain a region; half way another region is lost.
// What leaves the drained region has only one place left. The drain must not
// push past the cap, and what does not fit must go on at home, unrefused.
func TestDrainWhileAnotherRegionFails(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			limit := math.Floor(0.3 * d.capacity())
			c := simRegions(limit, "vt", "me", "ma")
			c.Drains = map[string]config.Drain{"d": {
				Kind: config.DrainRegion, Target: "vt", RampSeconds: 20, StartUnixMs: start.Add(5 * time.Second).UnixMilli(),
			}}
			s := newSim(d, c, beatEvery, steered)
			s.demand = func(string, time.Duration) float64 { return 0.5 * d.capacity() }
			r := s.run(60*time.Second, func(now time.Duration) {
				if now == 15*time.Second {
					s.lost["me"] = true
				}
			})
			r.line(t, d, "drain, then another region lost", "steered")
			for _, to := range []string{"me", "ma"} {
				most, _, _ := r.most("shift/lookup/vt/"+to, 0)
				t.Logf("    most shifted to %s in a second: %d, cap %.0f", to, most, limit)
				g.Expect(float64(most)).To(BeNumerically("<=", limit))
			}
			load, _, _ := r.most("ma", 0)
			g.Expect(float64(load)).To(BeNumerically("<=", d.capacity()))
			g.Expect(r.refused).To(BeZero())
		})
	}
}

// Load pattern: one zone of a region is lost; its sibling takes what it can,
// the rest spills to other regions under the cap.
func TestLossOfAZone(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			for name, p := range map[string]policy{"naive": roomiestFirst, "steered": steered} {
				s := newSim(d, simRegions(0.5*d.capacity(), "vt", "me"), beatEvery, p)
				s.demand = func(string, time.Duration) float64 { return 0.7 * d.capacity() }
				r := s.run(60*time.Second, func(now time.Duration) {
					if now == 20*time.Second {
						s.lost["vt-b"] = true
					}
				})
				r.line(t, d, "a zone lost", name)
				most, _, _ := r.most("shift/lookup/vt/me", 0)
				t.Logf("    most shifted in a second: %d, cap %.0f", most, 0.5*d.capacity())
				if name == "steered" {
					g.Expect(float64(most)).To(BeNumerically("<=", 0.5*d.capacity()))
				}
			}
		})
	}
}
