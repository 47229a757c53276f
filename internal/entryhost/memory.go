package entryhost

import (
	"fmt"
	"net"

	"balsambarrow/internal/front"
	"balsambarrow/internal/jsonc"
	"balsambarrow/internal/memory"
	"balsambarrow/internal/place"
)

// Memory bounds what callers make the host and its upstreams hold. It applies if the settings give
// the memory of the host.
type Memory struct {
	// CallersFraction is the fraction of the memory of the host that callers may use, less what the
	// process holds without them. Default 0.6.
	CallersFraction float64 `json:"callers_fraction"`
	// UpstreamMB is how many MB of request bodies each upstream may hold from this host. Default 4.
	UpstreamMB float64 `json:"upstream_mb"`
}

const (
	defaultCallersFraction = 0.6
	maxCallersFraction     = 0.7
	defaultUpstreamMB      = 4
	maxUpstreamMB          = 4096
	bytesPerMB             = 1 << 20
)

func (m *Memory) applyDefaults() {
	if m.CallersFraction == 0 {
		m.CallersFraction = defaultCallersFraction
	}
	if m.UpstreamMB == 0 {
		m.UpstreamMB = defaultUpstreamMB
	}
}

func (m *Memory) faults(doc *jsonc.Document) jsonc.Faults {
	var faults jsonc.Faults
	if m.CallersFraction < 0 || m.CallersFraction > maxCallersFraction {
		faults = append(faults, doc.FaultAt("/memory/callers_fraction", fmt.Sprintf("want a fraction, more than 0 and at most %g", maxCallersFraction)))
	}
	if m.UpstreamMB < 0 || m.UpstreamMB > maxUpstreamMB {
		faults = append(faults, doc.FaultAt("/memory/upstream_mb", fmt.Sprintf("want MB, more than 0 and at most %d", maxUpstreamMB)))
	}
	return faults
}

// boundMemory creates the budget of the host if the settings give its memory.
func (d *Daemon) boundMemory(s *Settings) {
	d.budget = memory.NewBudget(s.Capacity.MemoryMB, s.Memory.CallersFraction)
	if d.budget == nil {
		return
	}
	d.table.SetUpstreamBytes(int64(s.Memory.UpstreamMB*bytesPerMB), func(c place.CrashBound) {
		d.observeMemory(front.EventCrashBound)
		d.events.Warn("upstream crashed with many bytes", "service", c.Service, "upstream", c.ID, "held", c.Held, "bound", c.Bound)
	})
}

// limitCallers charges the connections that a listener accepts to the budget.
func (d *Daemon) limitCallers(l net.Listener) net.Listener {
	if d.budget == nil {
		return l
	}
	return &front.MemoryListener{
		Listener: l, Budget: d.budget, Observe: d.observeMemory,
		MakeRoom: func() bool { return d.callerConns.closeLongestIdle(d.now()) },
	}
}

// observeMemory counts an event that concerns memory.
func (d *Daemon) observeMemory(e front.MemoryEvent) {
	d.metrics.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_memory_events_total{event=%q}`, string(e))).Inc()
}

// registerMemoryGauges adds the gauges of memory, in bytes.
func (d *Daemon) registerMemoryGauges() {
	if d.budget == nil {
		return
	}
	for _, kind := range []memory.Kind{memory.Connections, memory.Requests, memory.Headers, memory.Bodies, memory.Responses} {
		d.metrics.Gauge(fmt.Sprintf(`balsambarrow_memory_held_bytes{kind=%q}`, kind), func() float64 {
			return float64(d.budget.Usage().Held[kind])
		})
	}
	d.metrics.Gauge("balsambarrow_memory_limit_bytes", func() float64 { return float64(d.budget.Usage().Limit) })
	d.metrics.Gauge("balsambarrow_upstream_held_bytes", func() float64 {
		held, _ := d.table.UpstreamBytes(d.now())
		return float64(held)
	})
	d.metrics.Gauge("balsambarrow_upstream_bytes_bound", func() float64 {
		_, bound := d.table.UpstreamBytes(d.now())
		return float64(bound)
	})
}
