package daemon

import (
	"maps"
	"slices"
	"time"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/view"
)

// fleetState is the control thread's account of every host for operators: all
// that are listed or were heard, silent ones too.
type fleetState struct {
	listedAt time.Time
	hosts    map[string]view.Host
}

func newFleetState() fleetState { return fleetState{hosts: map[string]view.Host{}} }

// heardHost notes a daemon's account of itself.
func (c *control) heardHost(m membership.Member, now time.Time) {
	h := c.fleet.known(m.Host, now)
	last := h.LastReport
	if last.Instance == m.Instance {
		// Only answers say when a version was confirmed.
		m.ConfirmedAt = later(m.ConfirmedAt, last.ConfirmedAt)
	}
	if last.Instance == m.Instance && last.Sequence >= m.Sequence {
		last.ConfirmedAt = m.ConfirmedAt
		m = last
	} else {
		m.HeartbeatAt = now
	}
	h.Zone, h.LastReport = m.Zone, m
	c.fleet.hosts[m.Host] = h
}

// listedHosts notes the platform's host list.
func (c *control) listedHosts(list []membership.Host, now time.Time) {
	c.fleet.listedAt = now
	for name, h := range c.fleet.hosts {
		h.Listed = false
		c.fleet.hosts[name] = h
	}
	for _, l := range list {
		h := c.fleet.known(l.Name, now)
		h.Listed, h.Zone = true, l.Zone
		c.fleet.hosts[l.Name] = h
	}
}

func (s *fleetState) known(name string, now time.Time) view.Host {
	if h, ok := s.hosts[name]; ok {
		return h
	}
	return view.Host{Name: name, KnownSince: now}
}

// tickFleet forgets hosts that are not listed any more and have fallen silent.
func (c *control) tickFleet(now time.Time) {
	maps.DeleteFunc(c.fleet.hosts, func(_ string, h view.Host) bool {
		bound := forgetAfter
		if h.LastReport.State == membership.StateLeaving {
			bound = membership.MemberTimeout
		}
		return !h.Listed && now.Sub(h.LastReport.HeartbeatAt) > bound
	})
}

func (c *control) publishFleet(snap *view.Snapshot) {
	snap.Fleet.ListedAt = c.fleet.listedAt
	for _, name := range slices.Sorted(maps.Keys(c.fleet.hosts)) {
		if name != c.d.identity.Host {
			snap.Fleet.Hosts = append(snap.Fleet.Hosts, c.fleet.hosts[name])
		}
	}
}
