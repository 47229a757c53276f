package place_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/place"
	"balsambarrow/internal/traffic"
)

// queueingUpstream works on requests in the order in which they come.
type queueingUpstream struct {
	// free is when each slot is free again.
	slotFreeAt []time.Time
}

// take returns when a request that comes now is answered.
func (u *queueingUpstream) serve(now time.Time, work time.Duration) time.Time {
	first := 0
	for i, at := range u.slotFreeAt {
		if at.Before(u.slotFreeAt[first]) {
			first = i
		}
	}
	if u.slotFreeAt[first].Before(now) {
		u.slotFreeAt[first] = now
	}
	u.slotFreeAt[first] = u.slotFreeAt[first].Add(work)
	return u.slotFreeAt[first]
}

// busy is how many requests run or wait, if each takes work.
func (u *queueingUpstream) pending(now time.Time, work time.Duration) int {
	n := 0
	for _, at := range u.slotFreeAt {
		if at.After(now) {
			n += int((at.Sub(now) + work - 1) / work)
		}
	}
	return n
}

// played is what callers got.
type callerResults struct{ sent, inTime, refused int }

// playHotCustomer sends requests for five seconds to four upstreams of four slots:
// a customer within its rate asks for half of what they can do, and one over its
// rate is admitted for as much as they can do. It returns what each got.
func simulateHotCustomer(t *testing.T, over bool) (within, hot callerResults) {
	const work, target = 100 * time.Millisecond, 300 * time.Millisecond
	g := NewWithT(t)
	table := newTable(t, "a1")
	upstreams := map[string]*queueingUpstream{}
	for i := range 4 {
		u := upstream(fmt.Sprint("u-", i), "a1")
		upstreams[u.ID] = &queueingUpstream{slotFreeAt: make([]time.Time, u.Slots)}
		table.PutUpstream(start, u)
	}
	type open struct {
		at     time.Time
		choice place.Choice
		took   time.Duration
	}
	var running []open
	now := start
	finish := func() {
		left := running[:0]
		for _, o := range running {
			if o.at.After(now) {
				left = append(left, o)
				continue
			}
			told := traffic.Load{Running: 1 + upstreams[o.choice.ID].pending(o.at, work), Slots: 4}
			table.Done(o.at, o.choice, place.Report{Result: place.Succeeded, TimeToHeader: o.took, HasLoad: true, Load: told})
		}
		running = left
	}
	const capacity = 160
	for i := range 5 * capacity * 3 / 2 {
		now = start.Add(time.Duration(i) * time.Second * 2 / (3 * capacity))
		finish()
		who, q := &hot, place.Query{Service: "s", Route: "r", Target: target, Remaining: 2 * time.Second, OverRate: over}
		if i%3 == 0 {
			who, q.OverRate = &within, false
		}
		who.sent++
		c, err := table.Choose(now, q)
		if err != nil {
			who.refused++
			continue
		}
		at := upstreams[c.ID].serve(now, work)
		if at.Sub(now) <= target {
			who.inTime++
		}
		running = append(running, open{at, c, at.Sub(now)})
	}
	g.Expect(within.sent + hot.sent).To(Equal(1200))
	return within, hot
}

// A customer asks for several times its rate, and what it is admitted fills the
// upstreams. Without a bound of its own its requests stand in every queue, and the
// callers of all other customers get their answers late.
func TestCustomerOverRateDoesNotDelayOthers(t *testing.T) {
	g := NewWithT(t)
	before, hotBefore := simulateHotCustomer(t, false)
	now, hotNow := simulateHotCustomer(t, true)
	t.Logf("in time of the customer within its rate: %d of %d, before %d", now.inTime, now.sent, before.inTime)
	t.Logf("in time of the other: %d of %d (%d refused), before %d (%d refused)",
		hotNow.inTime, hotNow.sent, hotNow.refused, hotBefore.inTime, hotBefore.refused)
	g.Expect(now.inTime).To(BeNumerically(">=", now.sent*95/100))
	g.Expect(now.inTime).To(BeNumerically(">", before.inTime))
	g.Expect(now.inTime + hotNow.inTime).To(BeNumerically(">=", before.inTime+hotBefore.inTime))
}
