package tunnel

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// slowDial is how long a direct dial may take before the links are checked. It covers three
	// round trips to the farthest region.
	slowDial = 200 * time.Millisecond
	// checkTimeout bounds the direct dials of a check.
	checkTimeout = 300 * time.Millisecond
	// checkInterval is the least time between two checks.
	checkInterval = 250 * time.Millisecond
	// recheckInterval is the time between two checks while neither this host nor a peer reaches an
	// upstream.
	recheckInterval = 500 * time.Millisecond
	// checkStagger is the time between the dials of a check while none has failed. Mostly the
	// first one succeeds.
	checkStagger = 50 * time.Millisecond
	// sampleSize is the number of upstreams that a check dials, each of another zone.
	sampleSize = 3
	// probeInterval is the time between two rounds of direct dials while the links are down.
	probeInterval = 500 * time.Millisecond
	// peerTimeout bounds one attempt to open a tunnel, with two round trips to another region.
	peerTimeout = 350 * time.Millisecond
	// maxPeers is the number of peers that are tried for one connection, and maxUnreachable the
	// number of those that may report the upstream as unreachable: one of them may have lost its
	// links without knowing yet.
	maxPeers       = 3
	maxUnreachable = 2
)

// Upstream is the location of an upstream.
type Upstream struct {
	Address string
	Zone    string
	Region  string
}

// Config holds the dependencies of a Dialer.
type Config struct {
	// Self is the instance of this host.
	Self string
	// Direct opens connections to upstreams, Peer to other entry hosts.
	Direct, Peer func(ctx context.Context, network, address string) (net.Conn, error)
	// Peers returns the other entry hosts.
	Peers func() []Peer
	// Locate returns the upstream that is registered at an address.
	Locate func(address string) (Upstream, bool)
	// Sample returns up to n ready upstreams, each of another zone.
	Sample func(n int) []Upstream
	Now    func() time.Time
	// OnDown is called when the links are found to be down, with the peer that reaches an upstream
	// which this host does not reach. OnUp is called when they are up again.
	OnDown func(peer Peer, upstream Upstream)
	OnUp   func(downFor time.Duration)
	// OnTunnel is called after each attempt to open a tunnel.
	OnTunnel func(peer Peer, err error)
}

// Dialer opens connections to upstreams, either directly or through a peer. It is safe for
// concurrent use.
type Dialer struct {
	Config
	// ctx ends the checks and probes.
	ctx   context.Context //nolint:containedctx // the background work outlives each call
	links *links

	mu sync.Mutex
	// check is closed at the end of the running check; nil if none runs.
	check     chan struct{}
	checkedAt time.Time
	// checkDue is set while a check is scheduled for the end of checkInterval.
	checkDue bool
	// failedAt is when a peer last failed to open a tunnel, or a tunnel through it broke, by address.
	failedAt map[string]time.Time
}

// NewDialer returns a Dialer whose background work ends with ctx.
func NewDialer(ctx context.Context, c Config) *Dialer {
	return &Dialer{Config: c, ctx: ctx, links: newLinks(), failedAt: map[string]time.Time{}}
}

// LinksDown reports whether this host reaches no upstreams by itself.
func (d *Dialer) LinksDown() bool { return d.links.isDown() }

// DialContext opens a connection to an upstream. The error is a *NoPeerError if that says
// nothing about the upstream.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	down, changed := d.links.state()
	if down {
		return d.dialPeer(ctx, address)
	}
	began := d.Now()
	c, err := d.dialDirect(ctx, network, address, changed)
	if err == nil || ctx.Err() != nil {
		return c, err
	}
	d.CheckLinks(ctx, began)
	if !d.links.isDown() {
		return nil, err
	}
	return d.dialPeer(ctx, address)
}

// dialDirect opens a direct connection. It gives up when the links are found to be down.
func (d *Dialer) dialDirect(ctx context.Context, network, address string, changed <-chan struct{}) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	done := make(chan result, 1)
	go func() {
		c, err := d.Direct(ctx, network, address)
		done <- result{c, err}
	}()
	slow := time.NewTimer(slowDial)
	defer slow.Stop()
	for {
		select {
		case r := <-done:
			if r.err == nil {
				d.links.recordSuccess(d.Now())
			}
			return r.conn, r.err
		case <-slow.C:
			go d.CheckLinks(d.ctx, d.Now())
		case <-changed:
			cancel()
			if r := <-done; r.err == nil {
				return r.conn, nil
			}
			return nil, context.Canceled
		}
	}
}

// Reusable implements h1.Paths.
func (d *Dialer) Reusable(remote string, relayed bool) bool {
	if !relayed {
		return !d.links.isDown()
	}
	return !d.failedRecently(remote) && slices.ContainsFunc(d.Peers(), func(p Peer) bool { return p.Address == remote })
}

// Keep implements h1.Paths. Tunnels are given up one by one when the links are up again, so that
// direct connections are not all opened at once.
func (d *Dialer) Keep(remote string, relayed bool) bool {
	return relayed == d.links.isDown() && d.Reusable(remote, relayed)
}

// RecordLost implements h1.Paths. It returns when it is known whether the links are down.
func (d *Dialer) RecordLost(ctx context.Context, remote string, relayed bool) {
	switch {
	case relayed:
		d.recordFailed(remote)
	case !d.links.isDown():
		d.CheckLinks(ctx, d.Now())
	}
}

// CheckLinks finds out whether the links are down, and returns when that is known. It does nothing
// if a direct dial has succeeded, or a check has begun, after the time of the failure. If the last
// check was a moment ago, the next one is scheduled, and CheckLinks does not wait for it.
func (d *Dialer) CheckLinks(ctx context.Context, failure time.Time) {
	if d.ctx.Err() != nil || d.links.isDown() || d.links.succeededSince(failure) {
		return
	}
	running := d.startCheck(d.Now(), failure)
	if running == nil {
		return
	}
	select {
	case <-running:
	case <-ctx.Done():
	}
}

