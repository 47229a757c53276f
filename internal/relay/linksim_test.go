package relay_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/quota"
)

// transfer is one answer on its way over the link.
type transfer struct {
	bits    float64
	began   time.Duration
	lookup  bool
	handler int
}

// linkSim sends reports and lookups' answers over one link, in steps of 1 ms.
type linkSim struct {
	bitsPerSecond float64
	reportBits    float64
	// piece is what is taken from the quota at once; scaled with the link, so
	// that a fast one costs the simulation no more than a slow one.
	piece   float64
	rng     *rand.Rand
	waiting []*transfer
	// queue is what the paced answers have put on the link and it has not
	// carried yet, in bits.
	queue    float64
	lookups  []time.Duration
	finished int
}

const (
	linkStep   = time.Millisecond
	lookupBits = 8 * 700

	// reportLoad is the reports' demand over the link's capacity.
	reportLoad = 1.2
	// lookupsPerSecond cross the link beside them.
	lookupsPerSecond = 200
)

// run returns the p99 of the lookups and the most bits that were put on the
// link in any second. buckets is nil for the baseline: everything is put on
// the link at once and waits there in order.
func (s *linkSim) run(length time.Duration, buckets []*quota.Bucket) (p99 time.Duration, most float64) {
	start := time.Unix(0, 0)
	second := 0.0
	for now := time.Duration(0); now < length; now += linkStep {
		if now%time.Second == 0 {
			most, second = max(most, second), 0
		}
		s.arrive(now, len(buckets))
		if buckets == nil {
			s.first(now)
			continue
		}
		put := s.paced(now, start.Add(now), buckets)
		second += put
		s.queue = max(0, s.queue+put-s.bitsPerSecond*linkStep.Seconds())
	}
	slices.Sort(s.lookups)
	return s.lookups[len(s.lookups)*99/100], most
}

func (s *linkSim) arrive(now time.Duration, handlers int) {
	reports := reportLoad * s.bitsPerSecond / s.reportBits
	for _, kind := range []struct {
		perSecond, bits float64
		lookup          bool
	}{{reports, s.reportBits, false}, {lookupsPerSecond, lookupBits, true}} {
		if s.rng.Float64() < kind.perSecond*linkStep.Seconds() {
			s.waiting = append(s.waiting, &transfer{
				bits: kind.bits, began: now, lookup: kind.lookup, handler: s.rng.IntN(max(handlers, 1)),
			})
		}
	}
}

// first carries in the order of arrival.
func (s *linkSim) first(now time.Duration) {
	room := s.bitsPerSecond * linkStep.Seconds()
	for len(s.waiting) > 0 && room > 0 {
		t := s.waiting[0]
		part := min(room, t.bits)
		t.bits -= part
		room -= part
		if t.bits <= 0 {
			s.end(t, now)
			s.waiting = s.waiting[1:]
		}
	}
}

// paced lets answers take pieces from their handler's share of the link's
// quota, in no order, as goroutines that wake from a wait do.
func (s *linkSim) paced(now time.Duration, at time.Time, buckets []*quota.Bucket) float64 {
	put := 0.0
	s.rng.Shuffle(len(s.waiting), func(i, j int) { s.waiting[i], s.waiting[j] = s.waiting[j], s.waiting[i] })
	for again := true; again; {
		again = false
		for _, t := range s.waiting {
			part := min(t.bits, s.piece)
			if part <= 0 {
				continue
			}
			if ok, _ := buckets[t.handler].Take(part, at); ok {
				t.bits -= part
				put += part
				again = true
			}
		}
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(t *transfer) bool {
		if t.bits <= 0 {
			s.end(t, now)
		}
		return t.bits <= 0
	})
	return put
}

// end notes a lookup's time, with what still waits on the link before it.
func (s *linkSim) end(t *transfer, now time.Duration) {
	s.finished++
	if t.lookup {
		behind := time.Duration(s.queue / s.bitsPerSecond * float64(time.Second))
		s.lookups = append(s.lookups, now-t.began+behind)
	}
}

// Load pattern: reports ask for 1.2 times what the link between two regions
// carries, the night before a county meeting, and lookups cross it too. What a
// farmer sees without pacing: lookups that take longer and longer, since each
// waits behind all the reports' bytes on the link.
func TestLookupsCrossALinkFullOfReports(t *testing.T) {
	for name, bits := range map[string]float64{"cooperative": 280e6, "association": 4000e6} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			result := map[string]time.Duration{}
			for _, policy := range []string{"first come", "paced"} {
				sim := &linkSim{bitsPerSecond: bits, reportBits: 0.06 * bits, piece: bits / 280e6 * 8 * 1024, rng: rand.New(rand.NewPCG(20261202, 2))}
				var buckets []*quota.Bucket
				if policy == "paced" {
					c := &config.Config{
						Regions: map[string]config.Region{"a": {}, "b": {}},
						Links:   map[string]config.Link{"ab": {From: "a", To: "b", BitsPerSecond: bits}},
					}
					q := c.Quotas()[0]
					for range 2 {
						buckets = append(buckets, quota.NewBucket(q.Rate/2, q.Burst/2, 0, time.Unix(0, 0)))
					}
				}
				p99, most := sim.run(8*time.Second, buckets)
				result[policy] = p99
				t.Logf("%-12s %-10s lookup p99 %v, most put on the link in a second %.0f of %.0f Mbit, %d answers",
					name, policy, p99, most/1e6, bits/1e6, sim.finished)
				g.Expect(most).To(BeNumerically("<=", bits))
			}
			g.Expect(result["paced"]).To(BeNumerically("<", result["first come"]/20))
		})
	}
}
