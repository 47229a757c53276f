package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/membership"
)

// Timing of the store calls for the configuration. Each call counts against the
// rate limit of the store, and so does a pending watch. Therefore only one
// daemon of each zone watches the store.
const (
	// watchDuration is how long one watch waits for a change. With a longer
	// watch, the confirmation of the version becomes older; with a shorter one,
	// more calls are made. Each zone makes one call per watchDuration (72 calls
	// a second at 145 zones).
	watchDuration = 2 * time.Second
	// watchRetryDelay is the delay after a failed call.
	watchRetryDelay = 500 * time.Millisecond
	// watchResponseGrace is how long after the end of a watch its response may
	// arrive. A watch whose response arrives later counts as failed, and
	// another daemon of the zone takes its place.
	watchResponseGrace = time.Second
	// watchLossDelay is how long a zone may have no watcher that reaches the
	// store before its other daemons read the store: two heartbeat intervals.
	watchLossDelay = 2 * membership.HeartbeatInterval
	// watchMaxLag is the longest time after which a watch reports a change. The
	// platform documents this value for its store.
	watchMaxLag = time.Second
	// storePollWait is the duration of a watch that only checks for a change
	// and returns at once.
	storePollWait = time.Millisecond
	// storePollInterval is the time between the calls of a zone that has no
	// watcher. Each daemon multiplies the interval by the number of daemons in
	// its zone, so the rate of the zone's calls does not depend on that number.
	storePollInterval = time.Second
)

// storeState is the control thread's state for its calls to the store.
type storeState struct {
	callInFlight bool
	nextCallAt   time.Time
	// unavailable reports that the last call failed because the store was
	// unavailable. watcherSeenAt is when a daemon of the zone last reported
	// that it reaches the store.
	unavailable   bool
	watcherSeenAt time.Time
	// watchRevision is the store revision from which the next watch starts;
	// with 0, the next call reads the value. latestVersion is the version of
	// the record that was read last.
	watchRevision uint64
	latestVersion uint64
	// unreadable is set while the store holds a record that cannot be read. It may be
	// newer than the version in force, so nothing is confirmed meanwhile.
	unreadable bool
}

// readStore starts the next call to the store if one is due. The watcher of the
// zone and a daemon whose configuration is not verified always call the store;
// the other daemons call it only while no watcher reaches it.
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

// watchRole is the role of this daemon in its zone's watch on the store.
type watchRole struct {
	// isWatcher is set in the daemon whose instance name is the lowest among
	// the live daemons of the zone that are not leaving.
	isWatcher bool
	// zoneDaemons is the number of those daemons, this one included.
	zoneDaemons int
}

// watchRole determines the role of this daemon. It also records when a peer of
// the zone last reported that it reaches the store, because a live watcher may
// have lost its connection to the store: its heartbeats then report this, or
// none arrive. After watchLossDelay the other daemons of the zone call the
// store until the watcher reaches it again.
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

// watchesStore reports whether this daemon is the watcher of its zone and
// reaches the store.
func (c *control) watchesStore(now time.Time) bool {
	return c.watchRole(now).isWatcher && !c.config.store.unavailable
}

// storeReadResult reports that a store call for the configuration has ended.
type storeReadResult struct {
	// watchRevision is the store revision from which the next watch starts;
	// with 0, the next call reads the value again.
	watchRevision uint64
	// parsed is the zero value if the value has not changed.
	parsed parsedRecord
	// validAt is a time at which the store contained this value.
	validAt time.Time
	err     error
}

// readConfig reads the value if revision is 0, and otherwise waits for a change
// after that revision.
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

// findConfigItem returns the configuration among the items of a listing, or nil
// if there is none.
func findConfigItem(items []kv.Item) *kv.Item {
	for i := range items {
		if items[i].Key == config.StoreKey {
			return &items[i]
		}
	}
	return nil
}

// unchangedUntil returns the time until which a watch that reported no change
// covers the value. The store responds to such a watch only after the wait,
// which began no earlier than the call was sent.
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
		s.latestVersion, s.unreadable = m.parsed.record.Version, false
		c.applyRecord(m.parsed)
	}
	if s.unreadable {
		c.retryStore(time.Now())
		return
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
	s := &c.config.store
	switch {
	case errors.Is(m.err, kv.ErrNotFound):
		// The store is reachable and contains no configuration.
		c.markVerified(m.validAt)
	case errors.Is(m.err, config.ErrInvalidRecord):
		s.unreadable = true
		c.d.log.Error("config_unreadable", "err", m.err, "in_force", c.config.version(), "revision", m.watchRevision)
	default:
		c.d.log.Debug("config_not_read", "err", m.err)
	}
	c.retryStore(time.Now())
}

// retryStore delays the next call to the store, which has not verified the version in
// force. A daemon that needs a version asks its peers meanwhile.
func (c *control) retryStore(now time.Time) {
	s := &c.config.store
	s.nextCallAt = maxTime(s.nextCallAt, now.Add(watchRetryDelay))
	if !c.config.verified {
		c.startPeerPoll(now)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
