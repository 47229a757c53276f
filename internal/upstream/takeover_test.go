package upstream

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// handlers is an upstream that moves from one handler to another under more
// load than it has slots. Every request takes service.
type handlerMove struct {
	slots                  int
	serviceTime            time.Duration
	oldRunning, newRunning []time.Time // ends of the requests that run
}

func stillRunning(running []time.Time, at time.Time) []time.Time {
	var still []time.Time
	for _, end := range running {
		if end.After(at) {
			still = append(still, end)
		}
	}
	return still
}

// move returns the most that both ran at once, and the new one's work until
// the bound and a service time have passed.
func (h *handlerMove) simulate(room func(at time.Time) int, report func(running int)) (most, started int) {
	start := time.Unix(1e9, 0)
	for i := range h.slots {
		h.oldRunning = append(h.oldRunning, start.Add(h.serviceTime*time.Duration(i+1)/time.Duration(h.slots)))
	}
	for at := start; at.Before(start.Add(MaxTakeoverDuration + h.serviceTime)); at = at.Add(10 * time.Millisecond) {
		h.oldRunning, h.newRunning = stillRunning(h.oldRunning, at), stillRunning(h.newRunning, at)
		report(len(h.oldRunning))
		for len(h.newRunning) < room(at) {
			h.newRunning = append(h.newRunning, at.Add(h.serviceTime))
			started++
		}
		most = max(most, len(h.oldRunning)+len(h.newRunning))
	}
	return most, started
}

// A daemon joins a full zone and takes over an upstream of 4 slots, all of
// them busy. The upstream must not be given twice its slots, which it would
// shed, nor lie idle until the earlier handler is done.
func TestTakeoverKeepsBothHandlersWithinTheSlots(t *testing.T) {
	for name, tc := range map[string]struct {
		reports bool
		service time.Duration
		most    int
	}{
		"reports, short work":     {reports: true, service: 100 * time.Millisecond, most: 5},
		"reports, long work":      {reports: true, service: time.Second, most: 5},
		"no reports, short work":  {service: 100 * time.Millisecond, most: 5},
		"no reports, longer work": {service: time.Second, most: 5},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := &handlerMove{slots: 4, serviceTime: tc.service}
			takeover := NewTakeover(time.Unix(1e9, 0))
			most, started := h.simulate(
				func(at time.Time) int { return takeover.SlotLimit(4, at) },
				func(running int) {
					if tc.reports {
						takeover.Report(running)
					}
				})
			g.Expect(most).To(BeNumerically("<=", tc.most))
			g.Expect(started).To(BeNumerically(">", 4))
		})
	}
}

// Without the bound on the takeover an old count would hold back room for ever.
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
