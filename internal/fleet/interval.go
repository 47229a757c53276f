package fleet

import "time"

const (
	// minInterval is the time between heartbeats of a small fleet. If a customer's
	// demand moves between hosts within that time, the excess over its rate stays within
	// the tolerance that operators were promised.
	minInterval = 250 * time.Millisecond
	// intervalPerHost times the number of hosts is the interval of a large fleet, so that
	// a host handles at most sixty heartbeats of active hosts per second.
	intervalPerHost = 16 * time.Millisecond
	// minAliveTime is the least time for which a host counts as alive after a heartbeat:
	// four heartbeats at the shortest interval and a lost one.
	minAliveTime = 1300 * time.Millisecond
	// standbyInterval is the least time between heartbeats to a standby host. Callers
	// cache a response of the directory for longer than that.
	standbyInterval = time.Second
	// RemoteRegionRounds is the number of heartbeats that an active host sends to the
	// standby hosts of its region for each one to those of other regions. Standby hosts
	// need the heartbeats from other regions only if their region has no active host.
	RemoteRegionRounds = 4
	// missedIntervals is the number of intervals without a heartbeat after which a
	// host counts as unresponsive.
	missedIntervals = 4
)

// Interval returns the time between the heartbeats of a fleet of n hosts.
func Interval(n int) time.Duration { return max(minInterval, time.Duration(n)*intervalPerHost) }

// Interval returns the time between the heartbeats of a host to the active hosts; ready
// reports whether the sending host is itself active. In a fleet of different machines
// the active hosts are few, and what they report of customers and objects is needed
// sooner than the heartbeats of standby hosts.
func (m *Members) Interval(ready bool) time.Duration {
	if ready {
		return Interval(m.readyCount + 1)
	}
	return Interval(len(m.byInstance) + 1)
}

// IntervalToStandby returns the time between the heartbeats of an active host to the
// standby hosts of its region. Standby hosts need to know little more than which hosts
// are active.
func (m *Members) IntervalToStandby() time.Duration { return max(standbyInterval, 2*m.Interval(true)) }

// SetReady sets whether this host is active. The other hosts send heartbeats to an
// active host more often.
func (m *Members) SetReady(ready bool) { m.selfReady = ready }

// intervalFrom returns the interval between a member's heartbeats to this host.
func (m *Members) intervalFrom(k *Member) time.Duration {
	switch {
	case m.selfReady || !k.Ready:
		return m.Interval(k.Ready)
	case k.Region == m.region:
		return m.IntervalToStandby()
	}
	return RemoteRegionRounds * m.IntervalToStandby()
}

func (k *Member) isAlive(now time.Time, interval time.Duration) bool {
	return k.sequence > 0 && now.Sub(k.lastHeartbeat) < max(minAliveTime, missedIntervals*interval)
}
