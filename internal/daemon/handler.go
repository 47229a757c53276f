package daemon

import (
	"maps"
	"slices"
	"time"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/view"
)

// assignUpstreams assigns upstreams to the daemon's handler by rendezvous
// hashing over the ready daemons. A leaving daemon keeps the upstreams that it
// would have if it were not leaving, until leaveNoticeDelay has passed. A
// change is sent to the other daemons at once by a heartbeat; until they
// receive it, they send no requests to the new handler.
func (c *control) assignUpstreams(snap *view.Snapshot, now time.Time) {
	candidates := snap.Ready
	// The other daemons send requests to a leaving daemon for
	// membership.LeaveHandlingTime after they learn that it leaves, so the
	// daemon must handle its upstreams for longer than that.
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

// updateHeadroom replaces the headroom of the snapshot by that of the upstreams
// just assigned. With the previous headroom, other daemons would send requests
// to a handler that rejects them.
func (c *control) updateHeadroom(snap *view.Snapshot) {
	snap.Self.Headroom = c.d.handler.Headroom()
	for i := range snap.Ready {
		if snap.Ready[i].Instance == snap.Self.Instance {
			snap.Ready[i].Headroom = snap.Self.Headroom
		}
	}
}

// handlingMembers returns the daemons whose upstreams may receive requests: the
// ready ones, and for a short time those that are leaving.
func (c *control) handlingMembers(snap *view.Snapshot, now time.Time) []membership.Member {
	members := slices.Clone(snap.Ready)
	for _, m := range append([]membership.Member{snap.Self}, snap.Members...) {
		if m.State == membership.StateLeaving && m.HandlesUpstreams(now) {
			members = append(members, m)
		}
	}
	return members
}
