package entryhost

import (
	"slices"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/fleet"
	"balsambarrow/internal/share"
)

// ownedBuckets is what this host last knew of the customers' buckets that it owns.
type ownedBuckets struct {
	// instances are the hosts that hold buckets, and catalog is the configuration that declares the
	// customers.
	instances []string
	catalog   *catalog.Catalog
	// names are the customers whose buckets this host owns.
	names map[string]bool
}

// publishBucketHosts publishes the hosts that hold customers' buckets. If the owner of a bucket changes,
// the tokens of the bucket are transferred to the next owner: what an owner has granted is then not granted
// again. The next owner of a host that has failed begins with the slack.
func (c *control) publishBucketHosts(now time.Time) {
	hosts, before := newBucketHosts(c.d.self, c.ready && c.holdsShares, c.published.peers, c.members.Count()), c.published.buckets
	slices.Sort(hosts.instances)
	sameHosts := slices.Equal(hosts.instances, before.instances)
	if c.catalog == nil || sameHosts && c.catalog == before.catalog {
		c.d.bucketHosts.Store(hosts)
		return
	}
	first := now.Before(c.firstUntil)
	next := ownedBuckets{instances: hosts.instances, catalog: c.catalog, names: map[string]bool{}}
	unused := map[string]bool{}
	transfers := map[string]*fleet.TokenTransfer{}
	for _, u := range c.catalog.Customers() {
		if u.Rate <= 0 {
			continue
		}
		owner := share.ShardOwner(u.Name, hosts.instances)
		if owner == c.d.self.Instance || owner == "" {
			next.names[u.Name] = true
			declared := before.catalog != nil && before.catalog.CustomerByName(u.Name) == nil
			unused[u.Name] = first || sameHosts && declared
			continue
		}
		if address := hosts.peers[owner]; address != "" && before.names[u.Name] {
			transfers[owner] = c.release(now, u, transfers[owner])
		}
	}
	c.d.shares.SetOwned(now, unused)
	c.published.buckets = next
	c.d.bucketHosts.Store(hosts)
	for owner, transfer := range transfers {
		c.transfer(owner, hosts.peers[owner], transfer)
	}
}

// release adds the tokens of a customer's bucket to a transfer.
func (c *control) release(now time.Time, u *catalog.Customer, t *fleet.TokenTransfer) *fleet.TokenTransfer {
	tokens := c.d.shares.Release(now, u)
	if tokens <= 0 {
		return t
	}
	if t == nil {
		t = &fleet.TokenTransfer{}
	}
	t.Buckets = append(t.Buckets, &fleet.CustomerTokens{Customer: u.Name, Tokens: float32(tokens)})
	return t
}

// transfer sends tokens to the next owner of their buckets. If the packet is lost, so are the tokens: too
// many requests are then refused rather than too few.
func (c *control) transfer(owner, address string, t *fleet.TokenTransfer) {
	if t == nil {
		return
	}
	err := c.d.transport.SendPacket(&fleet.Packet{Content: &fleet.Packet_TokenTransfer{TokenTransfer: t}}, address)
	c.d.events.Info("buckets transferred", "to", owner, "customers", len(t.Buckets), "tokens", totalTokens(t), "error", err)
}

// receive adds the tokens that the earlier owner of buckets has transferred.
func (t *tokens) receive(transfer *fleet.TokenTransfer, from string) {
	state, now := t.d.state.Load(), t.d.now()
	if state.Catalog == nil {
		return
	}
	for _, b := range transfer.Buckets {
		if u := state.Catalog.CustomerByName(b.Customer); u != nil && u.Rate > 0 {
			t.d.shares.Receive(now, u, float64(b.Tokens))
		}
	}
	t.d.events.Info("buckets received", "from", from, "customers", len(transfer.Buckets), "tokens", totalTokens(transfer))
}

func totalTokens(t *fleet.TokenTransfer) float64 {
	total := 0.0
	for _, b := range t.Buckets {
		total += float64(b.Tokens)
	}
	return total
}
