package entryhost

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
	"balsambarrow/platform"
)

const (
	// leaseTime is how long a host that has died is counted by the others: what
	// its customers' shares wait for. Renewals cost a tenth of a call each.
	leaseTime = 5 * time.Second
	// renewEvery leaves room for two lost renewals.
	renewEvery = 1500 * time.Millisecond
	// standbyLease and standbyRenew are those of hosts that stand by, which hold no
	// share of any customer's rate.
	standbyLease = 20 * time.Second
	standbyRenew = 6 * time.Second
	// leaseMargin is how much earlier the host itself stops to spend: its last
	// renewal may have arrived as late as a slow store's answer.
	leaseMargin = time.Second
	// callBound bounds one call to the store.
	callBound = 1200 * time.Millisecond
	retryCall = 250 * time.Millisecond
	// registerWithin bounds how long the first registration waits for the first
	// listing, once that begins, and the first watch for the first registration.
	registerWithin = time.Second
	// yieldToStronger is how long a host with one core waits before it is the first to
	// register; one with less waits for longer, mostWait at most. Those that find
	// enough stronger ones register as hosts that stand by.
	yieldToStronger = 100 * time.Millisecond
	mostWait        = 500 * time.Millisecond
)

// registration is what keeps this host's entry in the store.
type registration struct {
	// written is when the entry was in the store, and kept when the last call left
	// that kept it.
	written, kept time.Time
	lease         time.Duration
	// spends says that it is the entry of a host that holds shares.
	spends bool
}

// registered tells whether the others count this host as one that holds shares, and it
// knows those that registered before. The lease of a host that stands by is long: cut
// off, it would go on spending for as long.
//
// Of two hosts that start together, the one that registers later must find the other,
// whose heartbeats it then makes itself known by. Otherwise both go on as the only
// host, and each gives out the whole rate of every customer.
func (c *control) registered(now time.Time) bool {
	r := c.registration
	return r.spends && !c.hostRegistrations.at.Before(r.written) && now.Sub(r.kept) < r.lease-leaseMargin
}

// registrar keeps this host's registration.
type registrar struct {
	d     *Daemon
	lease uint64
	// spends says that the lease is that of a host that holds shares.
	spends bool
	// registeredBefore says that an entry was written since the start, and written is
	// when the last one was.
	registeredBefore bool
	written          time.Time
	// kept is when the last call left that kept the registration.
	kept time.Time
	// done is closed after the first registration.
	done chan struct{}
}

func newRegistrar(d *Daemon) *registrar { return &registrar{d: d, done: make(chan struct{})} }

func (r *registrar) run(ctx context.Context) {
	r.awaitOthers(ctx)
	first := true
	for ctx.Err() == nil {
		pause := renewEvery
		if r.due() {
			if err := r.try(ctx, r.keep); err != nil {
				pause = r.retryPause()
			} else if first {
				first = false
				close(r.done)
			}
		}
		sleep(ctx, pause)
	}
	r.end()
}

// awaitOthers waits for the first listing, unless the host will take callers in any case,
// and where it has no other host lets stronger ones register first.
func (r *registrar) awaitOthers(ctx context.Context) {
	timeout := time.NewTimer(registerWithin + listAfter + listSpread)
	defer timeout.Stop()
	select {
	case <-r.d.listed:
	case <-r.d.needed:
		return
	case <-timeout.C:
		return
	case <-ctx.Done():
		return
	}
	if r.d.peersKnown.Load() {
		return
	}
	if cores := r.d.capacity().Cores; cores > 0 {
		sleep(ctx, min(time.Duration(float64(yieldToStronger)/cores), mostWait))
	}
	_ = r.try(ctx, r.readOthers)
}

