package daemon

import (
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/view"
)

// configState is the control thread's part for the configuration.
type configState struct {
	record *config.Record
	active *config.Active
	// confirmedAt is a time such that every change accepted before it is in
	// force here. Zero: none is known.
	confirmedAt time.Time
	// rejectedVersion is the highest version met that cannot be read here.
	rejectedVersion uint64
	// markVerified says that the version in force was compared with the store's,
	// or with every reachable peer's, at or after needed.
	verified        bool
	verifyAfter     time.Time
	lastPublishedAt time.Time
	store           storeState
	pulls           pullState
}

func newConfigState() configState { return configState{pulls: newPullState()} }

func (s *configState) version() uint64 {
	if s.active == nil {
		return 0
	}
	return s.active.Version
}

// parsedRecord is a record that was read, with its document parsed. That is done
// outside the control thread: a document of thousands of customers takes
// longer than a tick.
type parsedRecord struct {
	record *config.Record
	active *config.Active
	err    error
}

func activateRecord(record *config.Record) parsedRecord {
	active, err := record.Activate()
	return parsedRecord{record: record, active: active, err: err}
}

func (c *control) tickConfig(now time.Time) {
	c.readStore(now)
	c.pullNewerRecord(now)
}

// detectPause guards against a paused process: it goes on as if no time had
// passed, with a configuration in which a key withdrawn meanwhile still
// counts. Until it has compared its version again it admits nobody. It is
// called before each snapshot, so that none is made of the time in between.
func (c *control) detectPause(now time.Time) {
	previous := c.config.lastPublishedAt
	c.config.lastPublishedAt = now
	if previous.IsZero() || now.Sub(previous) <= view.MaxAge {
		return
	}
	c.d.log.Warn("paused", "version", c.config.version())
	c.config.verified = false
	c.config.verifyAfter = now
	c.startPeerPoll(now)
}

// applyRecord brings a record into force if its version is higher: a version in
// force never reverts, whatever a peer or a store that lost data answers.
func (c *control) applyRecord(parsed parsedRecord) {
	version := parsed.record.Version
	if version <= c.config.version() {
		return
	}
	if parsed.err != nil {
		c.rejectVersion(version, parsed.err)
		return
	}
	c.config.record, c.config.active = parsed.record, parsed.active
	c.members.nextHeartbeatAt = time.Time{}
	c.d.log.Info("config_adopted", "version", version)
}

// rejectVersion keeps the version in force where a newer release of the daemon wrote
// a record that this one cannot read, and shows it in the fleet's status.
func (c *control) rejectVersion(version uint64, err error) {
	if version <= c.config.rejectedVersion {
		return
	}
	c.config.rejectedVersion = version
	c.members.nextHeartbeatAt = time.Time{}
	c.d.log.Error("config_rejected", "version", version, "in_force", c.config.version(), "err", err)
}

// confirmVersion notes that version was the store's at a time. Whoever has that
// version or a higher one lacks no change accepted before.
func (c *control) confirmVersion(version uint64, at time.Time) {
	if version <= c.config.version() && at.After(c.config.confirmedAt) {
		c.config.confirmedAt = at
	}
}

// markVerified notes that the version in force was compared at a time, and lets a
// starting daemon that has a configuration serve.
func (c *control) markVerified(at time.Time) {
	if at.Before(c.config.verifyAfter) {
		return
	}
	c.config.verified = true
	c.becomeReady()
}

func (c *control) becomeReady() {
	if c.state == membership.StateStarting && c.config.verified && c.config.active != nil {
		c.state = membership.StateReady
		c.members.nextHeartbeatAt = time.Time{}
	}
}

// recordWritten: an operator's change was written to the store through this
// daemon by a call that began at asked.
type recordWritten struct {
	parsed parsedRecord
	sentAt time.Time
}

func (m recordWritten) apply(c *control) {
	c.applyRecord(m.parsed)
	c.confirmVersion(m.parsed.record.Version, m.sentAt)
	if m.parsed.record.Version <= c.config.version() {
		c.markVerified(m.sentAt)
	}
}
