package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

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
	if lease := d.lease; lease != "" {
		_ = d.store.Revoke(ctx, lease)
	}
	d.Kill()
	_ = d.tracing.Close(ctx)
	d.log.Info("stopped")
	return first
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
