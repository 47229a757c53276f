package entryhost

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"balsambarrow/internal/clock"
	"balsambarrow/internal/h1"
)

// Limits on callers' connections.
//
// Callers that retry after a refusal often open a new connection and leave the old one open. A
// customer that sends seven times its rate can thus exhaust the file descriptors of a host,
// which can then neither accept callers nor connect to upstreams. Three rules prevent this: a
// refusal closes its connection (see package front), connections that exceed the configured
// idle timeout are closed, and when many connections are open every response closes its
// connection.
const (
	// callerDescriptorFraction is the fraction of the file descriptors that callers'
	// connections may use before responses close their connections. The rest is for connections
	// to upstreams and peers, of which there are as many as running requests.
	callerDescriptorFraction = 0.5
	// idleCheckInterval is the time between two checks for idle connections.
	idleCheckInterval = time.Second
	// minIdle is how long a connection must have been idle to be closed in favour of a new one.
	minIdle = time.Second
)

// pastDeadline is a deadline that ends all reads immediately.
var pastDeadline = time.Unix(1, 0)

// callerConns tracks the connections of callers. It is safe for concurrent use.
type callerConns struct {
	mu sync.Mutex
	// idleSince holds, for each open connection, since when it has been idle. The zero time
	// means that the connection is not idle.
	idleSince map[net.Conn]time.Time
	// unused holds the open connections on which the server waits for a request.
	unused map[net.Conn]struct{}
	// ending is set once endUnused was called.
	ending bool
	// opened receives after a connection was opened.
	opened chan struct{}
}

func newCallerConns() *callerConns {
	return &callerConns{idleSince: map[net.Conn]time.Time{}, unused: map[net.Conn]struct{}{}, opened: make(chan struct{}, 1)}
}

// track is a ConnState hook of http.Server.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateNew {
		select {
		case c.opened <- struct{}{}:
		default:
		}
	}
	switch state {
	case http.StateNew:
		c.idleSince[conn], c.unused[conn] = time.Time{}, struct{}{}
	case http.StateActive:
		c.idleSince[conn] = time.Time{}
		delete(c.unused, conn)
		if c.ending {
			// The deadline may have been set after the request was read.
			_ = conn.SetReadDeadline(time.Time{})
		}
	case http.StateIdle:
		c.idleSince[conn], c.unused[conn] = clock.Now(), struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(c.idleSince, conn)
		delete(c.unused, conn)
	}
}

// endUnused ends the connections on which no request has arrived. A request that the server has already read is not
// interrupted.
func (c *callerConns) endUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	for conn := range c.unused {
		if !h1.HasPendingInput(conn) {
			_ = conn.SetReadDeadline(pastDeadline)
		}
	}
}

// count returns the number of open connections.
func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleSince)
}

// closeIdle closes the connections that have been idle for longer than maxIdle, unless a request has arrived on them.
func (c *callerConns) closeIdle(now time.Time, maxIdle time.Duration) {
	c.mu.Lock()
	var expired []net.Conn
	for conn, since := range c.idleSince {
		if !since.IsZero() && now.Sub(since) > maxIdle {
			expired = append(expired, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range expired {
		if h1.HasPendingInput(conn) {
			continue
		}
		// An error does not matter: the connection is not used again.
		_ = conn.Close()
	}
}

// closeLongestIdle closes the connection that has been idle for longest, if it has been idle for
// minIdle and no request has arrived on it, and reports whether there was one.
func (c *callerConns) closeLongestIdle(now time.Time) bool {
	for longest := c.takeLongestIdle(now); longest != nil; longest = c.takeLongestIdle(now) {
		if !h1.HasPendingInput(longest) {
			_ = longest.Close()
			return true
		}
	}
	return false
}

// takeLongestIdle returns the connection that has been idle for longest, and for minIdle; nil if there is none. The connection
// does not count as idle any more.
func (c *callerConns) takeLongestIdle(now time.Time) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var longest net.Conn
	for conn, since := range c.idleSince {
		if !since.IsZero() && now.Sub(since) >= minIdle && (longest == nil || since.Before(c.idleSince[longest])) {
			longest = conn
		}
	}
	if longest != nil {
		// Its state stays idle until the server notices.
		c.idleSince[longest] = time.Time{}
	}
	return longest
}

// closeIdleCallers closes callers' idle connections periodically, while there are connections,
// until ctx ends.
func (d *Daemon) closeIdleCallers(ctx context.Context) {
	for ctx.Err() == nil {
		if d.callerConns.count() == 0 {
			select {
			case <-ctx.Done():
			case <-d.callerConns.opened:
			}
			continue
		}
		sleep(ctx, idleCheckInterval)
		if c := d.state.Load().Catalog; c != nil && c.Limits.IdleTimeout > 0 {
			d.callerConns.closeIdle(d.now(), c.Limits.IdleTimeout)
		}
		if d.OnMemory != nil {
			d.OnMemory(d.budget.Usage().Total())
		}
	}
}

// nearConnectionLimit reports whether callers have so many connections open that each response
// should close its connection.
func (d *Daemon) nearConnectionLimit() bool {
	return d.nearDescriptorLimit() || d.budget.ManyConnections()
}

// nearDescriptorLimit is nearConnectionLimit by the number of descriptors.
func (d *Daemon) nearDescriptorLimit() bool {
	descriptors := d.settings.Load().Capacity.Descriptors
	return descriptors > 0 && float64(d.callerConns.count()) > callerDescriptorFraction*float64(descriptors)
}
