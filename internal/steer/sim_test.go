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

const (
	simStep           = 2 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	serviceTime       = 20 * time.Millisecond
	maxWait           = 500 * time.Millisecond
	coldCacheFactor   = 4
	localDelay        = 500 * time.Microsecond
)

// deployment holds the sizes of one of the two example deployments.
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

// policy selects the targets of a request at an entry host.
type policy func(s *sim, entry string, r steer.Request) []steer.Target

type simHandler struct {
	zone         string
	slotFreeAt   []time.Duration // when each slot is free again
	queuedStarts []time.Duration
	warm         map[string]bool
	cold         bool
}

// sim drives Table, Spillover and quota.Bucket in simulated time. Each zone
// has an entry host and a handler; handlers have slots and a bounded queue,
// headroom arrives late, and requests arrive at random times.
type sim struct {
	deployment    deployment
	config        *config.Config
	headroomDelay time.Duration
	rng           *rand.Rand
	now           time.Duration
	handlers      map[string]*simHandler
	builders      map[string]*steer.Builder
	tables        map[string]*steer.Table
	advertised    []map[string]membership.Headroom // by heartbeat
	ready         []membership.Member
	lost          map[string]bool // regions and zones
	caps          map[string]*quota.Bucket
	demand        func(region string, now time.Duration) float64
	policy        policy
	sequence      uint64
	// responses holds the results by the time at which they reach the entry
	// host.
	responses map[time.Duration][]simResponse
	result    simResult
}

type simResponse struct {
	target     steer.Target
	queueing   time.Duration
	noHeadroom bool
}

// simResult counts the requests of callers and of regions.
type simResult struct {
	sent, ran, refused int
	latency            []time.Duration
	// perSecond counts requests by second and by region or shift quota.
	perSecond []map[string]int
}

func newSim(d deployment, c *config.Config, headroomDelay time.Duration, p policy) *sim {
	s := &sim{
		deployment: d, config: c, headroomDelay: headroomDelay, policy: p, rng: rand.New(rand.NewPCG(20261202, 1)),
		handlers: map[string]*simHandler{}, builders: map[string]*steer.Builder{}, tables: map[string]*steer.Table{},
		lost: map[string]bool{}, caps: map[string]*quota.Bucket{}, responses: map[time.Duration][]simResponse{},
	}
	for z := range c.Zones {
		s.handlers[z] = &simHandler{zone: z, slotFreeAt: make([]time.Duration, d.slots), warm: map[string]bool{}}
		s.builders[z] = steer.NewBuilder(z)
	}
	for _, q := range c.Quotas() {
		s.caps[q.Name] = quota.NewBucket(q.Rate, q.Burst, q.Burst, start)
	}
	return s
}

func (s *sim) clock() time.Time { return start.Add(s.now) }

