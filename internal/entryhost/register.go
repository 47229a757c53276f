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
	activeLeaseTTL = 5 * time.Second
	// renewInterval leaves room for two lost renewals.
	renewInterval = 1500 * time.Millisecond
	// standbyLeaseTTL and standbyRenewInterval apply to standbys, which hold no rate shares.
	standbyLeaseTTL      = 20 * time.Second
	standbyRenewInterval = 6 * time.Second
	// leaseMargin is how long before the end of its lease a host stops granting tokens. The
	// last renewal may have reached the store as late as the response of a slow store.
	leaseMargin = time.Second
	// storeCallTimeout bounds one call to the store.
	storeCallTimeout = 1200 * time.Millisecond
	// storeRetryDelay is the pause after a failed call, and the timeout of the call that ends
	// the lease.
	storeRetryDelay = 250 * time.Millisecond
	// registrationTimeout bounds how long the first registration waits for the first listing
	// after the listing has begun, and how long the first watch waits for the first
	// registration.
	registrationTimeout = time.Second
	// registrationDelay is how long a host with one core waits before it registers if it knows
	// no other host. A host with less than one core waits longer, up to maxRegistrationDelay,
	// so that stronger hosts register first. A host that then finds enough stronger hosts
	// registers as a standby.
	registrationDelay    = 100 * time.Millisecond
	maxRegistrationDelay = 500 * time.Millisecond
)

// registration describes this host's entry in the store.
type registration struct {
	// writtenAt is when the entry was known to be in the store, and renewedAt when the last
	// successful renewal was sent.
	writtenAt, renewedAt time.Time
	lease                time.Duration
	// holdsShares is set if the entry is that of a host that holds rate shares.
	holdsShares bool
}

// validUntil returns until when the registration is certainly in the store.
func (r registration) validUntil() time.Time { return r.renewedAt.Add(r.lease - leaseMargin) }

// updateCounted updates until when peers count this host. It begins when this host knows all hosts
// that registered before it.
func (c *control) updateCounted(now time.Time) {
	r := c.ownRegistration
	known := !c.countedUntil.IsZero() || !c.hosts.confirmedAt.Before(r.writtenAt)
	c.countedUntil = time.Time{}
	if known && now.Before(r.validUntil()) {
		c.countedUntil = r.validUntil()
	}
}

// slackUnused reports whether no other process can have used the slack of the retry budget.
func (c *control) slackUnused(now time.Time) bool {
	return now.Before(c.firstUntil) && c.members.Count() == 1
}

// mayHoldShares reports whether peers count this host as one that holds rate shares, and this
// host knows all hosts that registered before it. A standby may not hold shares: during a
// network partition it would go on granting tokens until the end of its long lease.
//
// Of two hosts that start together, the one that registers later must find the other and make
// itself known by heartbeats. Otherwise each acts as the only host and grants the full rate of
// every customer.
func (c *control) mayHoldShares(now time.Time) bool {
	r := c.ownRegistration
	return r.holdsShares && !c.hosts.confirmedAt.Before(r.writtenAt) && now.Before(r.validUntil())
}

// registrar maintains this host's registration.
type registrar struct {
	d     *Daemon
	lease uint64
	// holdsShares is set if the lease is that of a host that holds rate shares.
	holdsShares bool
	// registeredBefore is set once an entry was written since the start, and writtenAt is when
	// the last entry was written.
	registeredBefore bool
	writtenAt        time.Time
	// renewedAt is when the last successful grant or renewal was sent.
	renewedAt time.Time
	// registered is closed after the first registration.
	registered chan struct{}
}

func newRegistrar(d *Daemon) *registrar { return &registrar{d: d, registered: make(chan struct{})} }

func (r *registrar) run(ctx context.Context) {
	r.awaitPeers(ctx)
	first := true
	for ctx.Err() == nil {
		if err := r.try(ctx, r.renewOrRegister); err != nil {
			sleep(ctx, r.retryPause())
			continue
		}
		if first {
			first = false
			close(r.registered)
		}
		r.awaitRenewal(ctx)
	}
	r.endLease()
}

