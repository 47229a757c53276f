package daemon

import (
	"time"

	"balsambarrow/internal/lookup"
	"balsambarrow/internal/steer"
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/view"
)

// steerState is the control thread's state for steering and lookups.
type steerState struct {
	builder *steer.Builder
	// index is built once for each configuration version.
	index        *lookup.Index
	indexVersion uint64
}

func newSteerState(zone string) steerState { return steerState{builder: steer.NewBuilder(zone)} }

// publishSteering adds to a snapshot the tables from which traffic threads
// steer requests and respond to lookups.
func (c *control) publishSteering(snap *view.Snapshot, now time.Time) {
	if c.steer.index == nil || c.steer.indexVersion != snap.Config.Version {
		c.steer.index = lookup.NewIndex(snap.Config.Config)
		c.steer.indexVersion = snap.Config.Version
	}
	snap.Lookup = lookup.NewDirectory(snap.Config, c.steer.index, snap.Ready)
	handling := c.handlingMembers(snap, now)
	snap.Steer = c.steer.builder.Build(snap.Config, handling, upstream.Assign(snap.Config.Config, handling), now)
}
