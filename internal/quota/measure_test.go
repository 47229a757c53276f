package quota

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// scenario is one load on one quota.
type scenario struct {
	name  string
	times float64 // of the rate
	parts func(since time.Duration) []float64
}

const moveAt = 20 * time.Second

func oneZone(at int) []float64 {
	parts := make([]float64, len(simRegions))
	for i := range parts {
		parts[i] = 0.2 / float64(len(parts)-2)
	}
	parts[at], parts[at+1] = 0.4, 0.4
	return parts
}

func oneHost(at int) []float64 {
	parts := make([]float64, len(simRegions))
	for i := range parts {
		parts[i] = 0.2 / float64(len(parts)-1)
	}
	parts[at] = 0.8
	return parts
}

func fixed(parts []float64) func(time.Duration) []float64 {
	return func(time.Duration) []float64 { return parts }
}

var evenParts = []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}

var scenarios = []scenario{
	{"80% by one host", 0.9, fixed(oneHost(0))},
	{"80% by one zone", 0.9, fixed(oneZone(0))},
	{"even", 0.9, fixed(evenParts)},
	{"move", 0.9, func(since time.Duration) []float64 {
		if since < moveAt {
			return oneZone(0)
		}
		return oneZone(4)
	}},
	{"5x", 5, fixed(oneZone(0))},
}

var sizes = []Share{{200, 50}, {200, 10}, {20, 5}, {20, 20}}

// runScenario measures 40 s after 10 s of settling.
func runScenario(seed uint64, sc scenario, size Share, oneWay time.Duration, p simPolicy) *sim {
	s := newSim(seed, size, oneWay, p)
	s.measureAt = s.start.Add(10 * time.Second)
	s.load(size.Rate*sc.times, sc.parts)
	s.run(50 * time.Second)
	return s
}

// settledAfter is how many seconds after the move the wrongful refusals stay
// under 2%.
func (s *sim) settledAfter() int {
	move := int(moveAt / time.Second)
	last := move - 1
	for sec := move; sec < 50; sec++ {
		if c := s.perSecond[sec]; c[1] > 0 && float64(c[0])/float64(c[1]) > 0.02 {
			last = sec
		}
	}
	return last + 1 - move
}

func TestMeasureSimulation(t *testing.T) {
	if os.Getenv("BALSAM_MEASURE") == "" {
		t.Skip("prints figures; set BALSAM_MEASURE=1")
	}
	seeds := []uint64{1, 2, 3, 4, 5}
	policies := []simPolicy{policyLoans, policyEven, policyProportional, policyAllocator}
	if os.Getenv("BALSAM_POLICY") != "" {
		policies = policies[:1]
		seeds = seeds[:1]
	}
	for _, oneWay := range []time.Duration{35 * time.Millisecond, 55 * time.Millisecond} {
		for _, size := range sizes {
			for _, sc := range scenarios {
				for _, p := range policies {
					report(oneWay, size, sc, p, seeds)
				}
			}
		}
	}
}

func report(oneWay time.Duration, size Share, sc scenario, p simPolicy, seeds []uint64) {
	var sent, wrongful, missing, admitted, central, overshoot, messages, bytes, settled int
	var p50, p99 time.Duration
	for _, seed := range seeds {
		s := runScenario(seed, sc, size, oneWay, p)
		sent += s.sent
		wrongful += s.wrongful
		missing += max(0, s.centralAdmitted-s.admitted)
		admitted += s.admitted
		central += s.centralAdmitted
		overshoot += s.overshoot
		messages += s.messages
		bytes += s.bytes
		settled = max(settled, s.settledAfter())
		p50, p99 = max(p50, s.quantile(0.5)), max(p99, s.quantile(0.99))
	}
	perDaemon := 40 * float64(len(seeds)) * float64(len(simRegions))
	fmt.Printf("%v R=%g B=%g %-16s %-17s wrongful %5.2f%% missing %5.2f%% admitted/central %.3f overshoot %d wait p50 %v p99 %v msg/s %.1f B/s %.0f settled %ds\n",
		oneWay, size.Rate, size.Burst, sc.name, policyNames[p], 100*float64(wrongful)/float64(sent), 100*float64(missing)/float64(sent),
		float64(admitted)/float64(central), overshoot, p50.Round(time.Millisecond), p99.Round(time.Millisecond),
		float64(messages)/perDaemon, float64(bytes)/perDaemon, settled)
}
