package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/platform"
)

// Timing of the calls for the configuration. Each call counts against the
// store's rate, a waiting watch as one, so only one daemon of each zone waits.
const (
	// watchWait is how long one watch waits: the age that a confirmed version
	// reaches, against one call per zone in as long (72 a second at 145 zones).
	watchWait = 2 * time.Second
	// watchPause follows a call that failed.
	watchPause = 500 * time.Millisecond
	// watchGrace is how long after its wait an answer may come: an answer that
	// is later counts as lost, and another daemon of the zone takes over.
	watchGrace = time.Second
	// takeOverAfter is how long a zone may be without a watcher that reaches
	// the store before the others try: two heartbeats.
	takeOverAfter = 2 * membership.BeatEvery
	// checkWait is the wait of a watch that only asks for the revision.
	checkWait = time.Millisecond
	// checkEvery spreads the calls of a zone without a watcher: one in as long,
	// however many daemons the zone has.
	checkEvery = time.Second
)

// storeState is what the control thread knows of its calls to the store.
type storeState struct {
	busy bool
	next time.Time
	// failing says that the last call failed, watched when a zone peer last
	// said that it reaches the store.
	failing bool
	watched time.Time
	// revision was read last and held version.
	revision uint64
	version  uint64
}

// readStore starts the next call if one is due: always at the zone's watcher
// and while this daemon has not caught up, otherwise only while no watcher
// reaches the store.
func (c *control) readStore(now time.Time) {
	s := &c.config.store
	if s.busy || now.Before(s.next) {
		return
	}
	w := c.zoneWatch(now)
	wait := checkWait
	switch {
	case !c.config.caughtUp:
	case w.first:
		wait = watchWait
	case now.Sub(s.watched) > takeOverAfter:
		s.next = now.Add(time.Duration(w.size) * checkEvery)
	default:
		return
	}
	s.busy = true
	revision := s.revision
	c.d.spawn(func(ctx context.Context) { c.send(c.d.readConfig(ctx, revision, wait)) })
}

// zoneWatch is this daemon's part in its zone's watch on the store.
type zoneWatch struct {
	// first: it has the lowest instance name of the live ones that are not
	// leaving, so it is the watcher.
	first bool
	// size is the number of those.
	size int
}

// zoneWatch also guards against a watcher that lives and has lost the store:
// it says so in its heartbeats, or is silent, and after takeOverAfter the
// others ask the store until it reaches it again.
func (c *control) zoneWatch(now time.Time) zoneWatch {
	w := zoneWatch{first: true, size: 1}
	for _, m := range c.members.table.Live(now) {
		if m.Zone != c.d.identity.Zone || m.State == membership.StateLeaving {
			continue
		}
		w.size++
		if m.Instance < c.d.identity.Instance || c.state == membership.StateLeaving {
			w.first = false
		}
		if m.Watches {
			c.config.store.watched = later(c.config.store.watched, m.HeardAt)
		}
	}
	return w
}

// watches tells whether this daemon waits on the store for its zone, and
// reaches it.
func (c *control) watches(now time.Time) bool {
	return c.zoneWatch(now).first && !c.config.store.failing
}

// storeRead: a call to the store for the configuration ended.
type storeRead struct {
	revision uint64
	// found is empty where the revision is the one known already.
	found candidate
	// at is a time at which the store held this revision.
	at  time.Time
	err error
}

func (d *Daemon) readConfig(ctx context.Context, revision uint64, wait time.Duration) storeRead {
	asked := time.Now()
	if revision == 0 {
		entry, err := d.store.Get(ctx, config.StoreKey)
		return newStoreRead(entry, asked, err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	entry, err := d.store.Watch(ctx, config.StoreKey, revision, wait)
	if err == nil && entry.Revision == revision {
		return storeRead{revision: revision, at: unchangedUntil(asked, time.Now(), wait)}
	}
	return newStoreRead(entry, asked, err)
}

// unchangedUntil is when the store still held the revision: it answers so only
// after the wait, which began no earlier than the call.
func unchangedUntil(asked, answered time.Time, wait time.Duration) time.Time {
	if answered.Sub(asked) < wait {
		return asked
	}
	return asked.Add(wait)
}

func newStoreRead(entry platform.Entry, asked time.Time, err error) storeRead {
	r := storeRead{revision: entry.Revision, at: asked, err: err}
	if err != nil {
		return r
	}
	record, err := config.ParseRecord(entry.Value)
	if err != nil {
		r.err = err
		return r
	}
	r.found = examine(record)
	return r
}

func (m storeRead) apply(c *control) {
	s := &c.config.store
	s.busy = false
	s.failing = errors.Is(m.err, platform.ErrUnavailable)
	if m.err != nil {
		m.failed(c)
		return
	}
	if m.found.record != nil {
		s.revision, s.version = m.revision, m.found.record.Version
		c.adopt(m.found)
	}
	if s.version < c.config.version() && m.found.record != nil {
		c.d.log.Warn("store_behind", "store_version", s.version, "in_force", c.config.version())
	}
	c.confirm(s.version, m.at)
	if s.version <= c.config.version() {
		c.caughtUp(m.at)
	}
	c.readStore(time.Now())
}

func (m storeRead) failed(c *control) {
	now := time.Now()
	s := &c.config.store
	s.next = later(s.next, now.Add(watchPause))
	switch {
	case errors.Is(m.err, platform.ErrNotFound):
		// The store answers, and holds no configuration.
		s.revision = 0
		c.caughtUp(m.at)
	case errors.Is(m.err, config.ErrBadRecord):
		c.d.log.Error("config_unreadable", "err", m.err)
	default:
		c.d.log.Debug("config_not_read", "err", m.err)
		if !c.config.caughtUp {
			c.survey(now)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
