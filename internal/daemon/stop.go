package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/membership"
)

// leaveMargin is how long other daemons may still name this one in their lookup
// answers: until they hear that it leaves, or hear it no more. The lookup ttl
// runs from the last such answer; without the margin a caller that got it uses
// a listener that is closed.
const leaveMargin = membership.MemberTimeout

// giveUpBound bounds the passing on of slots: above two rounds of calls to a
// slow store, so that an outage of it does not hold a stop up for long.
const giveUpBound = 5 * time.Second

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
	left := make(chan struct{})
	d.control.send(leave{left})
	<-left
	sleep(ctx, leaveMargin+d.options.LookupTTL)
	first := d.finish(ctx)
	d.handOverPostings(ctx)
	d.giveUpSlots(ctx)
	d.Kill()
	_ = d.tracing.Close(ctx)
	d.log.Info("stopped")
	return first
}

// handOverReserve is kept of a stop's bound for passing postings and slots on:
// a request that hangs must not use it up, or every posting that this daemon
// remembers would be in doubt for good.
const handOverReserve = 10 * time.Second

// finish lets what runs end, for as long as the reserve stays.
func (d *Daemon) finish(ctx context.Context) error {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return d.shutDown(ctx)
	}
	reserve := min(handOverReserve, time.Until(deadline)/2)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-reserve))
	defer cancel()
	return d.shutDown(ctx)
}

// shutDown waits for the requests of all listeners, the callers' first: a
// caller's request may need this daemon's relay listener to the end.
func (d *Daemon) shutDown(ctx context.Context) error {
	var first error
	for _, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil && first == nil {
			first = errors.Wrap(err, "shut down")
		}
	}
	return first
}

// closing asks for each connection to be closed by its user while the daemon
// leaves.
func (d *Daemon) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.view.Load().Self.State == membership.StateLeaving {
			w = &closingWriter{ResponseWriter: w}
		}
		next.ServeHTTP(w, r)
	})
}

// closingWriter sets the header last: handlers strip hop-by-hop headers from
// what they copy, and would take it off again.
type closingWriter struct{ http.ResponseWriter }

func (w *closingWriter) WriteHeader(status int) {
	w.Header().Set("Connection", "close")
	w.ResponseWriter.WriteHeader(status)
}

func (w *closingWriter) Write(p []byte) (int, error) {
	w.Header().Set("Connection", "close")
	return w.ResponseWriter.Write(p)
}

// Flush keeps answers streaming.
func (w *closingWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// giveUpSlots passes the slots and their levels to the zone's other daemons.
// Where the store does not answer within the bound the entries stay: others
// take the slots when this daemon's lease has lapsed.
func (d *Daemon) giveUpSlots(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, giveUpBound)
	defer cancel()
	given := make(chan struct{})
	lease := make(chan uint64, 1)
	d.control.send(giveUp{given: given, lease: lease})
	select {
	case <-given:
	case <-ctx.Done():
		d.log.Warn("slots_not_given_up")
		return
	}
	if id := <-lease; id != 0 {
		if err := d.store.Revoke(ctx, id); err != nil {
			d.log.Debug("lease_not_revoked", "err", err)
		}
	}
}

// giveUp: no request runs any more; all slots are to go to mates.
type giveUp struct {
	given chan struct{}
	lease chan uint64
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
