package upstream

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
)

// Guards against a failing upstream that stays in use while the ejection limit is reached.
func TestFailingUpstreamIsAvoidedBesideAnEjectedOne(t *testing.T) {
	const requests, seeds = 400, 40
	most := 0
	for seed := range uint64(seeds) {
		for stallAt := 1; stallAt < 40; stallAt += 3 {
			received := requestsToFailingUpstream(t, seed, stallAt, requests)
			if received >= requests/20 {
				t.Errorf("seed %d, stall at request %d: the failing upstream received %d of %d requests", seed, stallAt, received, requests)
			}
			most = max(most, received)
		}
	}
	t.Logf("seeds 0 to %d: the failing upstream received up to %d of %d requests", seeds-1, most, requests)
}

// requestsToFailingUpstream sends requests one after another to three upstreams, of which one
// fails and one stalls once, and returns how many of them the failing one received.
func requestsToFailingUpstream(t *testing.T, seed uint64, stallAt, requests int) int {
	g := NewWithT(t)
	const serviceTime = 5 * time.Millisecond
	p := newPool(config.Service{ExpectedMs: 5}, rand.New(rand.NewPCG(seed, 1)))
	for _, name := range []string{"failing", "stalling", "healthy"} {
		p.upstreams = append(p.upstreams, newUpstreamState(name, config.Upstream{Slots: 4, Address: name}))
	}
	now := time.Unix(1000, 0)
	received := map[string]int{}
	send := func(avoid string) *Ticket {
		ticket := newTicket(nil, p, Request{Customer: "a", Deadline: now.Add(time.Minute), Safe: true, Avoid: avoid}, 1)
		g.Expect(p.enqueue(ticket, now)).To(BeNil())
		p.dispatch(now, func(*Ticket) {}, func(*Ticket) {})
		g.Expect(ticket.upstream).NotTo(BeNil())
		received[ticket.Upstream]++
		result := Result{Took: serviceTime}
		switch {
		case ticket.Upstream == "failing":
			result = Result{Failed: true, Took: time.Millisecond}
		case ticket.Upstream == "stalling" && received["stalling"] == stallAt:
			result.Took = 200 * serviceTime
		}
		now = now.Add(result.Took)
		p.finish(ticket, result, now)
		return ticket
	}
	for range requests {
		if first := send(""); first.Upstream == "failing" {
			send(first.Upstream)
		}
	}
	return received["failing"]
}
