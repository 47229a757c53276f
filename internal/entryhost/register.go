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
	// activeLeaseTTL is how long peers count a host that holds rate shares after it has died,
	// and thus how long the rate shares of customers stay reduced. Each renewal costs a tenth
	// of a store call.
	leaseTime = 5 * time.Second
	// renewInterval leaves room for two lost renewals.
	renewEvery = 1500 * time.Millisecond
	// standbyLeaseTTL and standbyRenewInterval apply to standbys, which hold no rate shares.
	standbyLease = 20 * time.Second
	standbyRenew = 6 * time.Second
	// leaseMargin is how much before the end of its lease a host stops granting tokens. The
	// last renewal may have reached the store as late as the response of a slow store.
	leaseMargin = time.Second
	// storeCallTimeout bounds one call to the store.
	callBound = 1200 * time.Millisecond
	retryCall = 250 * time.Millisecond
	// registrationTimeout bounds how long the first registration waits for the first listing
	// once that has begun, and how long the first watch waits for the first registration.
	registerWithin = time.Second
	// registrationDelay is how long a host with one core waits before it registers if it knows
	// no other host. A host with less than one core waits longer, up to maxRegistrationDelay,
	// so that stronger hosts register first. A host that then finds enough stronger hosts
	// registers as a standby.
	yieldToStronger = 100 * time.Millisecond
	mostWait        = 500 * time.Millisecond
)

// registration describes this host's entry in the store.
type registration struct {
	// writtenAt is when the entry was known to be in the store, and renewedAt when the last
	// successful renewal was sent.
	written, kept time.Time
	lease         time.Duration
	// holdsShares is set if the entry is that of a host that holds rate shares.
	spends bool
}

// mayHoldShares reports whether peers count this host as one that holds rate shares, and this
// host knows all hosts that registered before it. A standby may not hold shares: its lease is
// so long that it would go on granting tokens for that long after a network partition.
//
// Of two hosts that start together, the one that registers later must find the other and make
// itself known by heartbeats. Otherwise each acts as the only host and grants the full rate of
// every customer.
func (c *control) registered(now time.Time) bool {
	r := c.registration
	return r.spends && !c.hostRegistrations.at.Before(r.written) && now.Sub(r.kept) < r.lease-leaseMargin
}

// registrar maintains this host's registration.
type registrar struct {
	d     *Daemon
	lease uint64
	// holdsShares is set if the lease is that of a host that holds rate shares.
	spends bool
	// registeredBefore is set once an entry was written since the start, and writtenAt is when
	// the last entry was written.
	registeredBefore bool
	written          time.Time
	// renewedAt is when the last successful grant or renewal was sent.
	kept time.Time
	// registered is closed after the first registration.
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

// awaitPeers waits for the first listing, unless the host will be active in any case. If the
// listing contains no other host, it lets stronger hosts register first.
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

// readPeers reads the registered hosts.
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

// retryPause returns the pause after a failed call. Each call costs money, and it matters
// little if the entry of a standby expires.
func (r *registrar) retryPause() time.Duration {
	if r.registeredBefore && !r.d.spends.Load() {
		return renewEvery
	}
	return retryCall
}

// due reports whether the lease is to be renewed, or replaced because the host has started or
// ceased to hold rate shares.
func (r *registrar) due() bool {
	if r.lease == 0 || r.spends != r.d.spends.Load() || r.spends {
		return true
	}
	return r.d.now().Sub(r.kept) >= standbyRenew
}

// try makes one call with a timeout and logs an error.
func (r *registrar) try(ctx context.Context, call func(context.Context) error) error {
	bounded, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	err := call(bounded)
	if err != nil && ctx.Err() == nil {
		r.d.events.Debug("registration", "error", err)
	}
	return err
}

// renewOrRegister renews the lease, or obtains a lease and writes the entry under it.
func (r *registrar) keep(ctx context.Context) error {
	began, spends := r.d.now(), r.d.spends.Load()
	if r.lease != 0 && r.spends == spends {
		err := r.d.store.Renew(ctx, r.lease)
		if err == nil {
			r.tell(began)
		}
		if !errors.Is(err, kv.ErrLeaseLapsed) {
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
		// The hosts that registered in the meantime must be known before this host grants
		// tokens. At the start the first watch reads them, unless the watch did not wait for
		// the registration or a peer has sent the full state.
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
		Cores: capacity.Cores, LinkMbps: capacity.LinkMbps, StartedMs: r.d.startedWall.UnixMilli(), Spends: spends,
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return r.d.store.Put(ctx, platform.HostPrefix+s.Instance, value, lease)
}

// noteRenewed passes to the control goroutine that the registration was renewed by a call that
// was sent at a given time.
func (r *registrar) tell(began time.Time) {
	r.kept = began
	kept := registration{written: r.written, kept: began, lease: r.leaseTime(), spends: r.spends}
	if !r.spends {
		r.d.registeredOnce.Store(true)
	}
	r.d.control.send(func(c *control) { c.registration = kept })
}

// endLease ends the lease of a host that holds rate shares, so that peers need not wait for it
// to expire.
func (r *registrar) end() {
	if r.lease == 0 || !r.spends {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryCall)
	defer cancel()
	if err := r.d.store.End(ctx, r.lease); err != nil {
		r.d.events.Debug("registration lease not ended", "error", err)
	}
}

// await waits until a channel is closed, at most for a given time.
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
