package daemon

import (
	"context"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/view"
)

// Timing and limits of the control thread.
const (
	tickInterval = 100 * time.Millisecond
	inboxSize    = 1024
)

// message is an event that the control thread receives and applies to its
// state.
type message interface{ apply(c *control) }

// control is the state that the control thread owns. No other goroutine reads
// or writes its fields. The state of each responsibility is declared in its own
// file.
type control struct {
	d     *Daemon
	inbox chan message
	state membership.State
	// publishPending is set when a change must be visible to traffic threads at
	// once, before the next tick.
	publishPending bool
	members        memberState
	slots          slotState
	config         configState
	quota          quotaState
	steer          steerState
	fleet          fleetState
}

func newControl(d *Daemon) *control {
	return &control{
		d:       d,
		inbox:   make(chan message, inboxSize),
		state:   membership.StateStarting,
		members: newMemberState(),
		slots:   newSlotState(),
		config:  newConfigState(),
		quota:   newQuotaState(),
		steer:   newSteerState(d.identity.Zone),
		fleet:   newFleetState(),
	}
}

// send passes a message to the control thread. The message is dropped if the
// daemon has been stopped.
func (c *control) send(m message) {
	select {
	case c.inbox <- m:
	case <-c.d.ctx.Done():
	}
}

func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox:
			c.detectSlotPause(time.Now())
			c.handle(m)
			c.handleQueued()
		case <-ticker.C:
			c.detectSlotPause(time.Now())
			c.tick(time.Now())
			c.publishPending = true
		}
		if c.publishPending {
			c.publishPending = false
			c.publish(time.Now())
		}
	}
}

// handle applies a message. Publishing a snapshot is the most expensive
// operation of the control thread, and most messages are heartbeats. A
// heartbeat that changes only headroom is therefore published at the next tick.
// This delay is no longer than the age that reported headroom has in any case.
func (c *control) handle(m message) {
	if _, heartbeat := m.(heartbeatReceived); !heartbeat {
		c.publishPending = true
	}
	m.apply(c)
}

// handleQueued applies the messages that are already queued, so that a burst of
// messages leads to a single snapshot.
func (c *control) handleQueued() {
	for range inboxSize {
		select {
		case m := <-c.inbox:
			c.handle(m)
		default:
			return
		}
	}
}

func (c *control) tick(now time.Time) {
	c.tickMembers(now)
	c.tickConfig(now)
	c.tickSlots(now)
	c.tickQuota(now)
	c.tickFleet(now)
}

// publish creates the snapshot that traffic threads read from now on.
func (c *control) publish(now time.Time) {
	c.detectPause(now)
	live := c.members.table.Live(now)
	snap := &view.Snapshot{
		Self: c.selfMember(now), Config: c.config.active, ConfirmedAt: c.config.confirmedAt, Members: live,
		PublishedAt: now, ConfigVerified: c.config.verified,
	}
	c.publishFleet(snap)
	if snap.Self.State == membership.StateReady {
		snap.Ready = append(snap.Ready, snap.Self)
	}
	for _, m := range live {
		if m.State == membership.StateReady {
			snap.Ready = append(snap.Ready, m)
		}
	}
	if snap.Config != nil {
		c.assignUpstreams(snap, now)
		c.publishShares(snap, now)
		c.publishSteering(snap, now)
	}
	c.d.ledger.Fence.Extend(c.ownership().SpendUntil())
	c.d.view.Store(snap)
}

// selfMember returns the state of this daemon as its heartbeats report it.
func (c *control) selfMember(now time.Time) membership.Member {
	m := c.d.identity
	m.State = c.state
	m.LeavingSince = c.members.leavingSince
	m.Sequence = c.members.sequence
	m.ConfigVersion = c.config.version()
	m.ConfigRejected = c.config.rejectedVersion
	m.ConfirmedAt = c.config.confirmedAt
	m.WatchesStore = c.watchesStore(now)
	m.Demand = c.quota.demandScores
	m.HeldSlots = c.ownership().Usable(now)
	for _, h := range m.HeldSlots {
		m.Slots = append(m.Slots, h.Slot)
	}
	m.Headroom = c.d.handler.Headroom()
	m.Load = c.d.requestLimiter.Load()
	m.PostingEpoch = c.d.postings.Epoch(now)
	m.PostingsFrom = c.d.postings.ImportedInstances(now)
	return m
}

// activeConfig returns the configuration in force, or nil if there is none yet.
func (c *control) activeConfig() *config.Active { return c.config.active }

// leaveRequest starts the planned stop.
type leaveRequest struct{ done chan struct{} }

func (m leaveRequest) apply(c *control) {
	c.state = membership.StateLeaving
	c.members.leavingSince = time.Now()
	c.members.nextHeartbeatAt = time.Time{}
	close(m.done)
}
