package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/peer"
	"balsambarrow/internal/platform"
)

// Timing of the watch on the store.
const (
	watchWait  = 20 * time.Second
	watchPause = 500 * time.Millisecond
)

// configState is the control thread's part for the configuration.
type configState struct {
	record *config.Record
	active *config.Active
	// confirmed is when record was last known to be the store's version.
	confirmed time.Time
	// pulling marks the peers that are being asked for a record.
	pulling map[string]bool
}

func newConfigState() configState { return configState{pulling: map[string]bool{}} }

func (s *configState) version() uint64 {
	if s.active == nil {
		return 0
	}
	return s.active.Version
}

func (c *control) tickConfig(time.Time) {}

// recordFound: a configuration was read from the store, a peer or an operator.
type recordFound struct {
	record *config.Record
	// confirmed is when the store was asked; zero if it came from a peer.
	confirmed time.Time
}

// apply adopts only a higher version: a version in force never reverts.
func (m recordFound) apply(c *control) {
	have := c.config.version()
	if m.record.Version == have && m.confirmed.After(c.config.confirmed) {
		c.config.confirmed = m.confirmed
	}
	if m.record.Version <= have {
		return
	}
	active, err := m.record.Activate()
	if err != nil {
		c.d.log.Error("config_rejected", "version", m.record.Version, "err", err)
		return
	}
	c.config.record, c.config.active = m.record, active
	if m.confirmed.After(c.config.confirmed) {
		c.config.confirmed = m.confirmed
	}
	if c.state == membership.StateStarting {
		c.state = membership.StateReady
	}
	c.members.nextBeat = time.Time{}
	c.d.log.Info("config_adopted", "version", active.Version)
}

// watches tells whether this daemon is the one of its zone that waits on the
// store: the live one with the lowest instance name.
func (c *control) watches(now time.Time) bool {
	for _, m := range c.members.table.Live(now) {
		if m.Zone == c.d.identity.Zone && m.Instance < c.d.identity.Instance {
			return false
		}
	}
	return true
}

// followConfig reads the configuration once, then waits for changes of it as
// long as this daemon is its zone's watcher.
func (d *Daemon) followConfig(ctx context.Context) {
	revision := uint64(0)
	for ctx.Err() == nil {
		if revision > 0 && !d.view.Load().Self.Watches {
			sleep(ctx, watchPause)
			continue
		}
		asked := time.Now()
		entry, err := d.readConfig(ctx, revision)
		if err != nil {
			if !errors.Is(err, platform.ErrNotFound) {
				d.log.Debug("config_not_read", "err", err)
			}
			sleep(ctx, watchPause)
			continue
		}
		revision = entry.Revision
		record, err := config.ParseRecord(entry.Value)
		if err != nil {
			d.log.Error("config_unreadable", "err", err)
			sleep(ctx, watchPause)
			continue
		}
		d.control.send(recordFound{record: record, confirmed: asked})
	}
}

func (d *Daemon) readConfig(ctx context.Context, revision uint64) (platform.Entry, error) {
	if revision == 0 {
		return d.store.Get(ctx, config.StoreKey)
	}
	return d.store.Watch(ctx, config.StoreKey, revision, watchWait)
}

// Pull answers a peer that has an older version; it implements
// peer.DRPCConfigurationServer.
func (d *Daemon) Pull(ctx context.Context, in *peer.PullRequest) (*peer.PullReply, error) {
	ask := recordWanted{have: in.HaveVersion, reply: make(chan *config.Record, 1)}
	d.control.send(ask)
	select {
	case record := <-ask.reply:
		if record == nil {
			return &peer.PullReply{}, nil
		}
		raw, err := json.Marshal(record)
		return &peer.PullReply{Record: raw}, errors.Wrap(err, "encode record")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// recordWanted: a peer asks for a record above the version it has.
type recordWanted struct {
	have  uint64
	reply chan *config.Record
}

func (m recordWanted) apply(c *control) {
	if c.config.version() > m.have {
		m.reply <- c.config.record
		return
	}
	m.reply <- nil
}

// pullFrom asks a peer for its configuration if it has a higher version.
func (c *control) pullFrom(m membership.Member) {
	if m.ConfigVersion <= c.config.version() || c.config.pulling[m.Instance] {
		return
	}
	c.config.pulling[m.Instance] = true
	have := c.config.version()
	c.d.spawn(func(ctx context.Context) {
		c.d.pull(ctx, m.Peers, have)
		c.send(pullDone{m.Instance})
	})
}

// pullDone: a pull from a peer ended, with or without a record.
type pullDone struct{ instance string }

func (m pullDone) apply(c *control) { delete(c.config.pulling, m.instance) }

func (d *Daemon) pull(ctx context.Context, address string, have uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := peer.NewDRPCConfigurationClient(d.conns.To(ctx, address)).Pull(ctx, &peer.PullRequest{HaveVersion: have})
	if err != nil || len(reply.Record) == 0 {
		d.log.Debug("pull_failed", "peer", address, "err", err)
		return
	}
	record, err := config.ParseRecord(reply.Record)
	if err != nil {
		d.log.Warn("pull_unreadable", "peer", address, "err", err)
		return
	}
	d.control.send(recordFound{record: record})
}
