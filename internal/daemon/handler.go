package daemon

import (
	"maps"
	"slices"
	"time"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/view"
)

// publishHandler gives the handler the upstreams that rendezvous hashing over
// the ready daemons assigns to this one. A daemon that has begun to leave goes
// on with those that it would have if it stayed. Others learn of a change by a
// heartbeat at once: until they do, nobody asks the new handler.
func (c *control) publishHandler(snap *view.Snapshot, now time.Time) {
	ready := snap.Ready
	// It goes on for longer than others ask it: they count from their hearing.
	if snap.Self.State == membership.StateLeaving && now.Sub(snap.Self.LeavingSince) < leaveMargin {
		ready = append(slices.Clone(ready), snap.Self)
	}
	mine := upstream.Assign(snap.Config.Config, ready).Of(snap.Self.Instance)
	c.d.handler.Assign(snap.Config.Config, mine, len(snap.Members) > 0)
	c.showHeadroom(snap)
	names := slices.Sorted(maps.Keys(mine))
	if !slices.Equal(names, c.members.handled) {
		c.members.handled = names
		c.members.nextBeat = time.Time{}
	}
}

// showHeadroom makes the snapshot's headroom that of the upstreams just
// assigned: the one from before would send requests to a handler that refuses.
func (c *control) showHeadroom(snap *view.Snapshot) {
	snap.Self.Headroom = c.d.handler.Headroom()
	for i := range snap.Ready {
		if snap.Ready[i].Instance == snap.Self.Instance {
			snap.Ready[i].Headroom = snap.Self.Headroom
		}
	}
}

// handling are the daemons whose upstreams may be asked: the ready ones, and
// for a moment those that leave.
func (c *control) handling(snap *view.Snapshot, now time.Time) []membership.Member {
	out := slices.Clone(snap.Ready)
	for _, m := range append([]membership.Member{snap.Self}, snap.Members...) {
		if m.State == membership.StateLeaving && m.HandlesUpstreams(now) {
			out = append(out, m)
		}
	}
	return out
}
