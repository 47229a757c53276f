package h1

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// defaultKeep is how long an idle connection is kept where the upstream
	// does not say: many servers close after five seconds or more.
	defaultKeep = 4 * time.Second
	// keepMargin is subtracted from what the upstream says: a request must
	// arrive before its close leaves, over 55 ms one way and a busy processor.
	keepMargin = 700 * time.Millisecond
	// maxIdle bounds the idle connections to one upstream. An entry host has
	// seldom more requests at one upstream than the upstream has slots.
	maxIdle = 6
	// sweepEvery is a small part of the shortest keep time.
	sweepEvery = time.Second
)

// Pool keeps connections to upstreams. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	now  func() time.Time

	rests rests

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(dial func(ctx context.Context, network, address string) (net.Conn, error), now func() time.Time) *Pool {
	return &Pool{dial: dial, now: now, idle: map[string][]*conn{}}
}

// take returns a connection: the one used last, since it is the least likely
// to be closed by the upstream, or a new one. once is that of a Request.
func (p *Pool) take(ctx context.Context, address string, once bool) (*conn, error) {
	for c := p.pop(address); c != nil; c = p.pop(address) {
		now := p.now()
		c.rested = now.Sub(c.idleSince)
		if c.rested >= c.keepFor || !c.silent() {
			_ = c.Close()
			continue
		}
		if once && c.rested >= p.rests.allowed(now, address, c.keepFor) {
			// A request that may run twice can still use it, and the others have
			// rested for longer.
			p.push(c)
			break
		}
		return c, nil
	}
	began := p.now()
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, &UnsentError{Address: address, DialFailed: true, Cause: err}
	}
	c := newConn(raw, address)
	c.roundTrip = p.now().Sub(began)
	return c, nil
}

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

func (p *Pool) put(c *conn, keepFor time.Duration) {
	c.kept = true
	c.idleSince = p.now()
	c.keepFor = defaultKeep
	if keepFor > 0 {
		c.keepFor = max(keepFor-keepMargin, 0)
	}
	// A deadline left over from the last request would break the next one.
	if err := c.SetDeadline(time.Time{}); err != nil {
		_ = c.Close()
		return
	}
	p.push(c)
}

// push keeps an idle connection, unless there are enough.
func (p *Pool) push(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the idle connections to an address, because its upstream has
// gone or failed.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Run closes connections that have been idle for too long, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.sweep()
		}
	}
}

func (p *Pool) sweep() {
	now := p.now()
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.keepFor {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}
