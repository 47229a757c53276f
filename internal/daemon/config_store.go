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
	// watchDuration is how long one watch waits: the age that a confirmed version
	// reaches, against one call per zone in as long (72 a second at 145 zones).
	watchDuration = 2 * time.Second
	// watchRetryDelay follows a call that failed.
	watchRetryDelay = 500 * time.Millisecond
	// watchResponseGrace is how long after its wait an answer may come: an answer that
	// is later counts as lost, and another daemon of the zone takes over.
	watchResponseGrace = time.Second
	// watchLossDelay is how long a zone may be without a watcher that reaches
	// the store before the others try: two heartbeats.
	watchLossDelay = 2 * membership.HeartbeatInterval
	// watchMaxLag is how long a watch may hear nothing of changes that are made, by the
	// platform's account of its store.
	watchMaxLag = time.Second
	// storePollWait is the wait of a watch that only asks whether there is a change.
	storePollWait = time.Millisecond
	// storePollInterval spreads the calls of a zone without a watcher: one in as long,
	// however many daemons the zone has.
	storePollInterval = time.Second
)

// storeState is what the control thread knows of its calls to the store.
type storeState struct {
	callInFlight bool
	nextCallAt   time.Time
	// unavailable says that the last call failed, watched when a zone peer last
	// said that it reaches the store.
	unavailable   bool
	watcherSeenAt time.Time
	// watchRevision is the store's revision to watch on from; 0: read the value. version is
	// the one that was read last.
	watchRevision uint64
	latestVersion uint64
}

// readStore starts the next call if one is due: always at the zone's watcher
// and while this daemon has not caught up, otherwise only while no watcher
// reaches the store.
func (c *control) readStore(now time.Time) {
	s := &c.config.store
	if s.callInFlight || now.Before(s.nextCallAt) {
		return
	}
	role := c.watchRole(now)
	wait := storePollWait
	switch {
	case !c.config.verified:
	case role.isWatcher:
		wait = watchDuration
	case now.Sub(s.watcherSeenAt) > watchLossDelay:
		s.nextCallAt = now.Add(time.Duration(role.zoneDaemons) * storePollInterval)
	default:
		return
	}
	s.callInFlight = true
	revision := s.watchRevision
	c.d.spawn(func(ctx context.Context) { c.send(c.d.readConfig(ctx, revision, wait)) })
}

// watchRole is this daemon's part in its zone's watch on the store.
type watchRole struct {
	// isWatcher: it has the lowest instance name of the live ones that are not
	// leaving, so it is the watcher.
	isWatcher bool
	// zoneDaemons is the number of those.
	zoneDaemons int
}

// watchRole also guards against a watcher that lives and has lost the store:
// it says so in its heartbeats, or is silent, and after watchLossDelay the
// others ask the store until it reaches it again.
func (c *control) watchRole(now time.Time) watchRole {
	role := watchRole{isWatcher: true, zoneDaemons: 1}
	for _, m := range c.members.table.Live(now) {
		if m.Zone != c.d.identity.Zone || m.State == membership.StateLeaving {
			continue
		}
		role.zoneDaemons++
		if m.Instance < c.d.identity.Instance || c.state == membership.StateLeaving {
			role.isWatcher = false
		}
		if m.WatchesStore {
			c.config.store.watcherSeenAt = maxTime(c.config.store.watcherSeenAt, m.HeartbeatAt)
		}
	}
	return role
}

// watchesStore tells whether this daemon waits on the store for its zone, and
// reaches it.
func (c *control) watchesStore(now time.Time) bool {
	return c.watchRole(now).isWatcher && !c.config.store.unavailable
}

// storeReadResult: a call to the store for the configuration ended.
type storeReadResult struct {
	// watchRevision is the store's revision to watch on from; 0: read the value again.
	watchRevision uint64
	// parsed is empty where the value has not changed.
	parsed parsedRecord
	// validAt is a time at which the store held this value.
	validAt time.Time
	err     error
}

// readConfig reads the value, or waits for a change of it after a revision.
func (d *Daemon) readConfig(ctx context.Context, revision uint64, wait time.Duration) storeReadResult {
	sentAt := time.Now()
	if revision == 0 {
		l, err := d.store.List(ctx, config.StoreKey, false)
		return newStoreReadResult(findConfigItem(l.Items), l.Revision, sentAt, err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchResponseGrace)
	defer cancel()
	changes, err := d.store.Watch(ctx, config.StoreKey, revision, wait)
	if errors.Is(err, kv.ErrCompacted) {
		return d.readConfig(ctx, 0, wait)
	}
	if err != nil {
		return storeReadResult{watchRevision: revision, err: err}
	}
	var latest *kv.Item
	for i := range changes.Events {
		if e := &changes.Events[i]; e.Key == config.StoreKey {
			latest = &e.Item
		}
	}
	if latest == nil {
		return storeReadResult{watchRevision: changes.Revision, validAt: unchangedUntil(sentAt, time.Now(), wait).Add(-watchMaxLag)}
	}
	return newStoreReadResult(latest, changes.Revision, sentAt, nil)
}

// findConfigItem finds the value among what a listing brought; nil: there is none.
func findConfigItem(items []kv.Item) *kv.Item {
	for i := range items {
		if items[i].Key == config.StoreKey {
			return &items[i]
		}
	}
	return nil
}

// unchangedUntil is when a watch that brought nothing ended: it answers only after
// the wait, which began no earlier than the call.
func unchangedUntil(sentAt, receivedAt time.Time, wait time.Duration) time.Time {
	if receivedAt.Sub(sentAt) < wait {
		return sentAt
	}
	return sentAt.Add(wait)
}

func newStoreReadResult(item *kv.Item, watchRevision uint64, sentAt time.Time, err error) storeReadResult {
	r := storeReadResult{watchRevision: watchRevision, validAt: sentAt, err: err}
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
	r.parsed = activateRecord(record)
	return r
}

func (m storeReadResult) apply(c *control) {
	s := &c.config.store
	s.callInFlight = false
	s.unavailable = errors.Is(m.err, kv.ErrUnavailable)
	s.watchRevision = m.watchRevision
	if m.err != nil {
		m.handleError(c)
		return
	}
	if m.parsed.record != nil {
		s.latestVersion = m.parsed.record.Version
		c.applyRecord(m.parsed)
	}
	if s.latestVersion < c.config.version() && m.parsed.record != nil {
		c.d.log.Warn("store_behind", "store_version", s.latestVersion, "in_force", c.config.version())
	}
	c.confirmVersion(s.latestVersion, m.validAt)
	if s.latestVersion <= c.config.version() {
		c.markVerified(m.validAt)
	}
	c.readStore(time.Now())
}

func (m storeReadResult) handleError(c *control) {
	now := time.Now()
	s := &c.config.store
	s.nextCallAt = maxTime(s.nextCallAt, now.Add(watchRetryDelay))
	switch {
	case errors.Is(m.err, kv.ErrNotFound):
		// The store answers, and holds no configuration.
		c.markVerified(m.validAt)
	case errors.Is(m.err, config.ErrInvalidRecord):
		c.d.log.Error("config_unreadable", "err", m.err)
	default:
		c.d.log.Debug("config_not_read", "err", m.err)
		if !c.config.verified {
			c.startPeerPoll(now)
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
