package place

import (
	"math"
	"time"

	"balsambarrow/internal/traffic"
)

// Rate limits that upstreams announce in their responses.
//
// A limit counts over all entry hosts, so it is used by few of them: each of its senders
// gets an equal part, and all other hosts send the upstream nothing. Hosts that have not
// received a response of the upstream learn of the limit from heartbeats.
const (
	// minSenders is the number of senders of the lowest limit. Each request per second adds
	// one: more of the requests whose object is warm at the upstream then arrive at a sender,
	// and the bursts of all senders stay within those of one second and minSenders more.
	minSenders = 2
	// rateLimitBurst is the time in which a sender accumulates its largest burst.
	rateLimitBurst = 500 * time.Millisecond
	// rateLimitTTL is how long an announcement is passed on to other hosts. A host that
	// has not heard of a limit for longer may probe whether it still applies.
	rateLimitTTL = 5 * time.Second
	// endedLimitTTL is how long after a limit its end is passed on. It exceeds rateLimitTTL,
	// so that hosts which still report the limit learn of its end.
	endedLimitTTL = 2 * rateLimitTTL
	// rateLimitReportInterval is how long an unchanged announcement is not reported again,
	// by any host, and rateLimitTolerance the relative change that counts as none.
	rateLimitReportInterval = 2 * time.Second
	rateLimitTolerance      = 0.1
)

// rateLimit is the rate limit that an upstream has announced.
type rateLimit struct {
	traffic.RateLimit
	// announcedAt is when the upstream last responded with the limit, or without one.
	announcedAt time.Time
	// firstHand is set if this host received that response.
	firstHand bool
	// limitedAt is when a limit was last known to be in force here or at another host.
	limitedAt time.Time
	// reported is the last report that this host has sent or received, at reportedAt.
	reported   traffic.RateLimit
	reportedAt time.Time
	bucket     tokenBucket
}

// reportDue reports whether the other hosts need a report of the announcement.
func (l *rateLimit) reportDue(now time.Time) bool {
	if !l.firstHand || now.Sub(l.announcedAt) > rateLimitTTL || now.Sub(l.limitedAt) > endedLimitTTL {
		return false
	}
	known := l.Limited == l.reported.Limited && math.Abs(l.PerSecond-l.reported.PerSecond) <= rateLimitTolerance*l.reported.PerSecond
	return !known || now.Sub(l.reportedAt) >= rateLimitReportInterval
}

// set replaces the announcement and reports whether the limit has changed.
func (l *rateLimit) set(announced traffic.RateLimit, at time.Time, firstHand bool) bool {
	changed := l.RateLimit != announced
	l.RateLimit, l.announcedAt, l.firstHand = announced, at, firstHand
	if announced.Limited {
		l.limitedAt = at
	}
	return changed
}

// ObserveRateLimit records the rate limit that the upstream of a choice announces in its
// response. It reports whether the limit has changed.
func (t *Table) ObserveRateLimit(now time.Time, c Choice, announced traffic.RateLimit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.instance(c)
	return w != nil && w.announced.rateLimit.set(announced, now, true)
}

// RateLimited returns the number of upstreams that have announced a rate limit.
func (t *Table) RateLimited() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, w := range t.byID {
		if w.announced.rateLimit.Limited {
			n++
		}
	}
	return n
}

// rateShare returns the part of the upstream's limit, in requests per second, that this host
// may use; 0 if it is no sender.
func (t *Table) rateShare(w *upstream) float64 {
	perSecond := w.announced.rateLimit.PerSecond
	senders := min(math.Floor(perSecond)+minSenders, float64(len(t.hosts)))
	if rank := t.senderRank(w); rank == noSender || float64(rank) >= senders {
		return 0
	}
	return perSecond / senders
}

// mayProbe reports whether this host may send one request although its part of the limit
// does not allow it: no host has had a response for a while, so the limit may have ended.
// Hosts take turns, the first sender first. Hosts that are not ready, such as standbys, get
// no reports from others and come last.
func (t *Table) mayProbe(now time.Time, w *upstream) bool {
	rank := t.senderRank(w)
	if rank == noSender {
		rank = len(t.hosts)
	}
	silence := now.Sub(w.announced.rateLimit.announcedAt)
	return w.load.inflight == 0 && silence >= time.Duration(rank+1)*rateLimitTTL
}

// isRateLimitSender reports whether this host may send to an upstream that has a rate limit.
func (t *Table) isRateLimitSender(now time.Time, w *upstream) bool {
	return t.rateShare(w) > 0 || t.mayProbe(now, w)
}

// takeRateLimit takes one request of the upstream's rate limit.
func (t *Table) takeRateLimit(now time.Time, w *upstream) bool {
	share := t.rateShare(w)
	if w.announced.rateLimit.bucket.take(now, share, max(share*rateLimitBurst.Seconds(), 1)) {
		return true
	}
	return t.mayProbe(now, w)
}

// RateLimitReport passes the announcement of an upstream on to another host.
type RateLimitReport struct {
	// Instance is the key of the instance of the upstream; see upstream.instanceKey.
	Instance uint64
	traffic.RateLimit
	// Age is the time since the announcement.
	Age time.Duration
}

// RateLimitReports returns the announcements that the other hosts need to be told. Those that
// this host has received from other hosts are left out, so that no announcement outlives its age
// by being passed on again.
func (t *Table) RateLimitReports(now time.Time) []RateLimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []RateLimitReport
	for _, w := range t.byID {
		l := &w.announced.rateLimit
		if !l.reportDue(now) {
			continue
		}
		if len(out) == maxAnnouncementReports {
			break
		}
		l.reported, l.reportedAt = l.RateLimit, now
		out = append(out, RateLimitReport{w.instanceKey(), l.RateLimit, now.Sub(l.announcedAt)})
	}
	return out
}

// RateLimitChange is a rate limit that a report has changed, for the log.
type RateLimitChange struct {
	Upstream string
	Zone     string
	traffic.RateLimit
}

// ApplyRateLimitReports applies the reports of another host that are more recent than what
// this host knows, and returns the limits that have changed.
func (t *Table) ApplyRateLimitReports(now time.Time, reports []RateLimitReport) []RateLimitChange {
	if len(reports) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []RateLimitChange
	for _, r := range reports {
		w := t.byInstanceKey(r.Instance)
		if w == nil {
			continue
		}
		l, at := &w.announced.rateLimit, now.Add(-r.Age)
		if r.Limited && at.After(l.limitedAt) {
			l.limitedAt = at
		}
		l.reported, l.reportedAt = r.RateLimit, now
		if at.After(l.announcedAt) && l.set(r.RateLimit, at, false) {
			changes = append(changes, RateLimitChange{w.ID, w.Zone, r.RateLimit})
		}
	}
	return changes
}