// awaitRenewal waits until the lease is to be renewed, or replaced because whether the host should
// hold rate shares has changed.
func (r *registrar) awaitRenewal(ctx context.Context) {
	interval := renewInterval
	if !r.holdsShares {
		interval = standbyRenewInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for r.holdsShares == r.d.wantsShares.Load() && !r.d.overwritten.Load() {
		select {
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-r.d.wakeRegistrar:
		}
	}
	// Changes that follow each other closely cause one registration.
	sleep(ctx, storeRetryDelay)
}

// setWantsShares sets whether this host should hold rate shares.
func (d *Daemon) setWantsShares(wants bool) {
	if d.wantsShares.Swap(wants) == wants {
		return
	}
	select {
	case d.wakeRegistrar <- struct{}{}:
	default:
	}
}

// registerAgain makes the host register again after its registration was overwritten.
func (d *Daemon) registerAgain() {
	d.overwritten.Store(true)
	select {
	case d.wakeRegistrar <- struct{}{}:
	default:
	}
}

// awaitPeers waits for the first listing, unless the host will be active in any case. If the
// listing contains no other host, it lets stronger hosts register first.
func (r *registrar) awaitPeers(ctx context.Context) {
	timeout := time.NewTimer(registrationTimeout + peerStateDelay + peerStateWindow)
	defer timeout.Stop()
	select {
	case <-r.d.listed:
	case <-r.d.willBeActive:
		return
	case <-timeout.C:
		return
	case <-ctx.Done():
		return
	}
	if r.d.hasPeers.Load() {
		return
	}
	if cores := r.d.capacity().Cores; cores > 0 {
		sleep(ctx, min(time.Duration(float64(registrationDelay)/cores), maxRegistrationDelay))
	}
	_ = r.try(ctx, r.readPeers)
}

// readPeers reads the registered hosts.
func (r *registrar) readPeers(ctx context.Context) error {
	l, err := r.d.store.List(ctx, platform.HostPrefix, false)
	if err != nil {
		return err
	}
	applied := make(chan struct{})
	r.d.control.send(func(c *control) {
		defer close(applied)
		now := c.d.now()
		events := make([]kv.Event, 0, len(l.Items))
		for _, item := range l.Items {
			events = append(events, kv.Event{Item: item})
		}
		c.applyChanges(now, events)
		c.shouldBeActive(now, nil)
	})
	await(ctx, applied, registrationTimeout)
	return nil
}

// retryPause returns the pause after a failed call. Each call costs money, and it matters
// little if the entry of a standby expires.
func (r *registrar) retryPause() time.Duration {
	if r.registeredBefore && !r.d.wantsShares.Load() {
		return renewInterval
	}
	return storeRetryDelay
}

// try makes one call with a timeout and logs an error.
func (r *registrar) try(ctx context.Context, call func(context.Context) error) error {
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	err := call(bounded)
	if err != nil && ctx.Err() == nil {
		r.d.events.Debug("registration", "error", err)
	}
	return err
}

// renewOrRegister renews the lease, or obtains a lease and writes the entry under it.
func (r *registrar) renewOrRegister(ctx context.Context) error {
	sentAt, wantsShares := r.d.now(), r.d.wantsShares.Load()
	if overwritten := r.d.overwritten.Swap(false); r.lease != 0 && r.holdsShares == wantsShares && !overwritten {
		err := r.d.store.Renew(ctx, r.lease)
		if err == nil {
			r.noteRenewed(sentAt)
		}
		if !errors.Is(err, kv.ErrLeaseExpired) {
			return err
		}
		r.d.events.Warn("registration lapsed", "lease", r.lease)
	}
	r.lease, r.holdsShares = 0, wantsShares
	lease, err := r.d.store.Grant(ctx, r.leaseTTL())
	if err != nil {
		return err
	}
	if err := r.write(ctx, lease, wantsShares); err != nil {
		return err
	}
	r.lease, r.writtenAt = lease, r.d.now()
	r.noteRenewed(sentAt)
	if wantsShares && (r.registeredBefore || r.d.readWhenRegistered.Load()) {
		// The hosts that registered in the meantime must be known before this host grants
		// tokens. At the start the first watch reads them, unless the watch did not wait for
		// the registration or a peer has sent the full state.
		r.d.readStoreNow("registered")
	}
	r.registeredBefore = true
	r.d.events.Info("registered", "lease", lease, "spends", wantsShares)
	return nil
}

func (r *registrar) leaseTTL() time.Duration {
	if r.holdsShares {
		return activeLeaseTTL
	}
	return standbyLeaseTTL
}

func (r *registrar) write(ctx context.Context, lease uint64, holdsShares bool) error {
	s, capacity := r.d.self, r.d.capacity()
	value, err := json.Marshal(fleet.Registration{
		Instance: s.Instance, Host: s.Name, Zone: s.Zone, Region: s.Region, Peers: s.Peers,
		Cores: capacity.Cores, LinkMbps: capacity.LinkMbps, StartedMs: r.d.startedWall.UnixMilli(), HoldsShares: holdsShares,
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return r.d.store.Put(ctx, platform.HostPrefix+s.Instance, value, lease)
}

// noteRenewed records that the registration was renewed by a call that was sent at sentAt, and
// notifies the control thread.
func (r *registrar) noteRenewed(sentAt time.Time) {
	r.renewedAt = sentAt
	renewed := registration{writtenAt: r.writtenAt, renewedAt: sentAt, lease: r.leaseTTL(), holdsShares: r.holdsShares}
	if !r.holdsShares {
		r.d.fallbackAllowed.Store(true)
	}
	r.d.control.send(func(c *control) { c.ownRegistration = renewed })
}

// endLease ends the lease of a host that holds rate shares, so that peers need not wait for it
// to expire.
func (r *registrar) endLease() {
	if r.lease == 0 || !r.holdsShares {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeRetryDelay)
	defer cancel()
	if err := r.d.store.Revoke(ctx, r.lease); err != nil {
		r.d.events.Debug("registration lease not ended", "error", err)
	}
}

// await waits until a channel is closed, at most for a given time.
func await(ctx context.Context, done <-chan struct{}, timeout time.Duration) {
	t := time.NewTimer(timeout)
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
