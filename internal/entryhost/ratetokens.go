package entryhost

import (
	"sync"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/fleet"
	"balsambarrow/internal/share"
)

// grantTimeout is how long the owner of a bucket may take to respond: one millisecond of
// network delay, and scheduling delays on two processors with a sixth of a core each.
const grantTimeout = 40 * time.Millisecond

// remoteGrantTimeout is the grantTimeout for an owner in another region, to which the
// round-trip time is up to 110 ms.
const remoteGrantTimeout = 200 * time.Millisecond

// maxGrantWait bounds how long one request waits for the owner of a bucket and its deputies.
const maxGrantWait = 2 * remoteGrantTimeout

// bucketHosts lists the hosts that hold customers' buckets for this host, by instance. It is
// never modified.
type bucketHosts struct {
	instances []string
	// timeout is how long one of them may take to respond.
	timeout time.Duration
	// peers holds the address of each of them except this host.
	peers map[string]string
	// hosts is the total number of hosts of the fleet.
	hosts int
}

// tokens admits customers' requests by the token bucket of this region, whichever host holds
// it.
type tokens struct {
	d         *Daemon
	requester *share.Requester
	deputies  *share.DeputyBuckets

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan *fleet.TokenAnswer
}

func newTokens(d *Daemon) *tokens {
	return &tokens{
		d: d, requester: share.NewRequester(), deputies: share.NewDeputyBuckets(),
		lastID: randomID(), pending: map[uint64]chan *fleet.TokenAnswer{},
	}
}

// newRequest registers a token request and returns its id and the channel for its response.
func (t *tokens) newRequest() (id uint64, response chan *fleet.TokenAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	response = make(chan *fleet.TokenAnswer, 1)
	t.pending[t.lastID] = response
	return t.lastID, response
}

// Admit decides whether to admit one request of a customer.
func (t *tokens) Admit(now time.Time, c *catalog.Customer) share.Decision {
	if c.Rate <= 0 {
		return share.Decision{Admitted: true, Fraction: 1}
	}
	holders := t.d.awaitBucketHosts()
	ranked := share.ShardHolders(c.Name, holders.instances)
	if len(ranked) == 0 || holders.peers[ranked[0]] == "" {
		v := t.d.shares.Admit(now, c)
		if v.NoLease && t.d.fallbackAllowed.Load() {
			return t.requester.Fallback(now, c, holders.hosts)
		}
		// A host that has just started has no lease until one or two store calls have succeeded,
		// and awaitBucketHosts has waited for that. The fallback bucket is not used instead,
		// because it would admit the first request of each customer and refuse the next.
		return v
	}
	list := make([]share.Holder, len(ranked))
	for i, instance := range ranked {
		list[i] = share.Holder{Instance: instance, Address: holders.peers[instance]}
	}
	return t.requester.Admit(now, c, list, holders.timeout, maxGrantWait, holders.hosts, func(rank int, h share.Holder, fraction float64) (share.Decision, bool) {
		if h.Address == "" {
			return t.admitAsDeputy(now, c, fraction, list[0].Address), true
		}
		a := t.requestToken(h.Address, &fleet.TokenRequest{Customer: c.Name, Part: float32(fraction)}, holders.timeout)
		if a == nil {
			t.d.events.Info("bucket holder did not respond", "customer", c.Name, "holder", h.Instance, "rank", rank)
			return share.Decision{}, false
		}
		return share.Decision{
			Admitted: a.Granted, RetryAfter: time.Duration(a.BackMs) * time.Millisecond,
			Fraction: float64(a.Part), Demand: float64(a.Demand),
		}, true
	})
}

// admitAsDeputy decides on one request of a customer in place of the owner of its bucket, at the
// given address, and takes what is admitted off the owner's bucket and off that of this host.
func (t *tokens) admitAsDeputy(now time.Time, c *catalog.Customer, fraction float64, owner string) share.Decision {
	if !(fraction > 0) { // also not a number
		fraction = t.d.shares.EvenFraction()
	}
	v := t.deputies.Admit(now, c, fraction)
	if !v.Admitted {
		return v
	}
	t.d.shares.Charge(now, c, 1)
	charge := &fleet.TokenRequest{Customer: c.Name, Spent: 1}
	if err := t.d.transport.SendPacket(&fleet.Packet{Content: &fleet.Packet_TokenRequest{TokenRequest: charge}}, owner); err != nil {
		t.d.events.Debug("bucket owner not charged", "error", err)
	}
	return v
}