func (s *sim) run(length time.Duration, eachSecond func(now time.Duration)) simResult {
	regions := sortedKeys(s.config.Regions)
	for ; s.now < length; s.now += simStep {
		if s.now%time.Second == 0 {
			s.result.perSecond = append(s.result.perSecond, map[string]int{})
			eachSecond(s.now)
		}
		if s.now%heartbeatInterval == 0 {
			s.heartbeat()
		}
		if s.now%(100*time.Millisecond) == 0 {
			s.buildTables()
		}
		s.deliverResponses()
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

func (s *sim) deliverResponses() {
	for _, response := range s.responses[s.now] {
		response.target.RecordResult(response.queueing, response.noHeadroom)
	}
	delete(s.responses, s.now)
}

func (s *sim) poisson(mean float64) int {
	limit, p, n := math.Exp(-mean), 1.0, 0
	for p *= s.rng.Float64(); p > limit; p *= s.rng.Float64() {
		n++
	}
	return n
}

// heartbeat publishes the headroom of all handlers as it was headroomDelay
// ago.
func (s *sim) heartbeat() {
	s.sequence++
	headrooms := map[string]membership.Headroom{}
	for z, h := range s.handlers {
		headrooms[z] = h.headroom(s.now)
	}
	s.advertised = append(s.advertised, headrooms)
	visible := s.advertised[max(0, len(s.advertised)-1-int(s.headroomDelay/heartbeatInterval))]
	var ready []membership.Member
	for _, z := range sortedKeys(s.config.Zones) {
		if s.lost[s.config.Zones[z].Region] || s.lost[z] {
			continue
		}
		m := member(z, visible[z])
		m.Sequence = s.sequence
		ready = append(ready, m)
	}
	s.ready = ready
}

// buildTables builds the table of every daemon, as the control thread does on
// each tick.
func (s *sim) buildTables() {
	active := config.NewActive(1, s.config)
	for z, b := range s.builders {
		s.tables[z] = b.Build(active, s.ready, noSlots{}, s.clock())
	}
}

func (h *simHandler) headroom(now time.Duration) membership.Headroom {
	headroom := membership.Headroom{Limit: len(h.slotFreeAt)}
	for _, until := range h.slotFreeAt {
		if until <= now {
			headroom.Free++
		}
	}
	h.queuedStarts = slices.DeleteFunc(h.queuedStarts, func(t time.Duration) bool { return t <= now })
	headroom.Queued = len(h.queuedStarts)
	return headroom
}

func (s *sim) arrive(entry string) {
	s.result.sent++
	r := steer.Request{Service: "lookup", Customer: "farm", HashKey: fmt.Sprint("/", s.rng.IntN(2000))}
	latency := localDelay
	for _, t := range s.policy(s, entry, r) {
		if t.ShiftQuota != "" {
			if ok, _ := s.caps[t.ShiftQuota].Take(1, s.clock()); !ok {
				continue
			}
			latency += 2 * s.deployment.oneWay
		}
		t.RecordSent()
		h := s.handlers[t.Handler.Member.Zone]
		wait, ok := h.serve(s.now, r.HashKey)
		second := s.result.perSecond[len(s.result.perSecond)-1]
		if t.ShiftQuota != "" {
			second[t.ShiftQuota]++
		}
		arrives := (s.now + wait).Truncate(simStep) + simStep
		s.responses[arrives] = append(s.responses[arrives], simResponse{target: t, queueing: wait - serviceTime, noHeadroom: !ok})
		if !ok {
			continue
		}
		second[s.config.Zones[h.zone].Region]++
		s.result.ran++
		s.result.latency = append(s.result.latency, latency+wait)
		return
	}
	s.result.refused++
}

// serve runs a request on the slot that becomes free first, or rejects it if
// it would queue for longer than maxWait.
func (h *simHandler) serve(now time.Duration, key string) (time.Duration, bool) {
	i := 0
	for j := range h.slotFreeAt {
		if h.slotFreeAt[j] < h.slotFreeAt[i] {
			i = j
		}
	}
	begin := max(now, h.slotFreeAt[i])
	if begin-now > maxWait {
		return 0, false
	}
	length := serviceTime
	if h.cold && !h.warm[key] {
		length *= coldCacheFactor
		h.warm[key] = true
	}
	h.slotFreeAt[i] = begin + length
	if begin > now {
		h.queuedStarts = append(h.queuedStarts, begin)
	}
	return begin + length - now, true
}

// steered is the policy under test.
func steered(s *sim, entry string, r steer.Request) []steer.Target {
	return s.tables[entry].Choose(r, s.clock(), s.rng)
}

// mostFreeFirst is the naive baseline: every request goes to the zone with the
// most advertised free slots, without a fraction, a cap or a count of sent
// requests.
func mostFreeFirst(s *sim, entry string, r steer.Request) []steer.Target {
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

// loadStats returns the highest count of a name in any second, the mean and
// the standard deviation, all from the given second on.
func (r simResult) loadStats(name string, from int) (highest int, mean, deviation float64) {
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

func (r simResult) logLine(t *testing.T, d deployment, pattern, policy string) {
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

// simRegions returns a configuration of the named regions with a shift cap.
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

func noEvents(time.Duration) {}

// One region receives 1.3 times its capacity and the other 0.3 times, and
// headroom arrives five seconds late. With the naive policy all entry hosts
// send to the region that last reported free slots, so the two regions fill up
// in turn.
func TestTwoRegionsDoNotOscillate(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			demand := func(region string, _ time.Duration) float64 {
				return map[string]float64{"vt": 1.3, "me": 0.3}[region] * d.capacity()
			}
			swing := map[string]float64{}
			for name, p := range map[string]policy{"naive": mostFreeFirst, "steered": steered} {
				s := newSim(d, simRegions(d.capacity(), "vt", "me"), 5*time.Second, p)
				s.demand = demand
				r := s.run(120*time.Second, noEvents)
				highest, mean, deviation := r.loadStats("me", 60)
				swing[name] = deviation / mean
				r.logLine(t, d, "two regions, headroom 5 s late", name)
				t.Logf("    other region's load per second: mean %.0f, maximum %d, deviation %.1f%%, capacity %.0f", mean, highest, 100*swing[name], d.capacity())
				if name == "steered" {
					g.Expect(float64(r.ran) / float64(r.sent)).To(BeNumerically(">", 0.97))
					g.Expect(float64(highest)).To(BeNumerically("<", d.capacity()))
				}
			}
			g.Expect(swing["steered"]).To(BeNumerically("<", swing["naive"]/3))
		})
	}
}

// A region is lost, and its callers use the two remaining regions, whose
// caches are cold for its keys and whose capacity barely suffices. Traffic
// that the overloaded region shifts to the other one must stay under the cap.
func TestRegionLossWithColdCaches(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			for name, p := range map[string]policy{"naive": mostFreeFirst, "steered": steered} {
				limit := 0.1 * d.capacity()
				s := newSim(d, simRegions(limit, "vt", "me", "ma"), heartbeatInterval, p)
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
				r.logLine(t, d, "a region lost, caches cold", name)
				highest, _, _ := r.loadStats("shift/lookup/me/ma", 0)
				t.Logf("    maximum shifted in a second: %d, cap %.0f", highest, limit)
				if name == "steered" {
					g.Expect(float64(highest)).To(BeNumerically("<=", limit))
				}
			}
		})
	}
}

