package membership

import (
	"maps"
	"slices"
	"time"
)

// Timing and bounds of contacts.
const (
	// rumorFor is how long an address that another daemon named is tried. The
	// other names only daemons that it hears, again and again, so the address
	// of a dead one soon comes from nobody.
	rumorFor = 10 * time.Second
	// silentFor is how long a daemon that fell silent is tried, so that it is
	// found again after a cut although no list shows it. Cuts last minutes.
	silentFor = time.Hour
	// silentEvery is the time between two tries of a silent daemon.
	silentEvery = 5 * time.Second
	// maxContacts bounds the addresses kept: above the planned 2,300 daemons
	// with a day's replacements.
	maxContacts = 4096
	// GossipSize is how many addresses one heartbeat names: at two beats a
	// second every address of 10 daemons is named within 2 s, for under 100
	// bytes a beat.
	GossipSize = 3
)

// Contacts is the set of addresses to which heartbeats are sent. It belongs to
// the control thread.
//
// The platform's host list lags: a daemon may be missing from it, or be listed
// and gone. Without the other sources a daemon that is missing would hear
// nobody until the list catches up, and two that lost each other would not
// meet again.
type Contacts struct {
	self    string
	listed  map[string]bool
	heard   map[string]time.Time
	rumored map[string]time.Time
	tried   map[string]time.Time
	// answered is when a heartbeat to an address was last answered.
	answered map[string]time.Time
	cursor   int
}

// NewContacts returns contacts that never include self.
func NewContacts(self string) *Contacts {
	return &Contacts{
		self: self, listed: map[string]bool{}, heard: map[string]time.Time{},
		rumored: map[string]time.Time{}, tried: map[string]time.Time{},
		answered: map[string]time.Time{},
	}
}

// SetHostList replaces the addresses of the host list.
func (c *Contacts) SetHostList(addresses []string) {
	clear(c.listed)
	for _, a := range addresses[:min(len(addresses), maxContacts)] {
		c.listed[a] = true
	}
}

// RecordHeartbeat notes that the daemon at address was heard.
func (c *Contacts) RecordHeartbeat(address string, now time.Time) { note(c.heard, address, now) }

// RecordResponse notes that the daemon at address has answered a heartbeat.
func (c *Contacts) RecordResponse(address string, now time.Time) { note(c.answered, address, now) }

// Remove notes that the daemon at address has said that it leaves.
func (c *Contacts) Remove(address string) {
	delete(c.heard, address)
	delete(c.rumored, address)
	delete(c.answered, address)
}

// AddGossip notes addresses that another daemon hears.
func (c *Contacts) AddGossip(addresses []string, now time.Time) {
	for _, a := range addresses[:min(len(addresses), GossipSize)] {
		note(c.rumored, a, now)
	}
}

func note(m map[string]time.Time, address string, now time.Time) {
	if _, known := m[address]; known || len(m) < maxContacts {
		m[address] = now
	}
}

// HeartbeatTargets returns the addresses to send a heartbeat to at now, in order.
func (c *Contacts) HeartbeatTargets(now time.Time) []string {
	c.forget(now)
	due := maps.Clone(c.listed)
	for a := range c.rumored {
		due[a] = true
	}
	for a, heard := range c.heard {
		if now.Sub(heard) <= MemberTimeout || now.Sub(c.tried[a]) >= silentEvery {
			c.tried[a] = now
			due[a] = true
		}
	}
	delete(due, c.self)
	delete(due, "")
	return slices.Sorted(maps.Keys(due))
}

// freshFor is how long a daemon that was heard needs no heartbeat: a little
// less than HeartbeatInterval, so that a beat is never left out twice in a row.
const freshFor = HeartbeatInterval * 4 / 5

// answerEvery is the longest time without an answer from a daemon that is heard.
// Only an answer tells when its configuration was confirmed.
const answerEvery = 10 * HeartbeatInterval

// ExchangedRecently tells whether the daemon at address was heard so lately that it has
// this daemon's account too: a heartbeat and its answer carry both. Without
// this each pair of daemons would exchange both accounts twice every HeartbeatInterval.
// A daemon that always beats first is asked every answerEvery all the same.
func (c *Contacts) ExchangedRecently(address string, now time.Time) bool {
	heard, ok := c.heard[address]
	return ok && now.Sub(heard) < freshFor && now.Sub(c.answered[address]) < answerEvery
}

// All returns every address kept.
func (c *Contacts) All() map[string]bool {
	all := maps.Clone(c.listed)
	for a := range c.rumored {
		all[a] = true
	}
	for a := range c.heard {
		all[a] = true
	}
	delete(all, c.self)
	return all
}

func (c *Contacts) forget(now time.Time) {
	olderThan := func(d time.Duration) func(string, time.Time) bool {
		return func(_ string, at time.Time) bool { return now.Sub(at) > d }
	}
	maps.DeleteFunc(c.rumored, olderThan(rumorFor))
	maps.DeleteFunc(c.heard, olderThan(silentFor))
	maps.DeleteFunc(c.tried, olderThan(silentFor))
	maps.DeleteFunc(c.answered, olderThan(silentFor))
}

// Gossip returns the next few of the addresses heard lately, each in turn.
func (c *Contacts) Gossip(now time.Time) []string {
	var live []string
	for _, a := range slices.Sorted(maps.Keys(c.heard)) {
		if now.Sub(c.heard[a]) <= MemberTimeout {
			live = append(live, a)
		}
	}
	var out []string
	for i := range min(GossipSize, len(live)) {
		out = append(out, live[(c.cursor+i)%len(live)])
	}
	c.cursor += GossipSize
	return out
}
