package fleet

import "time"

const (
	// shortInterval is the time between heartbeats of a small fleet: what a
	// customer's demand moves between hosts in that time stays within the tolerance
	// that operators were promised.
	shortInterval = 250 * time.Millisecond
	// perHost stretches the interval of a large fleet, so that a host handles at most
	// sixty heartbeats a second of those that take callers.
	perHost = 16 * time.Millisecond
	// heardFor is how long a host counts as there after a heartbeat: four
	// heartbeats at the shortest interval and a lost one.
	heardFor = 1300 * time.Millisecond
	// standbyInterval is the least time between heartbeats to a host that stands by,
	// where there are some: callers keep an answer of the directory for longer.
	standbyInterval = time.Second
	// FarRounds is the number of heartbeats to hosts that stand by in a host's region
	// for one to those of other regions: they need it only if their own region has none.
	RemoteRegionRounds = 4
	// intervalsMissed is the number of intervals without a heartbeat after which a
	// host counts as silent.
	intervalsMissed = 4
)

// Interval between the heartbeats of a fleet of n hosts.
func Interval(n int) time.Duration { return max(shortInterval, time.Duration(n)*perHost) }

// Interval between this host's heartbeats to those that take callers. Those that
// take callers themselves are few where hosts differ, and what they tell of customers
// and objects is needed sooner.
func (m *Members) Interval(ready bool) time.Duration {
	if ready {
		return Interval(m.ready + 1)
	}
	return Interval(len(m.by) + 1)
}

// IntervalToStandby is the time between the heartbeats of a host that takes callers to
// those of its region that stand by. They need to know who takes callers, and little
// else.
func (m *Members) IntervalToStandby() time.Duration { return max(standbyInterval, 2*m.Interval(true)) }

// SetReady says whether this host takes callers; the others then send it heartbeats
// more often.
func (m *Members) SetReady(ready bool) { m.selfReady = ready }

// gapOf is the interval between a member's heartbeats to this host.
func (m *Members) gapOf(k *Member) time.Duration {
	switch {
	case m.selfReady || !k.Ready:
		return m.Interval(k.Ready)
	case k.Region == m.region:
		return m.IntervalToStandby()
	}
	return RemoteRegionRounds * m.IntervalToStandby()
}

func (k *Member) isAlive(now time.Time, gap time.Duration) bool {
	return k.sequence > 0 && now.Sub(k.heard) < max(heardFor, intervalsMissed*gap)
}
