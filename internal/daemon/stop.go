package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/relay"
	"balsambarrow/internal/wire"
)

// leaveNoticeDelay is how long other daemons may still name this daemon in
// their lookup responses: until they learn that it is leaving or no longer
// consider it live. The lookup TTL runs from the last such response. Without
// this delay, a caller that received the response could connect to a closed
// listener.
const leaveNoticeDelay = membership.MemberTimeout

// slotReleaseTimeout limits the release of the slots. It exceeds two rounds of
// calls to a slow store, and is short enough that a store outage does not delay
// a stop for long.
const slotReleaseTimeout = 5 * time.Second

// Stop leaves the fleet and stops the daemon without aborting a request. The
// daemon removes itself from the lookup responses at once, waits until callers
// have looked up other hosts, lets the running requests finish, and transfers
// its postings and slots. ctx limits the total time. Requests whose deadline is
// after the stop are refused.
//
// If the server closed a keep-alive connection while a request was in transit,
// that request would be lost. While callers look up other hosts, every response
// therefore carries "Connection: close", and the caller closes the connection
// when no request is in transit. The server closes only connections that were
// idle during that entire time.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info("stopping")
	leaving := make(chan struct{})
	d.control.send(leaveRequest{leaving})
	<-leaving
	notice := leaveNoticeDelay + d.options.LookupTTL
	drainCtx, cancel := drainContext(ctx, time.Now().Add(notice))
	defer cancel()
	if end, limited := drainCtx.Deadline(); limited {
		d.answersUntil.Store(&end)
	}
	sleep(ctx, notice)
	err := d.shutDownServers(drainCtx)
	d.transferPostings(ctx)
	d.releaseSlots(ctx)
	d.Kill()
	_ = d.tracing.Close(ctx)
	d.log.Info("stopped")
	return err
}

// transferReserve is the part of a stop's time limit that is reserved for the
// transfer of postings and slots. A hanging request must not consume it,
// because the outcome of every posting recorded in this daemon would then stay
// unknown permanently.
const transferReserve = 10 * time.Second

// drainContext returns the context of the requests that still run during a stop. It
// ends when only transferReserve remains, or a quarter of the time from the end of the
// notice to the callers if that is shorter.
func drainContext(ctx context.Context, noticeEnd time.Time) (context.Context, context.CancelFunc) {
	deadline, limited := ctx.Deadline()
	if !limited {
		return context.WithCancel(ctx)
	}
	reserve := min(transferReserve, deadline.Sub(noticeEnd)/4)
	return context.WithDeadline(ctx, deadline.Add(-reserve))
}

// stopRetryAfter is the Retry-After time of calls that a stopping daemon refuses.
// Other daemons can run them at once.
const stopRetryAfter = 10 * time.Millisecond

// checkStop refuses a call whose deadline is after the end of the planned stop: the
// stop might abort it while an upstream works on it.
func (d *Daemon) checkStop(call *wire.Call) *wire.Problem {
	if end := d.answersUntil.Load(); end == nil || !call.Deadline.After(*end) {
		return nil
	}
	return wire.NotRunProblem(wire.TypeNoRoom, "this daemon stops before the time limit of the request", stopRetryAfter)
}

// stopGuard refuses the calls of peers that a planned stop might abort.
type stopGuard struct {
	next  relay.Runner
	check func(call *wire.Call) *wire.Problem
}

// Run implements relay.Runner.
func (s *stopGuard) Run(ctx context.Context, call *wire.Call) (*wire.Response, *wire.Problem) {
	if problem := s.check(call); problem != nil {
		return nil, problem
	}
	return s.next.Run(ctx, call)
}

// shutDownServers waits for the requests of all listeners. The callers'
// listener is first, because a caller's request may need this daemon's relay
// listener until its end.
func (d *Daemon) shutDownServers(ctx context.Context) error {
	var firstErr error
	for _, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrap(err, "daemon: shut down a server")
		}
	}
	return firstErr
}

// closeWhileLeaving asks clients to close their connections while the daemon is
// leaving.
func (d *Daemon) closeWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.view.Load().Self.State == membership.StateLeaving {
			w = &connectionCloseWriter{ResponseWriter: w}
		}
		next.ServeHTTP(w, r)
	})
}

// connectionCloseWriter sets the header just before the response header is
// written. Handlers remove hop-by-hop headers from the response that they copy,
// and would remove a header that was set earlier.
type connectionCloseWriter struct{ http.ResponseWriter }

func (w *connectionCloseWriter) WriteHeader(status int) {
	w.Header().Set("Connection", "close")
	w.ResponseWriter.WriteHeader(status)
}

func (w *connectionCloseWriter) Write(p []byte) (int, error) {
	w.Header().Set("Connection", "close")
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher, so that responses can be streamed.
func (w *connectionCloseWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap gives http.ResponseController access to the connection.
func (w *connectionCloseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// releaseSlots transfers the slots and their levels to the other daemons of the
// zone. If the store does not respond within slotReleaseTimeout, its entries
// stay unchanged, and other daemons take the slots when this daemon's lease has
// expired.
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

// releaseRequest starts the release of all slots to the peers of the zone. It
// is sent when no request runs any more.
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

// Kill ends the daemon at once, like a crash. Tests use it, and so does
// balsambarrowd after a listener has failed.
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
