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
	// leaseMargin is how much earlier the host itself stops to spend: its last
	// renewal may have arrived as late as a slow store's answer.
	leaseMargin = time.Second
	// renewEvery leaves room for two lost renewals.
	renewEvery = 1500 * time.Millisecond
	// callBound bounds one call to the store.
	callBound = 1200 * time.Millisecond
	retryCall = 250 * time.Millisecond
)

// registrar keeps this host's registration.
type registrar struct {
	d     *Daemon
	lease uint64
}

func (r *registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := r.d.now()
		err := r.try(ctx, r.keep)
		if err == nil {
			r.d.control.send(func(c *control) { c.registeredAt = began })
		}
		pause := renewEvery
		if err != nil {
			pause = retryCall
		}
		sleep(ctx, pause)
	}
	r.end()
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
	if r.lease != 0 {
		err := r.d.store.Renew(ctx, r.lease)
		if !errors.Is(err, kv.ErrLeaseLapsed) {
			return err
		}
		r.d.events.Warn("registration lapsed", "lease", r.lease)
		r.lease = 0
	}
	lease, err := r.d.store.Grant(ctx, leaseTime)
	if err != nil {
		return err
	}
	s := r.d.self
	value, err := json.Marshal(fleet.Registration{Instance: s.Instance, Host: s.Name, Zone: s.Zone, Region: s.Region, Peers: s.Peers})
	if err != nil {
		return errors.WithStack(err)
	}
	if err := r.d.store.Put(ctx, platform.HostPrefix+s.Instance, value, lease); err != nil {
		return err
	}
	// Of two hosts that start together, the one that registers later finds the
	// other here, and its heartbeat makes itself known. Without this reading
	// both may go on for seconds as the only host, and each gives out the whole
	// rate of every customer: three hosts gave out 277 in five seconds for 218.
	l, err := r.d.store.List(ctx, platform.HostPrefix, false)
	if err != nil {
		return err
	}
	r.lease = lease
	r.d.control.send(func(c *control) {
		for _, item := range l.Items {
			c.hostRegistered(item)
		}
		c.listHosts(c.d.now())
	})
	r.d.events.Info("registered", "lease", lease)
	return nil
}

// end gives the registration up, so that the others need not wait for it to
// lapse.
func (r *registrar) end() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryCall)
	defer cancel()
	if err := r.d.store.End(ctx, r.lease); err != nil {
		r.d.events.Debug("registration not ended", "error", err)
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
