package entryhost

import (
	"balsambarrow/internal/catalog"
	"balsambarrow/internal/telemetry"
)

// maxLoggedUpstreams is the number of upstreams that are logged one by one if they change
// together. More of them are summarized, so that the log stays readable while thousands register.
const maxLoggedUpstreams = 16

// upstreamLog collects the changes of upstreams that the control thread has applied since the
// last flush.
type upstreamLog struct {
	changed []catalog.Upstream
	removed []removedUpstream
	// changedCount and removedCount include those that are not kept.
	changedCount, removedCount int
	// byService counts the changes by service.
	byService map[string]int
	// lastRevision is the highest revision of the changes.
	lastRevision uint64
}

type removedUpstream struct{ id, reason string }

func (l *upstreamLog) addChanged(u catalog.Upstream) {
	if l.byService == nil {
		l.byService = map[string]int{}
	}
	l.changedCount++
	l.byService[u.Service]++
	l.lastRevision = max(l.lastRevision, u.Revision)
	if len(l.changed) < maxLoggedUpstreams {
		l.changed = append(l.changed, u)
	}
}

func (l *upstreamLog) addRemoved(id, reason string) {
	l.removedCount++
	if len(l.removed) < maxLoggedUpstreams {
		l.removed = append(l.removed, removedUpstream{id, reason})
	}
}

// flush writes the collected changes to the event log.
func (l *upstreamLog) flush(events *telemetry.Events) {
	if l.changedCount+l.removedCount == 0 {
		return
	}
	if l.changedCount+l.removedCount > maxLoggedUpstreams {
		events.Info("upstreams changed", "changed", l.changedCount, "removed", l.removedCount, "services", l.byService, "revision", l.lastRevision)
		*l = upstreamLog{}
		return
	}
	for _, u := range l.changed {
		events.Info("upstream", "upstream", u.ID, "service", u.Service, "zone", u.Zone, "address", u.Address,
			"state", u.State, "cold", u.ColdRemaining, "born", u.StartedMs, "revision", u.Revision)
	}
	for _, r := range l.removed {
		events.Info("upstream gone", "upstream", r.id, "reason", r.reason)
	}
	*l = upstreamLog{}
}
