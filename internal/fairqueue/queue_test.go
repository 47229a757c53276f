package fairqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func item(customer string, cost time.Duration) *Item {
	return &Item{Customer: customer, Cost: cost, Deadline: start.Add(time.Hour)}
}

func ignoreExpired(*Item) {}

// Guards against sharing by request count or arrival order: a customer whose
// requests take three times as long and arrive first must still receive half
// of the service time.
func TestCustomersShareByServiceTime(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.SetSlots(4)
	for range 100 {
		g.Expect(q.Push(item("large", 30*time.Millisecond), start)).To(BeNil())
	}
	for range 300 {
		g.Expect(q.Push(item("small", 10*time.Millisecond), start)).To(BeNil())
	}
	served := map[string]time.Duration{}
	for range 200 {
		it := q.Pop(start, ignoreExpired)
		served[it.Customer] += it.Cost
		q.Done(it, it.Cost, start)
	}
	g.Expect(float64(served["large"])).To(BeNumerically("~", float64(served["small"]), float64(60*time.Millisecond)))
}

// Guards against charging only the estimated cost: a customer whose requests
// are estimated at a tenth of their service time must not receive ten times
// its share.
func TestChargeIsCorrectedToMeasuredTime(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.SetSlots(1)
	for range 200 {
		g.Expect(q.Push(item("cheat", time.Millisecond), start)).To(BeNil())
		g.Expect(q.Push(item("honest", 10*time.Millisecond), start)).To(BeNil())
	}
	served := map[string]int{}
	for range 100 {
		it := q.Pop(start, ignoreExpired)
		served[it.Customer]++
		q.Done(it, 10*time.Millisecond, start)
	}
	g.Expect(served["cheat"]).To(BeNumerically("~", 50, 2))
}

// Guards against slots held by requests whose response would come after the
// deadline. Such a request is refused when it arrives, or dropped when it
// would be served after too long a wait.
func TestRequestThatCannotMeetDeadlineIsRefused(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.SetSlots(1)
	g.Expect(q.Push(item("b", 50*time.Millisecond), start)).To(BeNil())
	running := q.Pop(start, ignoreExpired)
	short := item("a", 50*time.Millisecond)
	short.Deadline = start.Add(40 * time.Millisecond)
	g.Expect(q.Push(short, start)).To(HaveField("Reason", ReasonDeadline))

	short.Deadline = start.Add(60 * time.Millisecond)
	g.Expect(q.Push(short, start)).To(BeNil())
	other := item("b", 50*time.Millisecond)
	g.Expect(q.Push(other, start)).To(BeNil())
	q.Done(running, 30*time.Millisecond, start)
	var expired []*Item
	g.Expect(q.Pop(start.Add(30*time.Millisecond), func(it *Item) { expired = append(expired, it) })).To(Equal(other))
	g.Expect(expired).To(ConsistOf(short))
	g.Expect(q.Len()).To(BeZero())
}

// Guards against an estimate that can no longer be corrected: an upstream took
// a second instead of 10 ms for a while, and the estimate now exceeds every
// budget. If a slot is free, requests must run anyway, so that new samples lower
// the estimate.
func TestRequestRunsOnFreeSlotDespiteHighEstimate(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.SetSlots(1)
	it := item("a", time.Second)
	it.Deadline = start.Add(300 * time.Millisecond)
	g.Expect(q.Push(it, start)).To(BeNil())
	g.Expect(q.Pop(start, ignoreExpired)).To(Equal(it))
}

// A request with a budget of 2 s arrives behind 10 s of queued work. It must
// be refused immediately, with a retry delay of at least the time until the
// queue has a place.
func TestRefusalRetryAfter(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.SetSlots(1)
	for range 100 {
		g.Expect(q.Push(item("a", 100*time.Millisecond), start)).To(BeNil())
	}
	refused := item("a", 100*time.Millisecond)
	refused.Deadline = start.Add(2 * time.Second)
	first := q.Push(refused, start)
	g.Expect(first).To(HaveField("Reason", ReasonWaitTooLong))
	g.Expect(first.RetryAfter).To(BeNumerically(">", 8*time.Second))
	g.Expect(q.Push(refused, start).RetryAfter).To(BeNumerically(">", first.RetryAfter), "the next retry is scheduled later")
	other := item("b", 100*time.Millisecond)
	other.Deadline = refused.Deadline
	g.Expect(q.Push(other, start)).To(BeNil(), "another customer is still accepted")
}

// Guards against a customer without deadline pressure filling the queue: it
// may use half of the places, so that requests of other customers are still
// accepted.
func TestOneCustomerCannotFillTheQueue(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.SetSlots(4)
	for range 2 * MaxWaiting {
		_ = q.Push(item("flood", time.Microsecond), start)
	}
	g.Expect(q.Len()).To(Equal(MaxWaiting / 2))
	g.Expect(q.Push(item("other", time.Microsecond), start)).To(BeNil())
}

