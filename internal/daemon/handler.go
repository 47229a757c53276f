package daemon

import (
	"maps"
	"slices"
	"time"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/view"
)

// assignUpstreams gives the handler the upstreams that rendezvous hashing over
// the ready daemons assigns to this one. A daemon that has begun to leave goes
// on with those that it would have if it stayed. Others learn of a change by a
// heartbeat at once: until they do, nobody asks the new handler.
func (c *control) assignUpstreams(snap *view.Snapshot, now time.Time) {
	candidates := snap.Ready
	// It goes on for longer than others ask it: they count from their hearing.
	if snap.Self.State == membership.StateLeaving && now.Sub(snap.Self.LeavingSince) < leaveNoticeDelay {
		candidates = append(slices.Clone(candidates), snap.Self)
	}
	assigned := upstream.Assign(snap.Config.Config, candidates).UpstreamsOf(snap.Self.Instance)
	c.d.handler.Assign(snap.Config.Config, assigned, len(snap.Members) > 0)
	c.updateHeadroom(snap)
	names := slices.Sorted(maps.Keys(assigned))
	if !slices.Equal(names, c.members.assignedUpstreams) {
		c.members.assignedUpstreams = names
		c.members.nextHeartbeatAt = time.Time{}
	}
}

// updateHeadroom makes the snapshot's headroom that of the upstreams just
// assigned: the one from before would send requests to a handler that refuses.
func (c *control) updateHeadroom(snap *view.Snapshot) {
	snap.Self.Headroom = c.d.handler.Headroom()
	for i := range snap.Ready {
		if snap.Ready[i].Instance == snap.Self.Instance {
			snap.Ready[i].Headroom = snap.Self.Headroom
		}
	}
}

// handlingMembers are the daemons whose upstreams may be asked: the ready ones, and
// for a moment those that leave.
func (c *control) handlingMembers(snap *view.Snapshot, now time.Time) []membership.Member {
	members := slices.Clone(snap.Ready)
	for _, m := range append([]membership.Member{snap.Self}, snap.Members...) {
		if m.State == membership.StateLeaving && m.HandlesUpstreams(now) {
			members = append(members, m)
		}
	}
	return members
}
