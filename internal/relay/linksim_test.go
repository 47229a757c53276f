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

// linkTransfer is one response that is being sent over the link.
type linkTransfer struct {
	bits      float64
	startedAt time.Duration
	lookup    bool
	handler   int
}

// linkSim simulates reports and responses to lookups on one link, in steps of 1 ms.
type linkSim struct {
	bitsPerSecond float64
	reportBits    float64
	// chunkBits is the number of bits taken from the quota at once. It scales
	// with the capacity of the link, so that a simulation of a fast link takes
	// no longer than one of a slow link.
	chunkBits float64
	rng       *rand.Rand
	pending   []*linkTransfer
	// queuedBits is the number of bits of paced responses that were sent but
	// not yet transmitted by the link.
	queuedBits  float64
	lookupTimes []time.Duration
	finished    int
}

const (
	simulationStep = time.Millisecond
	lookupBits     = 8 * 700

	// reportLoadRatio is the demand of the reports divided by the link capacity.
	reportLoadRatio = 1.2
	// lookupsPerSecond is the rate of lookups on the same link.
	lookupsPerSecond = 200
)

// run returns the 99th percentile of the lookup times and the maximum number of
// bits sent in any second. For the baseline, buckets is nil: all responses are sent
// at once and queue in order of arrival.
func (s *linkSim) run(length time.Duration, buckets []*quota.Bucket) (p99 time.Duration, maxBitsPerSecond float64) {
	start := time.Unix(0, 0)
	bitsThisSecond := 0.0
	for now := time.Duration(0); now < length; now += simulationStep {
		if now%time.Second == 0 {
			maxBitsPerSecond, bitsThisSecond = max(maxBitsPerSecond, bitsThisSecond), 0
		}
		s.addArrivals(now, len(buckets))
		if buckets == nil {
			s.sendInOrder(now)
			continue
		}
		sentBits := s.sendPaced(now, start.Add(now), buckets)
		bitsThisSecond += sentBits
		s.queuedBits = max(0, s.queuedBits+sentBits-s.bitsPerSecond*simulationStep.Seconds())
	}
	slices.Sort(s.lookupTimes)
	return s.lookupTimes[len(s.lookupTimes)*99/100], maxBitsPerSecond
}

func (s *linkSim) addArrivals(now time.Duration, handlers int) {
	reports := reportLoadRatio * s.bitsPerSecond / s.reportBits
	for _, kind := range []struct {
		perSecond, bits float64
		lookup          bool
	}{{reports, s.reportBits, false}, {lookupsPerSecond, lookupBits, true}} {
		if s.rng.Float64() < kind.perSecond*simulationStep.Seconds() {
			s.pending = append(s.pending, &linkTransfer{
				bits: kind.bits, startedAt: now, lookup: kind.lookup, handler: s.rng.IntN(max(handlers, 1)),
			})
		}
	}
}

// sendInOrder transmits pending responses in order of arrival.
func (s *linkSim) sendInOrder(now time.Duration) {
	capacity := s.bitsPerSecond * simulationStep.Seconds()
	for len(s.pending) > 0 && capacity > 0 {
		t := s.pending[0]
		bits := min(capacity, t.bits)
		t.bits -= bits
		capacity -= bits
		if t.bits <= 0 {
			s.finish(t, now)
			s.pending = s.pending[1:]
		}
	}
}

// sendPaced lets pending responses take tokens for chunks from their handler's
// share of the link quota. The order is random, like that of goroutines that wake
// up.
func (s *linkSim) sendPaced(now time.Duration, at time.Time, buckets []*quota.Bucket) float64 {
	sentBits := 0.0
	s.rng.Shuffle(len(s.pending), func(i, j int) { s.pending[i], s.pending[j] = s.pending[j], s.pending[i] })
	for progress := true; progress; {
		progress = false
		for _, t := range s.pending {
			bits := min(t.bits, s.chunkBits)
			if bits <= 0 {
				continue
			}
			if ok, _ := buckets[t.handler].Take(bits, at); ok {
				t.bits -= bits
				sentBits += bits
				progress = true
			}
		}
	}
	s.pending = slices.DeleteFunc(s.pending, func(t *linkTransfer) bool {
		if t.bits <= 0 {
			s.finish(t, now)
		}
		return t.bits <= 0
	})
	return sentBits
}

// finish records the time of a lookup, including the queueing delay on the link.
func (s *linkSim) finish(t *linkTransfer, now time.Duration) {
	s.finished++
	if t.lookup {
		queueingDelay := time.Duration(s.queuedBits / s.bitsPerSecond * float64(time.Second))
		s.lookupTimes = append(s.lookupTimes, now-t.startedAt+queueingDelay)
	}
}

// Reports between two regions need 1.2 times the capacity of the link, and lookups
// use the same link. Without pacing, lookups take longer and longer, because each
// lookup is queued behind all bytes of the reports.
func TestPacingLimitsLookupLatency(t *testing.T) {
	for name, bits := range map[string]float64{"cooperative": 280e6, "association": 4000e6} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			result := map[string]time.Duration{}
			for _, policy := range []string{"unpaced", "paced"} {
				sim := &linkSim{bitsPerSecond: bits, reportBits: 0.06 * bits, chunkBits: bits / 280e6 * 8 * 1024, rng: rand.New(rand.NewPCG(20261202, 2))}
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
				p99, maxBitsPerSecond := sim.run(8*time.Second, buckets)
				result[policy] = p99
				t.Logf("%-12s %-10s lookup p99 %v, at most %.0f of %.0f Mbit sent in a second, %d responses",
					name, policy, p99, maxBitsPerSecond/1e6, bits/1e6, sim.finished)
				g.Expect(maxBitsPerSecond).To(BeNumerically("<=", bits))
			}
			g.Expect(result["paced"]).To(BeNumerically("<", result["unpaced"]/20))
		})
	}
}
