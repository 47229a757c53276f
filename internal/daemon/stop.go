package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// giveUpBound bounds the passing on of slots: above two rounds of calls to a
// slow store, so that an outage of it does not hold a stop up for long.
const giveUpBound = 5 * time.Second

// Stop leaves the fleet and ends the daemon without cutting off a request: it
// leaves the lookup answers, waits until callers have looked elsewhere, lets
// what runs finish, and gives its slots back.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info("stopping")
	left := make(chan struct{})
	d.control.send(leave{left})
	<-left
	sleep(ctx, d.options.LookupTTL)
	var first error
	for _, server := range d.servers {
		server.SetKeepAlivesEnabled(false)
	}
	for _, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil && first == nil {
			first = errors.Wrap(err, "shut down")
		}
	}
	d.handOverPostings(ctx)
	d.giveUpSlots(ctx)
	d.Kill()
	_ = d.tracing.Close(ctx)
	d.log.Info("stopped")
	return first
}

// giveUpSlots passes the slots and their levels to the zone's other daemons.
// Where the store does not answer within the bound the entries stay: others
// take the slots when this daemon's lease has lapsed.
func (d *Daemon) giveUpSlots(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, giveUpBound)
	defer cancel()
	given := make(chan struct{})
	lease := make(chan string, 1)
	d.control.send(giveUp{given: given, lease: lease})
	select {
	case <-given:
	case <-ctx.Done():
		d.log.Warn("slots_not_given_up")
		return
	}
	if id := <-lease; id != "" {
		if err := d.store.Revoke(ctx, id); err != nil {
			d.log.Debug("lease_not_revoked", "err", err)
		}
	}
}

// giveUp: no request runs any more; all slots are to go to mates.
type giveUp struct {
	given chan struct{}
	lease chan string
}

func (m giveUp) apply(c *control) {
	m.lease <- c.slots.lease
	if c.active() == nil {
		close(m.given)
		return
	}
	c.slots.givenUp = m.given
	c.slots.next = time.Time{}
}

// Kill ends the daemon at once, as a crash would. Tests use it.
func (d *Daemon) Kill() {
	d.cancel()
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.tasks.Wait()
	_ = d.conns.Close()
	d.client.Close()
	d.relayClient.Close()
	d.platform.Close()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
