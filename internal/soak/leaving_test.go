package soak

import (
	"math/rand/v2"
	"sort"
	"time"
)

// leavingDelay is the longest time that a host which has received an upstream's announcement may
// still send to it.
const leavingDelay = 2500 * time.Millisecond

// announceLeaving lets one upstream announce, some time after the start, that it leaves. It goes
// on serving, and its registration stays ready.
func (c *cluster) announceLeaving(rng *rand.Rand, stop <-chan struct{}) {
	u, after := c.upstreams[rng.IntN(len(c.upstreams))], time.Duration(500+rng.IntN(3000))*time.Millisecond
	select {
	case <-stop:
	case <-time.After(after):
		c.logFault("upstream %s announces that it leaves", u.standIn.ID)
		u.leavingSince = time.Now()
		u.standIn.Leave()
	}
}

// checkLeaving checks that no host sends to an upstream later than leavingDelay after it has
// passed on a response in which the upstream announced that it leaves.
func (c *cluster) checkLeaving(requests []callerRequest) {
	byID := map[string]callerRequest{}
	for _, r := range requests {
		byID[r.id] = r
	}
	for _, u := range c.upstreams {
		if u.leavingSince.IsZero() {
			continue
		}
		runs := u.standIn.Runs()
		sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
		informedAt := map[*daemonProcess]time.Time{}
		for _, run := range runs {
			r, ok := byID[run.ID]
			if !ok || run.At.Before(u.leavingSince) {
				continue
			}
			at := informedAt[r.host]
			if at.IsZero() && r.err == nil {
				informedAt[r.host] = r.endedAt
			}
			if !at.IsZero() && r.startedAt.Sub(at) > leavingDelay && !r.host.disturbedBetween(at, run.At) {
				c.reporter.Errorf("%s: ran at %s, which leaves, %v after %s had been told", r.id, u.standIn.ID, run.At.Sub(at), r.host.name)
			}
		}
	}
}
