package upstream

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// handlerMove simulates an upstream that moves from one handler to another
// while more requests are queued than it has slots. Every request takes
// serviceTime.
type handlerMove struct {
	slots                  int
	serviceTime            time.Duration
	oldRunning, newRunning []time.Time // end times of the running requests
}

// stillRunning returns the end times that are after at.
func stillRunning(running []time.Time, at time.Time) []time.Time {
	var still []time.Time
	for _, end := range running {
		if end.After(at) {
			still = append(still, end)
		}
	}
	return still
}

// simulate returns the largest number of requests that both handlers ran at
// once, and the number that the new handler started within
// MaxTakeoverDuration plus serviceTime.
func (h *handlerMove) simulate(slotLimit func(at time.Time) int, report func(running int)) (maxRunning, started int) {
	start := time.Unix(1e9, 0)
	for i := range h.slots {
		h.oldRunning = append(h.oldRunning, start.Add(h.serviceTime*time.Duration(i+1)/time.Duration(h.slots)))
	}
	for at := start; at.Before(start.Add(MaxTakeoverDuration + h.serviceTime)); at = at.Add(10 * time.Millisecond) {
		h.oldRunning, h.newRunning = stillRunning(h.oldRunning, at), stillRunning(h.newRunning, at)
		report(len(h.oldRunning))
		for len(h.newRunning) < slotLimit(at) {
			h.newRunning = append(h.newRunning, at.Add(h.serviceTime))
			started++
		}
		maxRunning = max(maxRunning, len(h.oldRunning)+len(h.newRunning))
	}
	return maxRunning, started
}

// A daemon joins a fully loaded zone and takes over an upstream of 4 slots,
// all of them in use. The upstream must not receive twice its slots, which it
// would shed, and must not stay idle until the previous handler has finished.
func TestTakeoverKeepsBothHandlersWithinTheSlots(t *testing.T) {
	for name, tc := range map[string]struct {
		reports    bool
		service    time.Duration
		maxRunning int
	}{
		"reports, short work":     {reports: true, service: 100 * time.Millisecond, maxRunning: 5},
		"reports, long work":      {reports: true, service: time.Second, maxRunning: 5},
		"no reports, short work":  {service: 100 * time.Millisecond, maxRunning: 5},
		"no reports, longer work": {service: time.Second, maxRunning: 5},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := &handlerMove{slots: 4, serviceTime: tc.service}
			takeover := NewTakeover(time.Unix(1e9, 0))
			maxRunning, started := h.simulate(
				func(at time.Time) int { return takeover.SlotLimit(4, at) },
				func(running int) {
					if tc.reports {
						takeover.Report(running)
					}
				})
			g.Expect(maxRunning).To(BeNumerically("<=", tc.maxRunning))
			g.Expect(started).To(BeNumerically(">", 4))
		})
	}
}

// Guards against a takeover without an end: an outdated count must not limit
// the slots permanently.
func TestTakeoverEnds(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1e9, 0)
	takeover := NewTakeover(start)
	takeover.Report(3)
	g.Expect(takeover.SlotLimit(4, start)).To(Equal(1))
	g.Expect(takeover.SlotLimit(4, start.Add(MaxTakeoverDuration))).To(Equal(4))
	takeover = NewTakeover(start)
	takeover.Report(0)
	g.Expect(takeover.SlotLimit(4, start)).To(Equal(4))
}
