package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"balsambarrow/internal/retry"
)

const (
	// simulatedStep is the time between two steps of a fleetModel, and simulatedLease how long a
	// registration lasts without renewal. A host considers it valid for simulatedValidity only.
	simulatedStep     = 250 * time.Millisecond
	simulatedLease    = 5 * time.Second
	simulatedValidity = 4 * time.Second
)

// fleetModel models hosts that register in a store with a lease, and count the registrations that
// they know.
type fleetModel struct {
	simulatedFleet
	now     time.Time
	members []modelHost
	// registered holds until when the registration of each process lasts in the store, and hint is
	// set once a host was registered.
	registered map[int]time.Time
	hint       bool
	processes  int
}

// modelHost is a host; its process is 0 while it is down.
type modelHost struct {
	process   int
	cut       bool
	renewedAt time.Time
	// known are the registrations that the process knows.
	known map[int]time.Time
	// listed is set once the process has listed the store, and firstUntil is until when it may take
	// itself for the first.
	listed     bool
	firstUntil time.Time
}

func (f *fleetModel) start(host int) {
	f.processes++
	f.members[host] = modelHost{process: f.processes, cut: f.members[host].cut}
	f.hosts[host] = retry.NewWindowBudget(simulatedWindow, simulatedRatio)
}

// reach lists the store or, after that, renews the registration of a host.
func (f *fleetModel) reach(m *modelHost) {
	if !m.listed {
		m.listed = true
		if len(f.registered) == 0 && !f.hint {
			m.firstUntil = f.now.Add(simulatedValidity)
		}
		return
	}
	f.registered[m.process], m.renewedAt, f.hint = f.now.Add(simulatedLease), f.now, true
}

// step lets the hosts that are not cut off reach the store, and each host send requests.
func (f *fleetModel) step(requests []int) {
	f.now = f.now.Add(simulatedStep)
	for i := range f.members {
		if m := &f.members[i]; m.process > 0 && !m.cut {
			f.reach(m)
		}
	}
	for process, until := range f.registered {
		if f.now.After(until) {
			delete(f.registered, process)
		}
	}
	for i := range f.members {
		m := &f.members[i]
		if m.process == 0 {
			continue
		}
		if !m.cut {
			m.known = map[int]time.Time{}
			for process, until := range f.registered {
				m.known[process] = until
			}
		}
		share := retry.Share{Slack: simulatedSlack, Hosts: max(len(m.known), 1), Unused: len(m.known) == 1 && f.now.Before(m.firstUntil)}
		if !m.renewedAt.IsZero() {
			share.CountedUntil = m.renewedAt.Add(simulatedValidity)
		}
		f.hosts[i].SetShare(f.now, share)
		for range requests[i] {
			f.request(f.now, i)
		}
	}
}

// Guards against retries beyond the budget of the fleet while hosts are killed, started, and cut off from the store.
func TestBudgetHoldsOverRestartsCutsAndJoins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		f := &fleetModel{
			simulatedFleet: simulatedFleet{hosts: make([]*retry.WindowBudget, hosts)}, now: time.Unix(1000, 0),
			members: make([]modelHost, hosts), registered: map[int]time.Time{},
		}
		present := rapid.IntRange(1, hosts).Draw(t, "present at first")
		for i := range present {
			f.start(i)
		}
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			requests := make([]int, hosts)
			for i := range requests {
				requests[i] = rapid.IntRange(0, 3).Draw(t, "requests")
			}
			for range rapid.IntRange(1, 24).Draw(t, "steps") {
				f.step(requests)
			}
			host := rapid.IntRange(0, hosts-1).Draw(t, "host")
			switch m := &f.members[host]; rapid.SampledFrom([]string{"start", "start all", "kill", "cut", "heal"}).Draw(t, "event") {
			case "start":
				f.start(host)
			case "start all":
				for i := range hosts {
					f.start(i)
				}
			case "kill":
				*m = modelHost{cut: m.cut}
			case "cut":
				m.cut = true
			case "heal":
				m.cut = false
			}
		}
		NewWithT(t).Expect(f.excess()).To(BeZero())
	})
}
