package daemon

import (
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/view"
)

// configState is the control thread's state for the configuration.
type configState struct {
	record *config.Record
	active *config.Active
	// confirmedAt is a time such that every change accepted before it is in
	// force in this daemon. It is zero if no such time is known.
	confirmedAt time.Time
	// rejectedVersion is the highest version received that this daemon cannot
	// read.
	rejectedVersion uint64
	// verified reports that the version in force was compared with the version
	// of the store, or of every reachable peer, no earlier than verifyAfter.
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

// parsedRecord is a record that was received or read, together with the result
// of parsing its document. Parsing runs outside the control thread, because a
// document of thousands of customers takes longer to parse than one tick.
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

// detectPause handles a pause of the entire process, such as a suspended virtual
// machine. A resumed daemon would continue with its old configuration and
// accept a key that was withdrawn during the pause. The daemon therefore admits
// no requests until its version has been verified again. The control thread
// calls detectPause before each snapshot, so that no snapshot is published
// between the end of the pause and its detection.
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

// applyRecord brings a record into force if its version is higher than the one
// in force. A version never reverts, even if a peer or a store that lost data
// returns a lower one.
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

// rejectVersion handles a record that was written by a newer release and that
// this daemon cannot read. The version in force stays, and the fleet's status
// shows the rejected version.
func (c *control) rejectVersion(version uint64, err error) {
	if version <= c.config.rejectedVersion {
		return
	}
	c.config.rejectedVersion = version
	c.members.nextHeartbeatAt = time.Time{}
	c.d.log.Error("config_rejected", "version", version, "in_force", c.config.version(), "err", err)
}

// confirmVersion records that version was the version of the store at the given
// time. A daemon with that version or a higher one has every change that was
// accepted before that time.
func (c *control) confirmVersion(version uint64, at time.Time) {
	if version <= c.config.version() && at.After(c.config.confirmedAt) {
		c.config.confirmedAt = at
	}
}

// markVerified records that the version in force was compared with the store's
// or the peers' at the given time. A starting daemon that has a configuration
// becomes ready.
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

// recordWritten reports that this daemon wrote an operator's change to the
// store, in a call sent at sentAt.
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
