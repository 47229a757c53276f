package fanout_test

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fanout"
)

// delivery is the arrival of a datagram.
type delivery struct {
	arrivesAt time.Time
	from, to  int
	// request is set for a request for the change. Otherwise the datagram is a response
	// with the change or with patch sources.
	request bool
	change  bool
	sources []string
}

type queue []delivery

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].arrivesAt.Before(q[j].arrivesAt) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(delivery)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation distributes one change among hosts. Host 0 has the change, and all others
// request it at once. Each link sends and receives in first-in, first-out order.
type simulation struct {
	hosts         int
	bytes         int
	mbps          func(host int) float64
	networkDelay  time.Duration
	retryInterval time.Duration
	lossRate      float64
	referrals     bool
}

// run returns the time until the last host has the change, and the number of bytes that
// host 0 has sent.
func (s simulation) run(rng *rand.Rand) (last time.Duration, sent int) {
	start := time.Unix(0, 0)
	var q queue
	receivedAt := make([]time.Time, s.hosts)
	sendFreeAt, receiveFreeAt := make([]time.Time, s.hosts), make([]time.Time, s.hosts)
	limiters, patchSources := make([]fanout.Limiter, s.hosts), make([]fanout.Sources, s.hosts)
	transferTime := func(host, bytes int) time.Duration {
		return time.Duration(float64(bytes) * 8 / s.mbps(host) * float64(time.Microsecond))
	}
	laterOf := func(a, b time.Time) time.Time {
		if a.After(b) {
			return a
		}
		return b
	}
	send := func(now time.Time, d delivery, bytes int) {
		sendFreeAt[d.from] = laterOf(sendFreeAt[d.from], now).Add(transferTime(d.from, bytes))
		d.arrivesAt = laterOf(sendFreeAt[d.from].Add(s.networkDelay), receiveFreeAt[d.to]).Add(transferTime(d.to, bytes))
		receiveFreeAt[d.to] = d.arrivesAt
		if rng.Float64() >= s.lossRate {
			heap.Push(&q, d)
		}
	}
	receivedAt[0] = start
	for host := 1; host < s.hosts; host++ {
		for n := range 40 {
			at := start.Add(time.Duration(rng.Int64N(int64(5*time.Millisecond))) + time.Duration(n)*s.retryInterval)
			heap.Push(&q, delivery{arrivesAt: at, from: host, to: 0, request: true})
		}
	}
	for q.Len() > 0 {
		d := heap.Pop(&q).(delivery)
		switch {
		case d.request && !receivedAt[d.from].IsZero():
		case d.request && receivedAt[d.to].IsZero():
		case d.request && s.referrals:
			ok := limiters[d.to].Take(d.arrivesAt, s.bytes, s.mbps(d.to))
			size := 100
			var sources []string
			if ok {
				size = s.bytes
				patchSources[d.to].Add(d.arrivesAt, 1, strconv.Itoa(d.from))
			} else {
				sources = patchSources[d.to].For(d.arrivesAt, 1, strconv.Itoa(d.from))
			}
			if d.to == 0 {
				sent += size
			}
			send(d.arrivesAt, delivery{from: d.to, to: d.from, change: ok, sources: sources}, size)
		case d.request:
			sent += s.bytes
			send(d.arrivesAt, delivery{from: d.to, to: d.from, change: true}, s.bytes)
		case d.change && receivedAt[d.to].IsZero():
			receivedAt[d.to] = d.arrivesAt
			last = max(last, d.arrivesAt.Sub(start))
		case d.change:
		default:
			for _, h := range d.sources {
				source, _ := strconv.Atoi(h)
				send(d.arrivesAt, delivery{from: d.to, to: source, request: true}, 60)
			}
		}
	}
	for host := range receivedAt {
		if receivedAt[host].IsZero() {
			last = time.Hour
		}
	}
	return last, sent
}

// mixedLinks returns the link rate of a host in Mbit/s: a fifth of the hosts have fast links,
// the others slow ones.
func mixedLinks(host int) float64 {
	if host%5 == 0 {
		return 200
	}
	return 10
}

func slowLinks(int) float64 { return 10 }

// Guards against a configuration change that takes longer to apply the more hosts there
// are: valid requests on routes that had just been added were rejected with status 404
// seconds after the change had been acknowledged to the operators. The fleets of 300 and
// 2,300 hosts have three regions.
func TestChangeReachesFleetOfAnySizeInTime(t *testing.T) {
	const (
		bound = 1500 * time.Millisecond
		// fullValueBytes is the size in bytes of a configuration of two thousand routes.
		fullValueBytes = 200_000
	)
	for _, c := range []struct {
		name     string
		bytes    int
		mbps     func(int) float64
		lossRate float64
	}{
		{"many routes, fast and slow links", 40_000, mixedLinks, 0},
		{"many routes, slow links only", 40_000, slowLinks, 0},
		{"one route, slow links only", 400, slowLinks, 0},
		{"many routes, links with packet loss", 40_000, mixedLinks, 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			for _, fleet := range []int{300, 2300} {
				s := simulation{
					hosts: fleet / 3, bytes: c.bytes, mbps: c.mbps, networkDelay: 1500 * time.Microsecond,
					retryInterval: 150 * time.Millisecond, lossRate: c.lossRate, referrals: true,
				}
				last, sent := s.run(rand.New(rand.NewPCG(1, uint64(fleet))))
				s.referrals, s.bytes = false, fullValueBytes
				lastWithout, sentWithout := s.run(rand.New(rand.NewPCG(1, uint64(fleet))))
				t.Logf("%d hosts: %v, %d bytes sent by the first host; without referrals %v, %d bytes", fleet, last, sent, lastWithout, sentWithout)
				g.Expect(last).To(BeNumerically("<", bound))
				if fleet > 2000 {
					g.Expect(lastWithout).To(BeNumerically(">", bound), "full values sent by one host exceed the bound under this load")
				}
			}
		})
	}
}

// Guards against a host that is referred to itself, or to a host that has another state.
func TestReferralsListOnlySourcesOfTheState(t *testing.T) {
	g := NewWithT(t)
	var l fanout.Limiter
	var sources fanout.Sources
	now := time.Unix(1000, 0)
	g.Expect(l.Take(now, 1<<20, 10)).To(BeTrue(), "the first patch may be sent, whatever its size")
	sources.Add(now, 7, "a")
	later := now.Add(100 * time.Millisecond)
	g.Expect(l.Take(later, 1000, 10)).To(BeFalse())
	g.Expect(sources.For(later, 7, "b")).To(Equal([]string{"a"}))
	g.Expect(sources.For(later, 7, "a")).To(BeEmpty())
	g.Expect(sources.For(later, 8, "b")).To(BeEmpty())
	g.Expect(l.Take(now.Add(10*time.Second), 1000, 10)).To(BeTrue())
}
