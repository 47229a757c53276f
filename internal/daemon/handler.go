package daemon

import (
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/view"
)

// publishHandler gives the handler the upstreams that rendezvous hashing over
// the ready daemons assigns to this one.
func (c *control) publishHandler(snap *view.Snapshot) {
	c.d.handler.Assign(snap.Config.Config, upstream.Assigned(snap.Config.Config, snap.Self.Instance, snap.Ready))
}
