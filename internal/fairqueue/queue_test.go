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

func none(*Item) {}

// A large customer's requests stand in the queue when a small one's arrive.
// Each must get half of the slots' time, although the large one's requests
// take three times as long and came first.
func TestCustomersShareByServiceTime(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.SetRoom(4)
	for range 100 {
		g.Expect(q.Push(item("large", 30*time.Millisecond), start)).To(BeNil())
	}
	for range 300 {
		g.Expect(q.Push(item("small", 10*time.Millisecond), start)).To(BeNil())
	}
	served := map[string]time.Duration{}
	for range 200 {
		it := q.Pop(start, none)
		served[it.Customer] += it.Cost
		q.Done(it, it.Cost, start)
	}
	g.Expect(float64(served["large"])).To(BeNumerically("~", float64(served["small"]), float64(60*time.Millisecond)))
}

// The estimate of a customer's work is a tenth of what it takes. The charge is
// settled when the work is done, so the customer must not get ten times its
// share by it.
func TestChargeIsSettledByWhatWorkTook(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.SetRoom(1)
	for range 200 {
		g.Expect(q.Push(item("cheat", time.Millisecond), start)).To(BeNil())
		g.Expect(q.Push(item("honest", 10*time.Millisecond), start)).To(BeNil())
	}
	served := map[string]int{}
	for range 100 {
		it := q.Pop(start, none)
		served[it.Customer]++
		q.Done(it, 10*time.Millisecond, start)
	}
	g.Expect(served["cheat"]).To(BeNumerically("~", 50, 2))
}

// A request whose budget is shorter than its work would hold a slot for an
// answer that nobody waits for. It is refused at once, on arrival or, if it
// has waited too long, when its turn comes.
func TestWhatCannotFinishInTimeIsRefused(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.SetRoom(1)
	g.Expect(q.Push(item("b", 50*time.Millisecond), start)).To(BeNil())
	running := q.Pop(start, none)
	short := item("a", 50*time.Millisecond)
	short.Deadline = start.Add(40 * time.Millisecond)
	g.Expect(q.Push(short, start)).To(HaveField("Reason", ReasonDeadline))

	short.Deadline = start.Add(60 * time.Millisecond)
	g.Expect(q.Push(short, start)).To(BeNil())
	other := item("b", 50*time.Millisecond)
	g.Expect(q.Push(other, start)).To(BeNil())
	q.Done(running, 30*time.Millisecond, start)
	var late []*Item
	g.Expect(q.Pop(start.Add(30*time.Millisecond), func(it *Item) { late = append(late, it) })).To(Equal(other))
	g.Expect(late).To(ConsistOf(short))
	g.Expect(q.Len()).To(BeZero())
}

// For a minute an upstream took a second instead of 10 ms. The estimate is
// above every budget now. With a slot free, requests must run all the same, or
// none would ever show that the upstream is quick again.
func TestEstimateAboveTheBudgetDoesNotLockOut(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.SetRoom(1)
	it := item("a", time.Second)
	it.Deadline = start.Add(300 * time.Millisecond)
	g.Expect(q.Push(it, start)).To(BeNil())
	g.Expect(q.Pop(start, none)).To(Equal(it))
}

// Ten seconds of work wait before a request with a budget of two. The answer
// must be immediate, and the time told must be at least what has to drain.
func TestRefusalTellsWhenThereIsRoom(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.SetRoom(1)
	for range 100 {
		g.Expect(q.Push(item("a", 100*time.Millisecond), start)).To(BeNil())
	}
	late := item("a", 100*time.Millisecond)
	late.Deadline = start.Add(2 * time.Second)
	first := q.Push(late, start)
	g.Expect(first).To(HaveField("Reason", ReasonNoRoom))
	g.Expect(first.RetryAfter).To(BeNumerically(">", 8*time.Second))
	g.Expect(q.Push(late, start).RetryAfter).To(BeNumerically(">", first.RetryAfter), "the next one is told a later time")
	other := item("b", 100*time.Millisecond)
	other.Deadline = late.Deadline
	g.Expect(q.Push(other, start)).To(BeNil(), "another customer has room")
}

