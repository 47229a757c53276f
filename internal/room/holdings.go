package room

import (
	"slices"
	"sync"
	"time"
)

// Holdings are the requests that this host has in flight at upstreams, as it states them to the
// owners. It is safe for concurrent use.
type Holdings struct {
	holder uint64

	mu        sync.Mutex
	sequence  uint64
	upstreams map[uint64]*holding
}

type holding struct {
	count int
	until time.Time
	// awaited are the sequences of the reservations that have not been settled, in order.
	awaited []uint64
}

// NewHoldings returns the holdings of the holder: none.
func NewHoldings(holder uint64) *Holdings {
	return &Holdings{holder: holder, upstreams: map[uint64]*holding{}}
}

// Holder returns the holder.
func (h *Holdings) Holder() uint64 { return h.holder }

// Ask returns the statement with which to ask for a reservation. Settle must follow.
func (h *Holdings) Ask(upstream uint64, slots int, until time.Time) Statement {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.open(upstream)
	x.awaited = append(x.awaited, h.sequence+1)
	s := h.state(upstream, slots, x)
	s.Until = later(s.Until, until)
	return s
}

// Settle ends the wait for a reservation. sent tells whether the request is sent; End must follow
// then.
func (h *Holdings) Settle(s Statement, sent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.open(s.Upstream)
	x.awaited = slices.DeleteFunc(x.awaited, func(sequence uint64) bool { return sequence == s.Sequence })
	if sent {
		x.add(s.Until)
	}
	h.close(s.Upstream, x)
}

// Announce counts a request that is sent without a reservation, and returns the statement that
// includes it. End must follow.
func (h *Holdings) Announce(upstream uint64, slots int, until time.Time) Statement {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.open(upstream)
	x.add(until)
	return h.state(upstream, slots, x)
}

// End ends a request, and returns the statement without it.
func (h *Holdings) End(upstream uint64, slots int) Statement {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.open(upstream)
	x.count = max(x.count-1, 0)
	s := h.state(upstream, slots, x)
	h.close(upstream, x)
	return s
}

func (h *Holdings) open(upstream uint64) *holding {
	x := h.upstreams[upstream]
	if x == nil {
		x = &holding{}
		h.upstreams[upstream] = x
	}
	return x
}

func (h *Holdings) close(upstream uint64, x *holding) {
	if x.count == 0 && len(x.awaited) == 0 {
		delete(h.upstreams, upstream)
	}
}

func (h *Holdings) state(upstream uint64, slots int, x *holding) Statement {
	h.sequence++
	s := Statement{Upstream: upstream, Holder: h.holder, Slots: slots, Sequence: h.sequence, Settled: h.sequence, Count: x.count, Until: x.until}
	if len(x.awaited) > 0 {
		s.Settled = x.awaited[0]
	}
	return s
}

func (x *holding) add(until time.Time) {
	x.count++
	x.until = later(x.until, until)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
