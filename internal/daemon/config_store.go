package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/membership"
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
	takeOverAfter = 2 * membership.HeartbeatInterval
	// watchDeaf is how long a watch may hear nothing of changes that are made, by the
	// platform's account of its store.
	watchDeaf = time.Second
	// checkWait is the wait of a watch that only asks whether there is a change.
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
	// after is the store's revision to watch on from; 0: read the value. version is
	// the one that was read last.
	after   uint64
	version uint64
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
	after := s.after
	c.d.spawn(func(ctx context.Context) { c.send(c.d.readConfig(ctx, after, wait)) })
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
		if m.WatchesStore {
			c.config.store.watched = later(c.config.store.watched, m.HeartbeatAt)
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
	// after is the store's revision to watch on from; 0: read the value again.
	after uint64
	// found is empty where the value has not changed.
	found candidate
	// at is a time at which the store held this value.
	at  time.Time
	err error
}

// readConfig reads the value, or waits for a change of it after a revision.
func (d *Daemon) readConfig(ctx context.Context, after uint64, wait time.Duration) storeRead {
	asked := time.Now()
	if after == 0 {
		l, err := d.store.List(ctx, config.StoreKey, false)
		return newStoreRead(configIn(l.Items), l.Revision, asked, err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	changes, err := d.store.Watch(ctx, config.StoreKey, after, wait)
	if errors.Is(err, kv.ErrCompacted) {
		return d.readConfig(ctx, 0, wait)
	}
	if err != nil {
		return storeRead{after: after, err: err}
	}
	var latest *kv.Item
	for i := range changes.Events {
		if e := &changes.Events[i]; e.Key == config.StoreKey {
			latest = &e.Item
		}
	}
	if latest == nil {
		return storeRead{after: changes.Revision, at: unchangedUntil(asked, time.Now(), wait).Add(-watchDeaf)}
	}
	return newStoreRead(latest, changes.Revision, asked, nil)
}

// configIn finds the value among what a listing brought; nil: there is none.
func configIn(items []kv.Item) *kv.Item {
	for i := range items {
		if items[i].Key == config.StoreKey {
			return &items[i]
		}
	}
	return nil
}

// unchangedUntil is when a watch that brought nothing ended: it answers only after
// the wait, which began no earlier than the call.
func unchangedUntil(asked, answered time.Time, wait time.Duration) time.Time {
	if answered.Sub(asked) < wait {
		return asked
	}
	return asked.Add(wait)
}

func newStoreRead(item *kv.Item, after uint64, asked time.Time, err error) storeRead {
	r := storeRead{after: after, at: asked, err: err}
	if err != nil {
		return r
	}
	if item == nil || len(item.Value) == 0 {
		r.err = errors.Wrap(kv.ErrNotFound, config.StoreKey)
		return r
	}
	record, err := config.ParseRecord(item.Value)
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
	s.failing = errors.Is(m.err, kv.ErrUnavailable)
	s.after = m.after
	if m.err != nil {
		m.failed(c)
		return
	}
	if m.found.record != nil {
		s.version = m.found.record.Version
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
	case errors.Is(m.err, kv.ErrNotFound):
		// The store answers, and holds no configuration.
		c.caughtUp(m.at)
	case errors.Is(m.err, config.ErrInvalidRecord):
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
