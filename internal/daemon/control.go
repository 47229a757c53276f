package daemon

import (
	"context"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/view"
)

// Timing of the control thread.
const (
	tickEvery = 100 * time.Millisecond
	inboxSize = 1024
)

// message is what the control thread receives.
type message interface{ apply(c *control) }

// control is the state that the control thread owns. Nothing else reads or
// writes its fields. Each duty keeps its part in a file of its own.
type control struct {
	d     *Daemon
	inbox chan message
	state membership.State
	// news: something changed that traffic threads must see at once.
	news    bool
	members memberState
	slots   slotState
	config  configState
	quota   quotaState
	steer   steerState
	fleet   fleetState
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

// send passes a message to the control thread, or drops it at the stop.
func (c *control) send(m message) {
	select {
	case c.inbox <- m:
	case <-c.d.ctx.Done():
	}
}

func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox:
			c.guardSlots(time.Now())
			c.handle(m)
			c.drain()
		case <-ticker.C:
			c.guardSlots(time.Now())
			c.tick(time.Now())
			c.news = true
		}
		if c.news {
			c.news = false
			c.publish(time.Now())
		}
	}
}

// handle applies a message. A snapshot costs more than all else that control
// does, and heartbeats are most messages: one that changes only headroom
// waits for the next tick, which is as old as the headroom is anyway.
func (c *control) handle(m message) {
	if _, heartbeat := m.(heardFrom); !heartbeat {
		c.news = true
	}
	m.apply(c)
}

// drain applies the messages that wait already, so that a burst of them costs
// one snapshot.
func (c *control) drain() {
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

// publish makes the snapshot that traffic threads read from now on.
func (c *control) publish(now time.Time) {
	c.noticePause(now)
	live := c.members.table.Live(now)
	snap := &view.Snapshot{
		Self: c.self(now), Config: c.config.active, ConfirmedAt: c.config.confirmed, Members: live,
		PublishedAt: now, ConfigVerified: c.config.caughtUp,
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
		c.publishHandler(snap, now)
		c.publishShares(snap, now)
		c.publishSteering(snap, now)
	}
	c.d.ledger.Fence.Extend(c.custody().SpendUntil())
	c.d.view.Store(snap)
}

// self is this daemon as its heartbeats show it.
func (c *control) self(now time.Time) membership.Member {
	m := c.d.identity
	m.State = c.state
	m.LeavingSince = c.members.leavingSince
	m.Sequence = c.members.sequence
	m.ConfigVersion = c.config.version()
	m.ConfigRejected = c.config.rejected
	m.ConfirmedAt = c.config.confirmed
	m.WatchesStore = c.watches(now)
	m.Demand = c.quota.scores
	m.HeldSlots = c.custody().Usable(now)
	for _, h := range m.HeldSlots {
		m.Slots = append(m.Slots, h.Slot)
	}
	m.Headroom = c.d.handler.Headroom()
	m.Load = c.d.gauge.Load()
	m.PostingEpoch = c.d.postings.Epoch(now)
	m.PostingsFrom = c.d.postings.AnswersFor(now)
	return m
}

// active is the configuration in force; nil until there is one.
func (c *control) active() *config.Active { return c.config.active }

// leave: the planned stop has begun.
type leave struct{ done chan struct{} }

func (m leave) apply(c *control) {
	c.state = membership.StateLeaving
	c.members.leavingSince = time.Now()
	c.members.nextBeat = time.Time{}
	close(m.done)
}
