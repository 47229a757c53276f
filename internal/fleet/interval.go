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
	// standbyInterval is the time between heartbeats of a standby, which go to few hosts.
	standbyInterval = 2 * time.Second
	// summaryTTL is how long a standby counts an active host as alive after the last
	// heartbeat or summary that reported it. An active host answers each standby once a
	// second, and several seconds may pass until the standby asks another one.
	summaryTTL = 8 * time.Second
	// missedIntervals is the number of intervals without a heartbeat after which a
	// host counts as unresponsive.
	missedIntervals = 4
)

// Interval returns the time between the heartbeats of a fleet of n hosts.
func Interval(n int) time.Duration { return max(minInterval, time.Duration(n)*intervalPerHost) }

// Interval returns the time between the heartbeats of a host to the active hosts; ready
// reports whether the sending host is itself active.
func (m *Members) Interval(ready bool) time.Duration {
	if ready {
		return Interval(m.readyCount + 1)
	}
	return standbyInterval
}

// SetReady sets whether this host is active. The other hosts send heartbeats to an
// active host more often.
func (m *Members) SetReady(ready bool) { m.selfReady = ready }

// aliveTime returns how long a member counts as alive after its last heartbeat.
func (m *Members) aliveTime(k *Member) time.Duration {
	if k.Ready && !m.selfReady {
		return summaryTTL
	}
	return max(minAliveTime, missedIntervals*m.Interval(k.Ready))
}

func (k *Member) isAlive(now time.Time, aliveTime time.Duration) bool {
	return k.sequence > 0 && now.Sub(k.lastHeartbeat) < aliveTime
}
