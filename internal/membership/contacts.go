package membership

import (
	"maps"
	"slices"
	"time"
)

// Timing and bounds of contacts.
const (
	// gossipTTL is how long an address that another daemon reported is
	// contacted. Daemons report only the peers that they receive heartbeats
	// from, repeatedly, so the address of a stopped daemon soon stops being
	// reported.
	gossipTTL = 10 * time.Second
	// unresponsiveTTL is how long heartbeats are still sent to a daemon that
	// has become unresponsive, so that it is found again after a network
	// partition even if it is in no host list. Partitions last minutes.
	unresponsiveTTL = time.Hour
	// unresponsiveRetryInterval is the time between two heartbeats to an
	// unresponsive daemon.
	unresponsiveRetryInterval = 5 * time.Second
	// maxContacts limits the addresses kept in each map of Contacts, and the
	// members of a Table. It exceeds the planned 2,300 daemons plus those
	// replaced within a day.
	maxContacts = 4096
	// GossipSize is the number of addresses in one heartbeat. At two heartbeats
	// per second, the addresses of 10 daemons are all reported within 2 s, for
	// less than 100 bytes per heartbeat.
	GossipSize = 3
)

// Contacts is the set of addresses to which heartbeats are sent. It is owned by
// the control thread.
//
// The platform's host list lags: a daemon may be missing from it, or may be
// listed after it has stopped. Contacts therefore also keeps the addresses of
// received heartbeats and those reported by other daemons. Without them, a
// daemon that is missing from the list would receive no heartbeats until the
// list is updated, and two daemons that lost contact would not find each other
// again.
type Contacts struct {
	self     string
	hostList map[string]bool
	// heartbeats holds the time of the last heartbeat received from an address.
	heartbeats map[string]time.Time
	// gossiped holds the time at which another daemon last reported an address.
	gossiped map[string]time.Time
	// lastTried holds the time at which HeartbeatTargets last returned an
	// address because of an earlier heartbeat from that address.
	lastTried map[string]time.Time
	// responses holds the time of the last response to a heartbeat sent to an
	// address.
	responses map[string]time.Time
	// gossipCursor is the index at which the next call of Gossip starts.
	gossipCursor int
}

// NewContacts returns an empty set. It never includes self, the address of this
// daemon.
func NewContacts(self string) *Contacts {
	return &Contacts{
		self: self, hostList: map[string]bool{}, heartbeats: map[string]time.Time{},
		gossiped: map[string]time.Time{}, lastTried: map[string]time.Time{},
		responses: map[string]time.Time{},
	}
}

// SetHostList replaces the addresses from the host list.
func (c *Contacts) SetHostList(addresses []string) {
	clear(c.hostList)
	for _, a := range addresses[:min(len(addresses), maxContacts)] {
		c.hostList[a] = true
	}
}

// RecordHeartbeat records that the daemon at address sent a heartbeat.
func (c *Contacts) RecordHeartbeat(address string, now time.Time) {
	recordTime(c.heartbeats, address, now)
}

// RecordResponse records that the daemon at address responded to a heartbeat.
func (c *Contacts) RecordResponse(address string, now time.Time) {
	recordTime(c.responses, address, now)
}

// Remove removes the daemon at address, which has announced that it leaves.
func (c *Contacts) Remove(address string) {
	delete(c.heartbeats, address)
	delete(c.gossiped, address)
	delete(c.responses, address)
}

// AddGossip adds addresses that another daemon reported.
func (c *Contacts) AddGossip(addresses []string, now time.Time) {
	for _, a := range addresses[:min(len(addresses), GossipSize)] {
		recordTime(c.gossiped, a, now)
	}
}

// recordTime sets the time of an address, unless the address is new and the map
// already has maxContacts entries.
func recordTime(times map[string]time.Time, address string, now time.Time) {
	if _, known := times[address]; known || len(times) < maxContacts {
		times[address] = now
	}
}

// HeartbeatTargets returns, in order, the addresses to which a heartbeat is to
// be sent at now.
func (c *Contacts) HeartbeatTargets(now time.Time) []string {
	c.removeExpired(now)
	due := maps.Clone(c.hostList)
	for a := range c.gossiped {
		due[a] = true
	}
	for a, receivedAt := range c.heartbeats {
		if now.Sub(receivedAt) <= MemberTimeout || now.Sub(c.lastTried[a]) >= unresponsiveRetryInterval {
			c.lastTried[a] = now
			due[a] = true
		}
	}
	delete(due, c.self)
	delete(due, "")
	return slices.Sorted(maps.Keys(due))
}

// recentHeartbeatAge is the age of a received heartbeat below which no
// heartbeat is sent back. It is slightly less than HeartbeatInterval, so that
// two heartbeats in a row are never skipped.
const recentHeartbeatAge = HeartbeatInterval * 4 / 5

// maxResponseAge is the longest time without a response from a daemon whose
// heartbeats arrive. Only a response contains the time at which the daemon's
// configuration was confirmed.
const maxResponseAge = 10 * HeartbeatInterval

// ExchangedRecently reports whether the daemon at address sent a heartbeat so
// recently that it also has the current state of this daemon: a heartbeat and
// its response carry the states of both sides. Without this check, each pair of
// daemons would exchange both states twice every HeartbeatInterval. A daemon
// whose heartbeats always arrive first still receives one every maxResponseAge.
func (c *Contacts) ExchangedRecently(address string, now time.Time) bool {
	receivedAt, ok := c.heartbeats[address]
	return ok && now.Sub(receivedAt) < recentHeartbeatAge && now.Sub(c.responses[address]) < maxResponseAge
}

// All returns every known address.
func (c *Contacts) All() map[string]bool {
	all := maps.Clone(c.hostList)
	for a := range c.gossiped {
		all[a] = true
	}
	for a := range c.heartbeats {
		all[a] = true
	}
	delete(all, c.self)
	return all
}

// removeExpired removes addresses whose last heartbeat, report, attempt or
// response is too old.
func (c *Contacts) removeExpired(now time.Time) {
	olderThan := func(d time.Duration) func(string, time.Time) bool {
		return func(_ string, at time.Time) bool { return now.Sub(at) > d }
	}
	maps.DeleteFunc(c.gossiped, olderThan(gossipTTL))
	maps.DeleteFunc(c.heartbeats, olderThan(unresponsiveTTL))
	maps.DeleteFunc(c.lastTried, olderThan(unresponsiveTTL))
	maps.DeleteFunc(c.responses, olderThan(unresponsiveTTL))
}

// Gossip returns the next GossipSize addresses of live daemons. Successive
// calls rotate over all live daemons.
func (c *Contacts) Gossip(now time.Time) []string {
	var live []string
	for _, a := range slices.Sorted(maps.Keys(c.heartbeats)) {
		if now.Sub(c.heartbeats[a]) <= MemberTimeout {
			live = append(live, a)
		}
	}
	var addresses []string
	for i := range min(GossipSize, len(live)) {
		addresses = append(addresses, live[(c.gossipCursor+i)%len(live)])
	}
	c.gossipCursor += GossipSize
	return addresses
}
