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
	// confirmed is a time such that every change accepted before it is in
	// force here. Zero: none is known.
	confirmed time.Time
	// rejected is the highest version met that cannot be read here.
	rejected uint64
	// caughtUp says that the version in force was compared with the store's,
	// or with every reachable peer's, at or after needed.
	caughtUp bool
	needed   time.Time
	lastTurn time.Time
	store    storeState
	pulls    pullState
}

func newConfigState() configState { return configState{pulls: newPullState()} }

func (s *configState) version() uint64 {
	if s.active == nil {
		return 0
	}
	return s.active.Version
}

// candidate is a record that was read, with its document parsed. That is done
// outside the control thread: a document of thousands of customers takes
// longer than a tick.
type candidate struct {
	record *config.Record
	active *config.Active
	err    error
}

func examine(record *config.Record) candidate {
	active, err := record.Activate()
	return candidate{record: record, active: active, err: err}
}

func (c *control) tickConfig(now time.Time) {
	c.readStore(now)
	c.pullHighest(now)
}

// noticePause guards against a paused process: it goes on as if no time had
// passed, with a configuration in which a key withdrawn meanwhile still
// counts. Until it has compared its version again it admits nobody. It is
// called before each snapshot, so that none is made of the time in between.
func (c *control) noticePause(now time.Time) {
	last := c.config.lastTurn
	c.config.lastTurn = now
	if last.IsZero() || now.Sub(last) <= view.MaxAge {
		return
	}
	c.d.log.Warn("paused", "version", c.config.version())
	c.config.caughtUp = false
	c.config.needed = now
	c.survey(now)
}

// adopt brings a record into force if its version is higher: a version in
// force never reverts, whatever a peer or a store that lost data answers.
func (c *control) adopt(found candidate) {
	version := found.record.Version
	if version <= c.config.version() {
		return
	}
	if found.err != nil {
		c.reject(version, found.err)
		return
	}
	c.config.record, c.config.active = found.record, found.active
	c.members.nextBeat = time.Time{}
	c.d.log.Info("config_adopted", "version", version)
}

// reject keeps the version in force where a newer release of the daemon wrote
// a record that this one cannot read, and shows it in the fleet's status.
func (c *control) reject(version uint64, err error) {
	if version <= c.config.rejected {
		return
	}
	c.config.rejected = version
	c.members.nextBeat = time.Time{}
	c.d.log.Error("config_rejected", "version", version, "in_force", c.config.version(), "err", err)
}

// confirm notes that version was the store's at a time. Whoever has that
// version or a higher one lacks no change accepted before.
func (c *control) confirm(version uint64, at time.Time) {
	if version <= c.config.version() && at.After(c.config.confirmed) {
		c.config.confirmed = at
	}
}

// caughtUp notes that the version in force was compared at a time, and lets a
// starting daemon that has a configuration serve.
func (c *control) caughtUp(at time.Time) {
	if at.Before(c.config.needed) {
		return
	}
	c.config.caughtUp = true
	c.serveOnce()
}

func (c *control) serveOnce() {
	if c.state == membership.StateStarting && c.config.caughtUp && c.config.active != nil {
		c.state = membership.StateReady
		c.members.nextBeat = time.Time{}
	}
}

// recordAccepted: an operator's change was written to the store through this
// daemon by a call that began at asked.
type recordAccepted struct {
	found candidate
	asked time.Time
}

func (m recordAccepted) apply(c *control) {
	c.adopt(m.found)
	c.confirm(m.found.record.Version, m.asked)
	if m.found.record.Version <= c.config.version() {
		c.caughtUp(m.asked)
	}
}