// readOthers reads which hosts are registered.
func (r *registrar) readOthers(ctx context.Context) error {
	l, err := r.d.store.List(ctx, platform.HostPrefix, false)
	if err != nil {
		return err
	}
	known := make(chan struct{})
	r.d.control.send(func(c *control) {
		defer close(known)
		now := c.d.now()
		for _, item := range l.Items {
			c.hostRegistered(item)
		}
		c.listHosts(now)
		c.shouldBeActive(now, nil)
	})
	await(ctx, known, registerWithin)
	return nil
}

// retryPause is the pause after a call that failed. Each is paid for, and an entry that
// lapses while a host stands by decides little.
func (r *registrar) retryPause() time.Duration {
	if r.registeredBefore && !r.d.spends.Load() {
		return renewEvery
	}
	return retryCall
}

// due tells whether the lease is to be renewed, or to be exchanged because the host
// has begun or ended to hold shares.
func (r *registrar) due() bool {
	if r.lease == 0 || r.spends != r.d.spends.Load() || r.spends {
		return true
	}
	return r.d.now().Sub(r.kept) >= standbyRenew
}

// try makes one bounded call and logs why it failed.
func (r *registrar) try(ctx context.Context, call func(context.Context) error) error {
	bounded, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	err := call(bounded)
	if err != nil && ctx.Err() == nil {
		r.d.events.Debug("registration", "error", err)
	}
	return err
}

// keep renews the lease, or makes one and writes the entry under it.
func (r *registrar) keep(ctx context.Context) error {
	began, spends := r.d.now(), r.d.spends.Load()
	if r.lease != 0 && r.spends == spends {
		err := r.d.store.Renew(ctx, r.lease)
		if err == nil {
			r.tell(began)
		}
		if !errors.Is(err, kv.ErrLeaseExpired) {
			return err
		}
		r.d.events.Warn("registration lapsed", "lease", r.lease)
	}
	r.lease, r.spends = 0, spends
	lease, err := r.d.store.Grant(ctx, r.leaseTime())
	if err != nil {
		return err
	}
	if err := r.write(ctx, lease, spends); err != nil {
		return err
	}
	r.lease, r.written = lease, r.d.now()
	r.tell(began)
	if spends && (r.registeredBefore || r.d.lookWhenRegistered.Load()) {
		// What registered meanwhile is to be known before this host spends. At the start
		// the first watch follows, unless it did not wait, or a peer has told all.
		r.d.lookNow("registered")
	}
	r.registeredBefore = true
	r.d.events.Info("registered", "lease", lease, "spends", spends)
	return nil
}

func (r *registrar) leaseTime() time.Duration {
	if r.spends {
		return leaseTime
	}
	return standbyLease
}

func (r *registrar) write(ctx context.Context, lease uint64, spends bool) error {
	s, capacity := r.d.self, r.d.capacity()
	value, err := json.Marshal(fleet.Registration{
		Instance: s.Instance, Host: s.Name, Zone: s.Zone, Region: s.Region, Peers: s.Peers,
		Cores: capacity.Cores, LinkMbps: capacity.LinkMbps, StartedMs: r.d.startedWall.UnixMilli(), HoldsShares: spends,
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return r.d.store.Put(ctx, platform.HostPrefix+s.Instance, value, lease)
}

// tell tells the control thread that the registration was kept by a call that left at
// a time.
func (r *registrar) tell(began time.Time) {
	r.kept = began
	kept := registration{written: r.written, kept: began, lease: r.leaseTime(), spends: r.spends}
	if !r.spends {
		r.d.registeredOnce.Store(true)
	}
	r.d.control.send(func(c *control) { c.registration = kept })
}

// end gives the registration of a host that holds shares up, so that the others need
// not wait for it to lapse.
func (r *registrar) end() {
	if r.lease == 0 || !r.spends {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryCall)
	defer cancel()
	if err := r.d.store.Revoke(ctx, r.lease); err != nil {
		r.d.events.Debug("registration not ended", "error", err)
	}
}

// await waits until a channel is closed, for a time at most.
func await(ctx context.Context, done <-chan struct{}, most time.Duration) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	case <-t.C:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