// requestToken requests one token from the owner of the bucket or a deputy. It returns nil if
// that does not respond in time. A later response is dropped and its token is lost: too many requests
// are then refused rather than too few.
func (t *tokens) requestToken(peer string, q *fleet.TokenRequest, maxWait time.Duration) *fleet.TokenAnswer {
	id, response := t.newRequest()
	defer func() {
		t.mu.Lock()
		delete(t.pending, id)
		t.mu.Unlock()
	}()
	q.Id = id
	if err := t.d.transport.SendPacket(&fleet.Packet{Content: &fleet.Packet_TokenRequest{TokenRequest: q}}, peer); err != nil {
		return nil
	}
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	select {
	case a := <-response:
		return a
	case <-timeout.C:
		return nil
	}
}

// handlePacket handles a token request or the response to one.
func (t *tokens) handlePacket(p *fleet.Packet, from string) {
	if q := p.GetTokenRequest(); q != nil {
		t.grant(q, from)
		return
	}
	if transfer := p.GetTokenTransfer(); transfer != nil {
		t.receive(transfer, from)
		return
	}
	a := p.GetTokenAnswer()
	if a == nil {
		return
	}
	t.mu.Lock()
	response := t.pending[a.Id]
	t.mu.Unlock()
	if response == nil {
		return
	}
	select {
	case response <- a:
	default:
	}
}

// grant responds to a peer's token request from the bucket that this host holds.
func (t *tokens) grant(q *fleet.TokenRequest, from string) {
	state := t.d.state.Load()
	if state.Catalog == nil {
		return
	}
	c := state.Catalog.CustomerByName(q.Customer)
	if c == nil {
		return
	}
	now := t.d.now()
	if q.Spent > 0 {
		t.d.shares.Charge(now, c, float64(q.Spent))
		return
	}
	v := t.grantTo(now, c, q)
	if v.NoLease {
		// The registration has expired since this host announced it. The peer uses its fallback
		// bucket.
		return
	}
	answer := &fleet.TokenAnswer{
		Id: q.Id, Granted: v.Admitted, BackMs: uint32(v.RetryAfter.Milliseconds()), Part: float32(v.Fraction), Demand: float32(v.Demand),
	}
	if err := t.d.transport.SendPacket(&fleet.Packet{Content: &fleet.Packet_TokenAnswer{TokenAnswer: answer}}, from); err != nil {
		t.d.events.Debug("token response not sent", "error", err)
	}
}

// grantTo decides on a peer's token request: as the owner of the bucket, or as a deputy if this
// host knows another owner, so that two hosts do not act as the owner for peers that differ in
// which hosts they hear.
func (t *tokens) grantTo(now time.Time, c *catalog.Customer, q *fleet.TokenRequest) share.Decision {
	holders := t.d.bucketHosts.Load()
	if owner := holders.peers[share.ShardOwner(c.Name, holders.instances)]; owner != "" {
		return t.admitAsDeputy(now, c, float64(q.Part), owner)
	}
	return t.d.shares.Admit(now, c)
}

// Refund returns the token of a request that certainly did not run, if this host holds the
// bucket. Otherwise the token is lost: too many requests are then refused rather than too few.
func (t *tokens) Refund(customer string) {
	holders := t.d.bucketHosts.Load()
	if holders.peers[share.ShardOwner(customer, holders.instances)] == "" {
		t.d.shares.Refund(customer)
	}
}

// newBucketHosts lists the hosts of this region that are ready and have a valid registration; a
// host whose registration has expired may not grant tokens. If the region has none, the hosts
// of other regions hold its buckets. Without this rule, all requests of the region's callers
// would be refused as over their rate while the store rejects all hosts of the region.
func newBucketHosts(self Self, ready bool, peers []fleet.Member, hosts int) *bucketHosts {
	b := &bucketHosts{peers: map[string]string{}, hosts: hosts, timeout: grantTimeout}
	if ready {
		b.instances = append(b.instances, self.Instance)
	}
	b.add(peers, func(region string) bool { return region == self.Region })
	if len(b.instances) == 0 {
		b.timeout = remoteGrantTimeout
		b.add(peers, func(string) bool { return true })
	}
	return b
}

// add adds the peers of some regions.
func (b *bucketHosts) add(peers []fleet.Member, in func(region string) bool) {
	for _, m := range peers {
		if m.Ready && m.Registered && !m.Leaving && in(m.Region) {
			b.instances = append(b.instances, m.Instance)
			b.peers[m.Instance] = m.PeerAddress
		}
	}
}