// startCheck starts or schedules a check. It returns a channel that is closed at the end of the
// running check; nil if none runs.
func (d *Dialer) startCheck(now, failure time.Time) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.check != nil || d.checkDue || d.checkedAt.After(failure) {
		return d.check
	}
	if wait := d.checkedAt.Add(checkInterval).Sub(now); wait > 0 {
		d.checkDue = true
		time.AfterFunc(wait, func() {
			d.mu.Lock()
			d.checkDue = false
			d.mu.Unlock()
			d.CheckLinks(d.ctx, failure)
		})
		return nil
	}
	d.check, d.checkedAt = make(chan struct{}), now
	go d.runCheck(d.check)
	return d.check
}

// runCheck dials a few upstreams, and lets peers dial them if none was reached. While neither
// succeeds, the check is repeated: this host may have ejected all upstreams meanwhile, so that no
// request would cause the next one.
func (d *Dialer) runCheck(done chan struct{}) {
	defer func() {
		d.mu.Lock()
		d.check = nil
		d.mu.Unlock()
		close(done)
	}()
	sample := d.Sample(sampleSize)
	if len(sample) == 0 || d.dialAny(sample, 1) {
		return
	}
	peer, upstream, ok := d.reachedByPeer(sample)
	switch {
	case !ok:
		failure := d.Now()
		time.AfterFunc(recheckInterval, func() { d.CheckLinks(d.ctx, failure) })
	case d.links.recordDown(d.Now()):
		d.OnDown(peer, upstream)
		go d.probe()
	}
}

// reachedByPeer lets peers dial upstreams, all at the same time, and returns the first that succeeds.
// Some of the peers may have lost their links too.
func (d *Dialer) reachedByPeer(sample []Upstream) (Peer, Upstream, bool) {
	type attempt struct {
		peer     Peer
		upstream Upstream
	}
	var attempts []attempt
	for _, u := range sample {
		list := candidates(d.Peers(), u, d.failedRecently)
		for _, p := range list[:min(len(list), maxPeers)] {
			attempts = append(attempts, attempt{p, u})
		}
	}
	ctx, cancel := context.WithTimeout(d.ctx, peerTimeout)
	defer cancel()
	results := make(chan *attempt, len(attempts))
	for _, a := range attempts {
		go func() {
			c, err := open(ctx, d.Peer, d.Self, a.peer, a.upstream.Address)
			if err != nil {
				results <- nil
				return
			}
			_ = c.Close()
			results <- &a
		}()
	}
	for range attempts {
		if a := <-results; a != nil {
			return a.peer, a.upstream, true
		}
	}
	return Peer{}, Upstream{}, false
}

// dialAny dials upstreams directly, and reports whether at least want of them were reached.
func (d *Dialer) dialAny(sample []Upstream, want int) bool {
	ctx, cancel := context.WithTimeout(d.ctx, checkTimeout)
	defer cancel()
	results := make(chan bool, len(sample))
	dial := func(u Upstream) {
		c, err := d.Direct(ctx, "tcp", u.Address)
		if err == nil {
			_ = c.Close()
		}
		results <- err == nil
	}
	next := time.NewTimer(0)
	defer next.Stop()
	for started, ended := 0, 0; ended < len(sample); {
		select {
		case <-next.C:
			if started < len(sample) {
				go dial(sample[started])
				started++
				next.Reset(checkStagger)
			}
		case reached := <-results:
			ended++
			if reached {
				want--
			}
			if want == 0 {
				d.links.recordSuccess(d.Now())
				return true
			}
			next.Reset(0)
		}
	}
	return false
}

// probe dials upstreams directly until the links are up again.
func (d *Dialer) probe() {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-tick.C:
		}
		sample := d.Sample(sampleSize)
		succeeded := len(sample) > 0 && d.dialAny(sample, (len(sample)+1)/2)
		if up, downFor := d.links.recordRound(d.Now(), succeeded); up {
			d.OnUp(downFor)
			return
		}
	}
}

// dialPeer opens a connection through a peer.
func (d *Dialer) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	u, ok := d.Locate(address)
	if !ok {
		return nil, &NoPeerError{address}
	}
	return d.throughPeer(ctx, u)
}

// throughPeer opens a connection through one of the peers that can connect to an upstream. The error
// is a *RefusedError if a peer has found the upstream unreachable.
func (d *Dialer) throughPeer(ctx context.Context, u Upstream) (net.Conn, error) {
	var unreachable *RefusedError
	reports := 0
	list := candidates(d.Peers(), u, d.failedRecently)
	for _, peer := range list[:min(len(list), maxPeers)] {
		attempt, cancel := context.WithTimeout(ctx, peerTimeout)
		c, err := open(attempt, d.Peer, d.Self, peer, u.Address)
		cancel()
		if err != nil && ctx.Err() != nil {
			return nil, err
		}
		d.OnTunnel(peer, err)
		if err == nil {
			return c, nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) && refused.Status == http.StatusBadGateway {
			unreachable = refused
			if reports++; reports == maxUnreachable {
				break
			}
			continue
		}
		d.recordFailed(peer.Address)
	}
	if unreachable != nil {
		return nil, unreachable
	}
	return nil, &NoPeerError{u.Address}
}

func (d *Dialer) failedRecently(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.failedAt[address]
	return ok && d.Now().Sub(at) < failedPeerPause
}

func (d *Dialer) recordFailed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	for other, at := range d.failedAt {
		if now.Sub(at) >= failedPeerPause {
			delete(d.failedAt, other)
		}
	}
	d.failedAt[address] = now
}
