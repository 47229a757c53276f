package entryhost

import (
	"context"
	"slices"
	"time"

	"balsambarrow/internal/kv"
	"balsambarrow/internal/rendezvous"
	"balsambarrow/internal/snapshot"
	"balsambarrow/platform"
)

// snapshotMaxAge is the age of the last snapshot that was read from which a host that
// begins to take callers reads it again.
const snapshotMaxAge = 5 * time.Second

// snapshotRole is what the host that writes snapshots is picked by.
const snapshotRole = "snapshot"

// restoreSnapshot takes over what the fleet knew before this process began. A snapshot that
// cannot be used is ignored: the host learns anew.
func (c *control) restoreSnapshot(now time.Time, items []kv.Item) {
	i := slices.IndexFunc(items, func(item kv.Item) bool { return item.Key == platform.SnapshotKey })
	if i < 0 {
		return
	}
	c.snapshotReadAt = now
	m, err := snapshot.Decode(time.Now(), items[i].Value)
	if err != nil {
		c.d.events.Info("snapshot ignored", "revision", items[i].Revision, "bytes", len(items[i].Value), "error", err)
		return
	}
	c.d.events.Info("snapshot recalled", "revision", items[i].Revision, "bytes", len(items[i].Value),
		"upstreams", len(m.Upstreams), "objects", c.d.table.Restore(now, m), "routes", len(m.Routes))
}

// restoreSnapshotAgain has what the fleet has learned read anew, if this host did not hear it
// because it stood by.
func (c *control) restoreSnapshotAgain(now time.Time) {
	if now.Sub(c.snapshotReadAt) < snapshotMaxAge {
		return
	}
	c.snapshotReadAt = now
	c.d.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callBound)
		defer cancel()
		item, err := c.d.store.Get(ctx, platform.SnapshotKey)
		if err != nil {
			c.d.events.Debug("snapshot not read", "error", err)
			return
		}
		c.send(func(c *control) { c.restoreSnapshot(c.d.now(), []kv.Item{item}) })
	})
}

// writesSnapshot tells whether this host is the one of the fleet that writes
// snapshots. Two that believe so for a moment overwrite each other.
func (c *control) writesSnapshot() bool {
	all := c.d.directory.Load().storeReaders(func(string) bool { return true })
	return rendezvous.Pick(snapshotRole, all) == c.d.self.Instance
}

// snapshot writes what this host knows into the store, if it is its turn.
func (c *control) snapshot(now time.Time) {
	if !c.snapshots.Due(now) || !c.writesSnapshot() {
		return
	}
	c.writeGuide()
	memory := c.d.table.LearnedState(now)
	if len(memory.Upstreams) == 0 {
		return
	}
	data, err := snapshot.Encode(time.Now(), memory)
	if err != nil {
		c.d.events.Warn("snapshot not encoded", "error", err)
		return
	}
	c.snapshots.Started(now, len(data))
	c.d.spawn(func(ctx context.Context) { c.d.writeSnapshot(ctx, data) })
}

func (d *Daemon) writeSnapshot(ctx context.Context, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	if err := d.store.Put(ctx, platform.SnapshotKey, data, 0); err != nil {
		d.events.Debug("snapshot not written", "error", err)
		return
	}
	d.events.Debug("snapshot written", "bytes", len(data))
}
