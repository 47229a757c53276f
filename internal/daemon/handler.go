package daemon

import (
	"maps"
	"slices"
	"time"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/view"
)

// publishHandler gives the handler the upstreams that are assigned to this
// daemon, and shows its headroom as it is from then on. A daemon that has begun
// to leave goes on with those that it would have if it stayed, for longer than
// others ask it: they count from their hearing. Others learn of a change by a
// heartbeat at once.
func (c *control) publishHandler(snap *view.Snapshot, assigned *upstream.Assignment, now time.Time) {
	if snap.Self.State == membership.StateLeaving && now.Sub(snap.Self.LeavingSince) < leaveMargin {
		assigned = upstream.Assign(snap.Config.Config, append(slices.Clone(snap.Ready), snap.Self))
	}
	mine := assigned.Of(snap.Self.Instance)
	c.d.handler.Assign(mine)
	if names := slices.Sorted(maps.Keys(mine)); !slices.Equal(names, c.members.handled) {
		c.members.handled = names
		c.members.nextBeat = time.Time{}
	}
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
		if m.State == membership.StateLeaving && m.Handles(now) {
			out = append(out, m)
		}
	}
	return out
}
