package daemon

import (
	"maps"
	"slices"
	"time"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/view"
)

// fleetState is the control thread's record of every host for operators. It
// contains all hosts that are listed or have sent a heartbeat, including
// unresponsive ones.
type fleetState struct {
	listedAt time.Time
	hosts    map[string]view.Host
}

func newFleetState() fleetState { return fleetState{hosts: map[string]view.Host{}} }

// recordHostReport records a daemon's report of its own state.
func (c *control) recordHostReport(m membership.Member, now time.Time) {
	h := c.fleet.hostByName(m.Host, now)
	lastReport := h.LastReport
	if lastReport.Instance == m.Instance {
		// Only a response to this daemon's heartbeat carries a confirmation
		// time, so a report without one keeps the time of the previous report.
		m.ConfirmedAt = maxTime(m.ConfirmedAt, lastReport.ConfirmedAt)
	}
	if lastReport.Instance == m.Instance && lastReport.Sequence >= m.Sequence {
		lastReport.ConfirmedAt = m.ConfirmedAt
		m = lastReport
	} else {
		m.HeartbeatAt = now
	}
	h.Zone, h.LastReport = m.Zone, m
	c.fleet.hosts[m.Host] = h
}

// recordHostList records the host list of the platform.
func (c *control) recordHostList(hosts []membership.Host, now time.Time) {
	c.fleet.listedAt = now
	for name, h := range c.fleet.hosts {
		h.Listed = false
		c.fleet.hosts[name] = h
	}
	for _, listed := range hosts {
		h := c.fleet.hostByName(listed.Name, now)
		h.Listed, h.Zone = true, listed.Zone
		c.fleet.hosts[listed.Name] = h
	}
}

func (s *fleetState) hostByName(name string, now time.Time) view.Host {
	if h, ok := s.hosts[name]; ok {
		return h
	}
	return view.Host{Name: name, KnownSince: now}
}

// tickFleet removes hosts that are no longer listed and have sent no heartbeat
// for longer than their retention.
func (c *control) tickFleet(now time.Time) {
	maps.DeleteFunc(c.fleet.hosts, func(_ string, h view.Host) bool {
		retention := memberRetention
		if h.LastReport.State == membership.StateLeaving {
			retention = membership.MemberTimeout
		}
		return !h.Listed && now.Sub(h.LastReport.HeartbeatAt) > retention
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
