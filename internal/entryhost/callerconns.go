package entryhost

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"balsambarrow/internal/clock"
)

// Callers' connections.
//
// Load pattern: a customer sends seven times its rate. Each request that is
// refused comes back on a new connection, and the old one is kept open for
// nothing. A host at its limit of descriptors can neither accept callers nor reach
// upstreams. So a refusal closes its connection (see front), connections that have been
// idle for as long as operators allow are closed, and where many are open each
// answer closes its own.
const (
	// crowdedPart of the descriptors in use by callers makes answers close their
	// connections. The rest is for those to upstreams and peers, of which there
	// are as many as requests that run.
	crowdedPart = 0.5
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = time.Second
)

// callerConns tracks the connections of callers. It is safe for concurrent use.
type callerConns struct {
	mu sync.Mutex
	// idle holds since when each open connection has been idle; the zero time
	// stands for one that is not.
	idle map[net.Conn]time.Time
}

func newCallerConns() *callerConns { return &callerConns{idle: map[net.Conn]time.Time{}} }

// track is a ConnState hook.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		c.idle[conn] = time.Time{}
	case http.StateIdle:
		c.idle[conn] = clock.Now()
	case http.StateClosed, http.StateHijacked:
		delete(c.idle, conn)
	}
}

// count is the number of open connections.
func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle)
}

// sweep closes connections that have been idle for longer than most.
func (c *callerConns) sweep(now time.Time, most time.Duration) {
	c.mu.Lock()
	var expired []net.Conn
	for conn, since := range c.idle {
		if !since.IsZero() && now.Sub(since) > most {
			expired = append(expired, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range expired {
		// Whatever Close says, the connection is of no use any more.
		_ = conn.Close()
	}
}

// sweepCallers closes callers' idle connections until ctx ends.
func (d *Daemon) sweepCallers(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if c := d.state.Load().Catalog; c != nil && c.Limits.IdleTimeout > 0 {
			d.callerConns.sweep(d.now(), c.Limits.IdleTimeout)
		}
	}
}

// crowded tells whether callers have so many connections open that answers
// should close theirs.
func (d *Daemon) crowded() bool {
	most := d.settings.Load().Capacity.Descriptors
	return most > 0 && float64(d.callerConns.count()) > crowdedPart*float64(most)
}
