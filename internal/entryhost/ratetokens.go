package entryhost

import (
	"sync"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/fleet"
	"balsambarrow/internal/share"
)

// answerFor is how long the owner of a bucket may take to answer: a millisecond
// on the way, and turns of two processors that have a sixth of a core each.
const answerFor = 40 * time.Millisecond

// answerFarFor is the same for an owner in another region: the way there and back
// is up to 110 ms.
const answerFarFor = 200 * time.Millisecond

// pool is the hosts that hold customers' buckets for this one, by instance. It is
// never modified.
type pool struct {
	instances []string
	// answerFor is how long one of them may take to answer.
	answerFor time.Duration
	// peers is the address of each but this host.
	peers map[string]string
	// hosts is the number of all hosts.
	hosts int
}

// tokens admits customers' requests by the bucket of this region, wherever it
// is held.
type tokens struct {
	d     *Daemon
	spare *share.FallbackBuckets

	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan *fleet.TokenAnswer
}

func newTokens(d *Daemon) *tokens {
	return &tokens{d: d, spare: share.NewFallbackBuckets(), last: randomID(), waiting: map[uint64]chan *fleet.TokenAnswer{}}
}

// expect makes room for the answer to a question and returns the question's id.
func (t *tokens) expect() (id uint64, answer chan *fleet.TokenAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	answer = make(chan *fleet.TokenAnswer, 1)
	t.waiting[t.last] = answer
	return t.last, answer
}

// Admit takes one request of a customer.
func (t *tokens) Admit(now time.Time, c *catalog.Customer) share.Decision {
	if c.Rate <= 0 {
		return share.Decision{Admitted: true, Fraction: 1}
	}
	p := t.d.awaitPool()
	owner := share.ShardOwner(c.Name, p.instances)
	peer := p.peers[owner]
	if peer == "" {
		v := t.d.shares.Admit(now, c)
		if v.NoLease && t.d.registeredOnce.Load() {
			return t.spare.Admit(now, c, p.hosts)
		}
		// A host that has just started waits for its registration, a call or two: the
		// fallback bucket would serve the first caller of each customer and refuse the next.
		return v
	}
	a := t.ask(peer, c.Name, p.answerFor)
	if a == nil {
		t.d.events.Info("owner of a bucket silent", "customer", c.Name, "owner", owner)
		return t.spare.Admit(now, c, p.hosts)
	}
	return share.Decision{
		Admitted: a.Granted, RetryAfter: time.Duration(a.BackMs) * time.Millisecond,
		Fraction: float64(a.Part), Demand: float64(a.Demand),
	}
}

// ask asks the owner for one token; nil if it does not answer in time. An answer
// that comes later is dropped: the token is lost, which refuses too much rather
// than too little.
func (t *tokens) ask(peer, customer string, patience time.Duration) *fleet.TokenAnswer {
	id, answer := t.expect()
	defer func() {
		t.mu.Lock()
		delete(t.waiting, id)
		t.mu.Unlock()
	}()
	request := &fleet.Packet{Content: &fleet.Packet_TokenRequest{TokenRequest: &fleet.TokenRequest{Id: id, Customer: customer}}}
	if err := t.d.wire.SendPacket(request, peer); err != nil {
		return nil
	}
	timeout := time.NewTimer(patience)
	defer timeout.Stop()
	select {
	case a := <-answer:
		return a
	case <-timeout.C:
		return nil
	}
}

// receive takes a packet about tokens in.
func (t *tokens) receive(p *fleet.Packet, from string) {
	if q := p.GetTokenRequest(); q != nil {
		t.grant(q, from)
		return
	}
	a := p.GetTokenAnswer()
	if a == nil {
		return
	}
	t.mu.Lock()
	answer := t.waiting[a.Id]
	t.mu.Unlock()
	if answer == nil {
		return
	}
	select {
	case answer <- a:
	default:
	}
}

// grant answers a peer from the bucket that this host holds.
func (t *tokens) grant(q *fleet.TokenRequest, from string) {
	state := t.d.state.Load()
	if state.Catalog == nil {
		return
	}
	c := state.Catalog.CustomerByName(q.Customer)
	if c == nil {
		return
	}
	v := t.d.shares.Admit(t.d.now(), c)
	if v.NoLease {
		// Its registration has lapsed since it told so; the asker goes by its fallback bucket.
		return
	}
	answer := &fleet.TokenAnswer{
		Id: q.Id, Granted: v.Admitted, BackMs: uint32(v.RetryAfter.Milliseconds()), Part: float32(v.Fraction), Demand: float32(v.Demand),
	}
	if err := t.d.wire.SendPacket(&fleet.Packet{Content: &fleet.Packet_TokenAnswer{TokenAnswer: answer}}, from); err != nil {
		t.d.events.Debug("token not sent", "error", err)
	}
}

// Refund gives the token of a request back that certainly did not run. Only the
// host that holds the bucket does; a lost token refuses too much.
func (t *tokens) Refund(customer string) {
	p := t.d.pool.Load()
	if p.peers[share.ShardOwner(customer, p.instances)] == "" {
		t.d.shares.Refund(customer)
	}
}

// newPool lists the hosts of this region that are ready and whose registration
// stands: one whose registration has lapsed may not spend. Where the region has
// none, those of the others hold its buckets: the store may turn a whole region
// away, and its callers would all be refused as over their rate.
func newPool(self Self, ready bool, heard []fleet.Member, hosts int) *pool {
	p := &pool{peers: map[string]string{}, hosts: hosts, answerFor: answerFor}
	if ready {
		p.instances = append(p.instances, self.Instance)
	}
	p.add(heard, func(region string) bool { return region == self.Region })
	if len(p.instances) == 0 {
		p.answerFor = answerFarFor
		p.add(heard, func(string) bool { return true })
	}
	return p
}

// add lists the hosts of some regions.
func (p *pool) add(heard []fleet.Member, in func(region string) bool) {
	for _, m := range heard {
		if m.Ready && m.Registered && !m.Leaving && in(m.Region) {
			p.instances = append(p.instances, m.Instance)
			p.peers[m.Instance] = m.PeerAddress
		}
	}
}
