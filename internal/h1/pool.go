package h1

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the upstream does
	// not announce an idle timeout: many servers close idle connections after five
	// seconds or more.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that the upstream
	// announces. A request must arrive before the upstream closes the connection,
	// with a one-way delay of 55 ms and a busy processor.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxIdlePerAddress is the maximum number of idle connections to one upstream.
	// An entry host seldom has more requests running at an upstream than the
	// upstream has slots.
	maxIdlePerAddress = 6
	// sweepInterval is short compared to the idle timeouts.
	sweepInterval = time.Second
)

// Paths decides which connections of a Pool may be used, if the network paths to upstreams change.
// A connection is relayed if its remote address differs from that of the upstream.
type Paths interface {
	// Reusable reports whether an idle connection may carry a request.
	Reusable(remote string, relayed bool) bool
	// Keep reports whether a connection is to be kept after a request.
	Keep(remote string, relayed bool) bool
	// RecordLost records that a connection has broken without a response. It may wait, until ctx
	// ends, so that the request is sent again on a better path.
	RecordLost(ctx context.Context, remote string, relayed bool)
}

// Pool is a pool of connections to upstreams. It is safe for concurrent use.
type Pool struct {
	// Paths is optional. It must be set before the first request.
	Paths Paths

	dial func(ctx context.Context, network, address string) (net.Conn, error)
	now  func() time.Time

	idleLimits idleLimits

	mu   sync.Mutex
	idle map[string][]*conn
	// sweeping is set while a sweep is scheduled.
	sweeping bool
}

// NewPool returns an empty pool.
func NewPool(dial func(ctx context.Context, network, address string) (net.Conn, error), now func() time.Time) *Pool {
	return &Pool{dial: dial, now: now, idle: map[string][]*conn{}}
}

// acquire returns the idle connection that was used last, since the upstream is the
// least likely to have closed that one, or else a new connection.
func (p *Pool) acquire(ctx context.Context, address string, r *Request) (*conn, error) {
	if r.NewConnection {
		return p.open(ctx, address)
	}
	for c := p.pop(address); c != nil; c = p.pop(address) {
		now := p.now()
		c.idleTime = now.Sub(c.idleSince)
		if c.idleTime >= c.idleTimeout || !c.noPendingInput() || !p.reusable(c) {
			c.closeOrderly()
			continue
		}
		if r.NonIdempotent && c.idleTime >= p.idleLimits.maxIdleTime(now, address, c.idleTimeout) {
			// Idempotent requests can still use this connection. The remaining
			// connections have been idle for longer.
			p.push(c)
			break
		}
		return c, nil
	}
	return p.open(ctx, address)
}

// open opens a new connection.
func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	dialStart := p.now()
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, &UnsentError{Address: address, DialFailed: true, Cause: err}
	}
	c := newConn(raw, address)
	c.roundTrip = p.now().Sub(dialStart)
	return c, nil
}

// Add adds a connection to an upstream that has carried no request yet. The pool closes it if it cannot be used.
func (p *Pool) Add(raw net.Conn, address string) { p.release(newConn(raw, address), 0) }

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// release makes a connection available for the next request. keepAlive is that of
// Response.Close.
func (p *Pool) release(c *conn, keepAlive time.Duration) {
	c.reused = true
	c.idleSince = p.now()
	c.idleTimeout = defaultIdleTimeout
	if keepAlive > 0 {
		c.idleTimeout = max(keepAlive-idleTimeoutMargin, 0)
	}
	// A deadline set for the previous request would interrupt the next one.
	if err := c.SetDeadline(time.Time{}); err != nil || p.Paths != nil && !p.Paths.Keep(c.remote, c.relayed()) {
		c.closeOrderly()
		return
	}
	p.push(c)
}

// push adds an idle connection, or closes it if there are maxIdlePerAddress.
func (p *Pool) push(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		c.closeOrderly()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

func (p *Pool) reusable(c *conn) bool {
	return p.Paths == nil || p.Paths.Reusable(c.remote, c.relayed())
}

// ForgetResets forgets that connections were reset. It is called when that turns out to be, or to
// have been, the trouble of this host.
func (p *Pool) ForgetResets() { p.idleLimits.reset() }

// CloseUnusable closes the idle connections that may not carry another request; see Paths.
func (p *Pool) CloseUnusable() { p.closeIdle(func(c *conn) bool { return !p.reusable(c) }) }

// HasOpenIdle reports whether an idle connection to an address is still open.
func (p *Pool) HasOpenIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[address], (*conn).noPendingInput)
}

// CloseIdle closes the idle connections to an address. It is called when the
// upstream is unreachable because it was removed or has failed.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.closeOrderly()
	}
}

// sweep closes connections whose idle timeout has expired. It runs as long as there are idle
// connections.
func (p *Pool) sweep() {
	now := p.now()
	p.closeIdle(func(c *conn) bool { return now.Sub(c.idleSince) >= c.idleTimeout })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sweeping = len(p.idle) > 0; p.sweeping {
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// closeIdle closes the idle connections for which unusable returns true.
func (p *Pool) closeIdle(unusable func(*conn) bool) {
	var closing []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if unusable(c) {
				closing = append(closing, c)
			} else {
				kept = append(kept, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.closeOrderly()
	}
}
