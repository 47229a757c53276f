package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/membership"
)

// leaveNoticeDelay is how long other daemons may still name this one in their lookup
// answers: until they hear that it leaves, or hear it no more. The lookup ttl
// runs from the last such answer; without the margin a caller that got it uses
// a listener that is closed.
const leaveNoticeDelay = membership.MemberTimeout

// slotReleaseTimeout bounds the passing on of slots: above two rounds of calls to a
// slow store, so that an outage of it does not hold a stop up for long.
const slotReleaseTimeout = 5 * time.Second

// Stop leaves the fleet and ends the daemon without cutting off a request: it
// leaves the lookup answers at once, waits until callers have looked elsewhere,
// lets what runs finish, and gives its slots back. ctx bounds it all.
//
// A connection that is kept alive and closed by the server while a request is
// on its way would cut that request off. While callers look elsewhere every
// answer therefore says "Connection: close": the caller closes, at a moment
// when nothing is on its way. Only connections that were idle all that time
// are closed from here.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info("stopping")
	leaving := make(chan struct{})
	d.control.send(leaveRequest{leaving})
	<-leaving
	sleep(ctx, leaveNoticeDelay+d.options.LookupTTL)
	err := d.drainRequests(ctx)
	d.transferPostings(ctx)
	d.releaseSlots(ctx)
	d.Kill()
	_ = d.tracing.Close(ctx)
	d.log.Info("stopped")
	return err
}

// transferReserve is kept of a stop's bound for passing postings and slots on:
// a request that hangs must not use it up, or every posting that this daemon
// remembers would be in doubt for good.
const transferReserve = 10 * time.Second

// drainRequests lets what runs end, for as long as the reserve stays.
func (d *Daemon) drainRequests(ctx context.Context) error {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return d.shutDownServers(ctx)
	}
	reserve := min(transferReserve, time.Until(deadline)/2)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-reserve))
	defer cancel()
	return d.shutDownServers(ctx)
}

// shutDownServers waits for the requests of all listeners, the callers' first: a
// caller's request may need this daemon's relay listener to the end.
func (d *Daemon) shutDownServers(ctx context.Context) error {
	var firstErr error
	for _, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrap(err, "shut down")
		}
	}
	return firstErr
}

// closeWhileLeaving asks for each connection to be closed by its user while the daemon
// leaves.
func (d *Daemon) closeWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.view.Load().Self.State == membership.StateLeaving {
			w = &connectionCloseWriter{ResponseWriter: w}
		}
		next.ServeHTTP(w, r)
	})
}

// connectionCloseWriter sets the header last: handlers strip hop-by-hop headers from
// what they copy, and would take it off again.
type connectionCloseWriter struct{ http.ResponseWriter }

func (w *connectionCloseWriter) WriteHeader(status int) {
	w.Header().Set("Connection", "close")
	w.ResponseWriter.WriteHeader(status)
}

func (w *connectionCloseWriter) Write(p []byte) (int, error) {
	w.Header().Set("Connection", "close")
	return w.ResponseWriter.Write(p)
}

// Flush keeps answers streaming.
func (w *connectionCloseWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *connectionCloseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// releaseSlots passes the slots and their levels to the zone's other daemons.
// Where the store does not answer within the bound the entries stay: others
// take the slots when this daemon's lease has lapsed.
func (d *Daemon) releaseSlots(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, slotReleaseTimeout)
	defer cancel()
	released := make(chan struct{})
	leaseID := make(chan uint64, 1)
	d.control.send(releaseRequest{released: released, leaseID: leaseID})
	select {
	case <-released:
	case <-ctx.Done():
		d.log.Warn("slots_not_given_up")
		return
	}
	if id := <-leaseID; id != 0 {
		if err := d.store.Revoke(ctx, id); err != nil {
			d.log.Debug("lease_not_revoked", "err", err)
		}
	}
}

// releaseRequest: no request runs any more; all slots are to go to mates.
type releaseRequest struct {
	released chan struct{}
	leaseID  chan uint64
}

func (m releaseRequest) apply(c *control) {
	m.leaseID <- c.slots.leaseID
	if c.activeConfig() == nil {
		close(m.released)
		return
	}
	c.slots.released = m.released
	c.slots.nextRoundAt = time.Time{}
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
