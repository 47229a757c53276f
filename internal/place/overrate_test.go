package place_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/place"
	"balsambarrow/internal/traffic"
)

// queueingUpstream serves requests in order of arrival.
type queueingUpstream struct {
	// slotFreeAt is when each slot becomes free.
	slotFreeAt []time.Time
}

// serve returns when a request that arrives now completes.
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

// pending returns the number of running or queued requests if each takes work.
func (u *queueingUpstream) pending(now time.Time, work time.Duration) int {
	n := 0
	for _, at := range u.slotFreeAt {
		if at.After(now) {
			n += int((at.Sub(now) + work - 1) / work)
		}
	}
	return n
}

// callerResults counts the outcomes of one customer's requests.
type callerResults struct{ sent, onTime, rejected int }

// simulateHotCustomer sends requests for five seconds to four upstreams of four slots.
// One customer within its rate requests half of the total capacity; a hot one, over its
// rate, is admitted for all of it. If markOverRate is set, the table learns that the hot
// customer is over its rate. The outcomes of both customers are returned.
func simulateHotCustomer(t *testing.T, markOverRate bool) (within, hot callerResults) {
	const work, target = 100 * time.Millisecond, 300 * time.Millisecond
	g := NewWithT(t)
	table := newTable(t, "a1")
	upstreams := map[string]*queueingUpstream{}
	for i := range 4 {
		u := upstream(fmt.Sprint("u-", i), "a1")
		upstreams[u.ID] = &queueingUpstream{slotFreeAt: make([]time.Time, u.Slots)}
		table.PutUpstream(start, u)
	}
	type pendingRequest struct {
		completesAt time.Time
		choice      place.Choice
		latency     time.Duration
	}
	var running []pendingRequest
	now := start
	finish := func() {
		remaining := running[:0]
		for _, o := range running {
			if o.completesAt.After(now) {
				remaining = append(remaining, o)
				continue
			}
			load := traffic.Load{Running: 1 + upstreams[o.choice.ID].pending(o.completesAt, work), Slots: 4}
			table.Done(o.completesAt, o.choice, place.Report{Result: place.Succeeded, TimeToHeader: o.latency, HasLoad: true, Load: load})
		}
		running = remaining
	}
	const capacity = 160
	for i := range 5 * capacity * 3 / 2 {
		now = start.Add(time.Duration(i) * time.Second * 2 / (3 * capacity))
		finish()
		result, q := &hot, place.Query{Service: "s", Route: "r", Target: target, Remaining: 2 * time.Second, OverRate: markOverRate}
		if i%3 == 0 {
			result, q.OverRate = &within, false
		}
		result.sent++
		c, err := table.Choose(now, q)
		if err != nil {
			result.rejected++
			continue
		}
		at := upstreams[c.ID].serve(now, work)
		if at.Sub(now) <= target {
			result.onTime++
		}
		running = append(running, pendingRequest{at, c, at.Sub(now)})
	}
	g.Expect(within.sent + hot.sent).To(Equal(1200))
	return within, hot
}

// Guards against a customer that exceeds its rate and delays all others: the requests
// admitted for it are enough to fill the upstreams. Without a separate limit, they
// would occupy every queue, and the responses to other customers would be late.
func TestCustomerOverRateDoesNotDelayOthers(t *testing.T) {
	g := NewWithT(t)
	unlimited, hotUnlimited := simulateHotCustomer(t, false)
	limited, hotLimited := simulateHotCustomer(t, true)
	t.Logf("customer within its rate: %d of %d on time, %d without the limit", limited.onTime, limited.sent, unlimited.onTime)
	t.Logf("customer over its rate: %d of %d on time (%d rejected), without the limit %d (%d rejected)",
		hotLimited.onTime, hotLimited.sent, hotLimited.rejected, hotUnlimited.onTime, hotUnlimited.rejected)
	g.Expect(limited.onTime).To(BeNumerically(">=", limited.sent*95/100))
	g.Expect(limited.onTime).To(BeNumerically(">", unlimited.onTime))
	g.Expect(limited.onTime + hotLimited.onTime).To(BeNumerically(">=", unlimited.onTime+hotUnlimited.onTime))
}
