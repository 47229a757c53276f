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

// snapshotMaxAge is the age of the last snapshot read from which a host that becomes ready
// reads the snapshot again.
const snapshotMaxAge = 5 * time.Second

// snapshotWriterKey is the rendezvous key by which the host that writes snapshots is selected.
const snapshotWriterKey = "snapshot"

// restoreSnapshot restores the learned state of the fleet from a snapshot. A snapshot that
// cannot be decoded is ignored, and the host learns the state again.
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

// rereadSnapshot reads the snapshot again if the last read is old, because a standby does not
// receive the learned state in heartbeats.
func (c *control) rereadSnapshot(now time.Time) {
	if now.Sub(c.snapshotReadAt) < snapshotMaxAge {
		return
	}
	c.snapshotReadAt = now
	c.d.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		defer cancel()
		item, err := c.d.store.Get(ctx, platform.SnapshotKey)
		if err != nil {
			c.d.events.Debug("snapshot not read", "error", err)
			return
		}
		c.send(func(c *control) { c.restoreSnapshot(c.d.now(), []kv.Item{item}) })
	})
}

// isSnapshotWriter reports whether this host writes the snapshots of the fleet. If two hosts
// consider themselves the writer for a moment, they overwrite each other's snapshot.
func (c *control) isSnapshotWriter() bool {
	all := c.d.directory.Load().storeReaders(func(string) bool { return true })
	return rendezvous.Pick(snapshotWriterKey, all) == c.d.self.Instance
}

// writeSnapshotIfDue writes the active-hosts hint and the learned state of this host into the
// store, if a snapshot is due and this host is the writer.
func (c *control) writeSnapshotIfDue(now time.Time) {
	if !c.snapshotPacer.Due(now) || !c.isSnapshotWriter() {
		return
	}
	c.writeHint()
	learned := c.d.table.LearnedState(now)
	if len(learned.Upstreams) == 0 {
		return
	}
	data, err := snapshot.Encode(time.Now(), learned)
	if err != nil {
		c.d.events.Warn("snapshot not encoded", "error", err)
		return
	}
	c.snapshotPacer.Started(now, len(data))
	c.d.spawn(func(ctx context.Context) { c.d.writeSnapshot(ctx, data) })
}

func (d *Daemon) writeSnapshot(ctx context.Context, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if err := d.store.Put(ctx, platform.SnapshotKey, data, 0); err != nil {
		d.events.Debug("snapshot not written", "error", err)
		return
	}
	d.events.Debug("snapshot written", "bytes", len(data))
}
