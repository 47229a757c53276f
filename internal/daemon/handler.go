package daemon

import (
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/view"
)

// publishHandler gives the handler the upstreams that are assigned to this
// daemon, and shows its headroom as it is from then on.
func (c *control) publishHandler(snap *view.Snapshot, assigned *upstream.Assignment) {
	c.d.handler.Assign(snap.Config.Config, assigned.Of(snap.Self.Instance))
	snap.Self.Headroom = c.d.handler.Headroom()
	for i := range snap.Ready {
		if snap.Ready[i].Instance == snap.Self.Instance {
			snap.Ready[i].Headroom = snap.Self.Headroom
		}
	}
}