// A customer without deadline pressure sends without end. It may hold half of
// the places, so that another one's request still finds some.
func TestOneCustomerCannotFillTheQueue(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.SetRoom(4)
	for range 2 * MaxWaiting {
		_ = q.Push(item("flood", time.Microsecond), start)
	}
	g.Expect(q.Len()).To(Equal(MaxWaiting / 2))
	g.Expect(q.Push(item("other", time.Microsecond), start)).To(BeNil())
}

// Long requests arrive first and could hold all slots for seconds. While
// short ones come they may hold half; a flood of short ones leaves them a
// quarter.
func TestLongWorkHoldsAPartOfTheSlots(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.SetRoom(8)
	push := func(class Class, cost time.Duration, n int) {
		for range n {
			it := item("a", cost)
			it.Class = class
			g.Expect(q.Push(it, start)).To(BeNil())
		}
	}
	push(Short, time.Millisecond, 1)
	g.Expect(q.Pop(start, none).Class).To(Equal(Short))
	push(Long, time.Second, 20)
	for range 4 {
		g.Expect(q.Pop(start, none).Class).To(Equal(Long))
	}
	g.Expect(q.Pop(start, none)).To(BeNil())
	calm := start.Add(shortMemory + time.Second)
	g.Expect(q.Pop(calm, none).Class).To(Equal(Long), "no short work comes any more")
}

// Kinds of work that are not yet known must not be judged by; a kind that is
// many times longer than usual is long.
func TestCostsLearnLongKinds(t *testing.T) {
	g := NewWithT(t)
	c := NewCosts(5 * time.Millisecond)
	g.Expect(c.Known(1)).To(BeFalse())
	for range 100 {
		c.Learn(0, 5*time.Millisecond)
		c.Learn(1, 2*time.Second)
		for range 8 {
			c.Learn(0, 6*time.Millisecond)
		}
	}
	g.Expect(c.Known(1)).To(BeTrue())
	cost, class := c.Estimate(1)
	g.Expect(class).To(Equal(Long))
	g.Expect(cost).To(BeNumerically("~", 2*time.Second, 50*time.Millisecond))
	_, class = c.Estimate(0)
	g.Expect(class).To(Equal(Short))
}

// Whatever comes and goes in whatever order, the counts of the queue hold, and
// each request is served, late, removed or still waiting, once.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := New()
		now := start
		waiting := map[*Item]bool{}
		var running []*Item
		drop := func(it *Item) { delete(waiting, it) }
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
				if it := q.Pop(now, drop); it != nil {
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
						rt.Fatal("a waiting request is removed once")
					}
					delete(waiting, it)
					return
				}
			},
			"time": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(rt, "passed")) * time.Millisecond)
				q.SetRoom(rapid.IntRange(0, 6).Draw(rt, "room"))
			},
			"": func(rt *rapid.T) { checkCounts(rt, q, len(waiting), len(running)) },
		})
	})
}

func checkCounts(rt *rapid.T, q *Queue, waiting, running int) {
	if q.Len() != waiting {
		rt.Fatalf("%d wait, the queue says %d", waiting, q.Len())
	}
	count, runs := 0, 0
	for class, p := range q.parts {
		runs += q.running[class]
		for _, c := range p.customers {
			count += c.count
			if (c.count > 0) != (c.index >= 0) || c.backlog < 0 {
				rt.Fatalf("customer %s: %d wait, index %d, backlog %v", c.name, c.count, c.index, c.backlog)
			}
		}
	}
	if count != waiting || runs != running {
		rt.Fatalf("%d wait, %d counted; %d run, %d counted", waiting, count, running, runs)
	}
}

// BenchmarkRound is one push and one pop among 8 customers with 32 waiting
// each.
func BenchmarkRound(b *testing.B) {
	q := New()
	q.SetRoom(12)
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
		it := q.Pop(start, none)
		q.Done(it, it.Cost, start)
		if q.Push(it, start) != nil {
			b.Fatal("refused")
		}
	}
}
