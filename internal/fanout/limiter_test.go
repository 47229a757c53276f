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

// delivery is a datagram that arrives.
type delivery struct {
	at       time.Time
	from, to int
	// question asks for the change; otherwise the datagram is an answer, with the
	// change or with the holders it names.
	question bool
	change   bool
	holders  []string
}

type queue []delivery

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(delivery)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// region plays one change among hosts of which host 0 has it and all others ask for it
// at once. Every link sends and receives first come, first served.
type region struct {
	hosts  int
	bytes  int
	mbps   func(host int) float64
	way    time.Duration
	asks   time.Duration
	loses  float64
	refers bool
}

// play returns the time until the last host has the change, and the bytes that host 0
// has sent.
func (r region) play(rng *rand.Rand) (last time.Duration, sent int) {
	start := time.Unix(0, 0)
	var q queue
	has := make([]time.Time, r.hosts)
	out, in := make([]time.Time, r.hosts), make([]time.Time, r.hosts)
	limiters := make([]fanout.Limiter, r.hosts)
	takes := func(host, bytes int) time.Duration {
		return time.Duration(float64(bytes) * 8 / r.mbps(host) * float64(time.Microsecond))
	}
	later := func(a, b time.Time) time.Time {
		if a.After(b) {
			return a
		}
		return b
	}
	send := func(now time.Time, d delivery, bytes int) {
		out[d.from] = later(out[d.from], now).Add(takes(d.from, bytes))
		d.at = later(out[d.from].Add(r.way), in[d.to]).Add(takes(d.to, bytes))
		in[d.to] = d.at
		if rng.Float64() >= r.loses {
			heap.Push(&q, d)
		}
	}
	has[0] = start
	for host := 1; host < r.hosts; host++ {
		for n := range 40 {
			at := start.Add(time.Duration(rng.Int64N(int64(5*time.Millisecond))) + time.Duration(n)*r.asks)
			heap.Push(&q, delivery{at: at, from: host, to: 0, question: true})
		}
	}
	for q.Len() > 0 {
		d := heap.Pop(&q).(delivery)
		switch {
		case d.question && !has[d.from].IsZero():
		case d.question && has[d.to].IsZero():
		case d.question && r.refers:
			ok, holders := limiters[d.to].Allow(d.at, 1, strconv.Itoa(d.from), r.bytes, r.mbps(d.to))
			size := 100
			if ok {
				size = r.bytes
			}
			if d.to == 0 {
				sent += size
			}
			send(d.at, delivery{from: d.to, to: d.from, change: ok, holders: holders}, size)
		case d.question:
			sent += r.bytes
			send(d.at, delivery{from: d.to, to: d.from, change: true}, r.bytes)
		case d.change && has[d.to].IsZero():
			has[d.to] = d.at
			last = max(last, d.at.Sub(start))
		case d.change:
		default:
			for _, h := range d.holders {
				holder, _ := strconv.Atoi(h)
				send(d.at, delivery{from: d.to, to: holder, question: true}, 60)
			}
		}
	}
	for host := range has {
		if has[host].IsZero() {
			last = time.Hour
		}
	}
	return last, sent
}

// Hosts of a fleet of 300 and of 2,300 in three regions: some strong, most weak.
func mixed(host int) float64 {
	if host%5 == 0 {
		return 200
	}
	return 10
}

func weak(int) float64 { return 10 }

// Guards against a change of the configuration that is in force the later, the more hosts
// there are: proper requests on routes that were just added were answered 404 seconds
// after the operators' acknowledgement.
func TestAChangeReachesAFleetOfAnySizeInTime(t *testing.T) {
	const (
		bound = 1500 * time.Millisecond
		// wholeValue is the size of a configuration of two thousand routes.
		wholeValue = 200_000
	)
	for _, c := range []struct {
		name  string
		bytes int
		mbps  func(int) float64
		loses float64
	}{
		{"many routes, strong and weak hosts", 40_000, mixed, 0},
		{"many routes, weak hosts only", 40_000, weak, 0},
		{"one route, weak hosts only", 400, weak, 0},
		{"many routes, links that lose", 40_000, mixed, 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			for _, fleet := range []int{300, 2300} {
				r := region{
					hosts: fleet / 3, bytes: c.bytes, mbps: c.mbps, way: 1500 * time.Microsecond,
					asks: 150 * time.Millisecond, loses: c.loses, refers: true,
				}
				last, sent := r.play(rand.New(rand.NewPCG(1, uint64(fleet))))
				r.refers, r.bytes = false, wholeValue
				before, sentBefore := r.play(rand.New(rand.NewPCG(1, uint64(fleet))))
				t.Logf("%d hosts: %v, %d bytes of the first host; without holders %v, %d bytes", fleet, last, sent, before, sentBefore)
				g.Expect(last).To(BeNumerically("<", bound))
				if fleet > 2000 {
					g.Expect(before).To(BeNumerically(">", bound), "whole values from one host are late under this load")
				}
			}
		})
	}
}

// Guards against a host that names to another the host itself, or one that has another
// state.
func TestOnlyHoldersOfTheStateAreNamed(t *testing.T) {
	g := NewWithT(t)
	var l fanout.Limiter
	now := time.Unix(1000, 0)
	ok, _ := l.Allow(now, 7, "a", 1<<20, 10)
	g.Expect(ok).To(BeTrue(), "one change passes, however large")
	later := now.Add(100 * time.Millisecond)
	ok, holders := l.Allow(later, 7, "b", 1000, 10)
	g.Expect(ok).To(BeFalse())
	g.Expect(holders).To(Equal([]string{"a"}))
	_, holders = l.Allow(later, 7, "a", 1000, 10)
	g.Expect(holders).To(BeEmpty())
	_, holders = l.Allow(later, 8, "b", 1000, 10)
	g.Expect(holders).To(BeEmpty())
	ok, _ = l.Allow(now.Add(10*time.Second), 8, "b", 1000, 10)
	g.Expect(ok).To(BeTrue())
}