// Guards against long requests holding all slots for seconds. While short
// requests arrive, long ones may hold half of the slots, and a flood of short
// ones leaves them a quarter.
func TestLongWorkIsLimitedToAFractionOfSlots(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.SetSlots(8)
	push := func(class Class, cost time.Duration, n int) {
		for range n {
			it := item("a", cost)
			it.Class = class
			g.Expect(q.Push(it, start)).To(BeNil())
		}
	}
	push(Short, time.Millisecond, 1)
	g.Expect(q.Pop(start, ignoreExpired).Class).To(Equal(Short))
	push(Long, time.Second, 20)
	for range 4 {
		g.Expect(q.Pop(start, ignoreExpired).Class).To(Equal(Long))
	}
	g.Expect(q.Pop(start, ignoreExpired)).To(BeNil())
	idle := start.Add(shortActiveWindow + time.Second)
	g.Expect(q.Pop(idle, ignoreExpired).Class).To(Equal(Long), "no short requests have arrived recently")
}

// A kind without enough samples must not be used to judge upstreams, and a
// kind that takes many times the typical service time must be classified as
// long.
func TestCostEstimatorClassifiesLongKinds(t *testing.T) {
	g := NewWithT(t)
	c := NewCostEstimator(5 * time.Millisecond)
	g.Expect(c.HasEnoughSamples(1)).To(BeFalse())
	for range 100 {
		c.Record(0, 5*time.Millisecond)
		c.Record(1, 2*time.Second)
		for range 8 {
			c.Record(0, 6*time.Millisecond)
		}
	}
	g.Expect(c.HasEnoughSamples(1)).To(BeTrue())
	cost, class := c.Estimate(1)
	g.Expect(class).To(Equal(Long))
	g.Expect(cost).To(BeNumerically("~", 2*time.Second, 50*time.Millisecond))
	_, class = c.Estimate(0)
	g.Expect(class).To(Equal(Short))
}

// After any sequence of operations the counters of the queue must be
// consistent, and each request must be exactly one of served, expired,
// removed or still queued.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := New()
		now := start
		waiting := map[*Item]bool{}
		var running []*Item
		onExpired := func(it *Item) { delete(waiting, it) }
		rt.Repeat(map[string]func(*rapid.T){
			"push": func(rt *rapid.T) {
				it := &Item{
					Customer: fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "customer")),
					Key:      uint64(rapid.IntRange(0, 2).Draw(rt, "key")),
					Weight:   float64(rapid.IntRange(0, 3).Draw(rt, "weight")),
					Cost:     time.Duration(rapid.IntRange(1, 500).Draw(rt, "cost")) * time.Millisecond,
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "budget")) * time.Millisecond),
					Class:    Class(rapid.IntRange(0, 1).Draw(rt, "class")),
				}
				if q.Push(it, now) == nil {
					waiting[it] = true
				}
			},
			"pop": func(*rapid.T) {
				if it := q.Pop(now, onExpired); it != nil {
					delete(waiting, it)
					running = append(running, it)
				}
			},
			"done": func(rt *rapid.T) {
				if len(running) > 0 {
					q.Done(running[0], time.Duration(rapid.IntRange(0, 900).Draw(rt, "took"))*time.Millisecond, now)
					running = running[1:]
				}
			},
			"remove": func(*rapid.T) {
				for it := range waiting {
					if !q.Remove(it, now) || q.Remove(it, now) {
						rt.Fatal("a queued request must be removable exactly once")
					}
					delete(waiting, it)
					return
				}
			},
			"time": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(rt, "passed")) * time.Millisecond)
				q.SetSlots(rapid.IntRange(0, 6).Draw(rt, "slots"))
			},
			"": func(rt *rapid.T) { checkCounts(rt, q, len(waiting), len(running)) },
		})
	})
}

func checkCounts(rt *rapid.T, q *Queue, waiting, running int) {
	if q.Len() != waiting {
		rt.Fatalf("%d requests are queued, Len returns %d", waiting, q.Len())
	}
	count, runningCount := 0, 0
	for class, cq := range q.classes {
		runningCount += q.running[class]
		for _, c := range cq.customers {
			count += c.count
			if (c.count > 0) != (c.index >= 0) || c.backlogMs < 0 {
				rt.Fatalf("customer %s: %d queued, heap index %d, backlog %v ms", c.name, c.count, c.index, c.backlogMs)
			}
		}
	}
	if count != waiting || runningCount != running {
		rt.Fatalf("%d queued, %d counted; %d running, %d counted", waiting, count, running, runningCount)
	}
}

// BenchmarkRound measures one Pop, Done and Push with 8 customers that have
// 32 queued requests each.
func BenchmarkRound(b *testing.B) {
	q := New()
	q.SetSlots(12)
	rng := rand.New(rand.NewPCG(1, 1))
	items := make([]*Item, 256)
	for i := range items {
		items[i] = item(fmt.Sprint(i%8), 5*time.Millisecond)
		items[i].Key = uint64(rng.IntN(4))
		if q.Push(items[i], start) != nil {
			b.Fatal("refused")
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		it := q.Pop(start, ignoreExpired)
		q.Done(it, it.Cost, start)
		if q.Push(it, start) != nil {
			b.Fatal("refused")
		}
	}
}