// Operators move half of a service's traffic within 20 s, with a cap below the
// rate that the ramp would send. Then a second operator drains the same
// region. Both together must stay under the one shift cap.
func TestMoveAndDrainShareTheShiftCap(t *testing.T) {
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
			s := newSim(d, c, heartbeatInterval, steered)
			s.demand = func(string, time.Duration) float64 { return 0.5 * d.capacity() }
			r := s.run(90*time.Second, noEvents)
			highest, mean, _ := r.loadStats("shift/lookup/vt/me", 60)
			r.logLine(t, d, "move and drain under one cap", "steered")
			t.Logf("    shifted per second: mean %.1f, maximum %d, cap %.0f", mean, highest, limit)
			highestOverall, _, _ := r.loadStats("shift/lookup/vt/me", 0)
			g.Expect(float64(highestOverall)).To(BeNumerically("<=", limit))
			g.Expect(mean).To(BeNumerically(">", 0.8*limit))
			g.Expect(r.refused).To(BeZero())
		})
	}
}

// Operators drain a region, and another region is lost half way through the
// ramp. Only one region is left for the drained traffic. The drain must stay
// under the cap, and requests above the cap must be served in the drained
// region, with no rejections.
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
			s := newSim(d, c, heartbeatInterval, steered)
			s.demand = func(string, time.Duration) float64 { return 0.5 * d.capacity() }
			r := s.run(60*time.Second, func(now time.Duration) {
				if now == 15*time.Second {
					s.lost["me"] = true
				}
			})
			r.logLine(t, d, "drain, then another region lost", "steered")
			for _, to := range []string{"me", "ma"} {
				highest, _, _ := r.loadStats("shift/lookup/vt/"+to, 0)
				t.Logf("    maximum shifted to %s in a second: %d, cap %.0f", to, highest, limit)
				g.Expect(float64(highest)).To(BeNumerically("<=", limit))
			}
			load, _, _ := r.loadStats("ma", 0)
			g.Expect(float64(load)).To(BeNumerically("<=", d.capacity()))
			g.Expect(r.refused).To(BeZero())
		})
	}
}

// One zone of a region is lost. The other zone of the region serves what it
// can, and the rest spills over to the other region under the cap.
func TestZoneLoss(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			for name, p := range map[string]policy{"naive": mostFreeFirst, "steered": steered} {
				s := newSim(d, simRegions(0.5*d.capacity(), "vt", "me"), heartbeatInterval, p)
				s.demand = func(string, time.Duration) float64 { return 0.7 * d.capacity() }
				r := s.run(60*time.Second, func(now time.Duration) {
					if now == 20*time.Second {
						s.lost["vt-b"] = true
					}
				})
				r.logLine(t, d, "a zone lost", name)
				highest, _, _ := r.loadStats("shift/lookup/vt/me", 0)
				t.Logf("    maximum shifted in a second: %d, cap %.0f", highest, 0.5*d.capacity())
				if name == "steered" {
					g.Expect(float64(highest)).To(BeNumerically("<=", 0.5*d.capacity()))
				}
			}
		})
	}
}
