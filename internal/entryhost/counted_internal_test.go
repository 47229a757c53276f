package entryhost

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
	"balsambarrow/platform"
)

// Guards against a host that uses its part of the retry slack while other hosts do not know it, or it does not know them.
func TestHostIsCountedWhileItsRegistrationCertainlyStands(t *testing.T) {
	g := NewWithT(t)
	registeredAt := time.Unix(1000, 0)
	c := &control{ownRegistration: registration{writtenAt: registeredAt, renewedAt: registeredAt, lease: activeLeaseTTL}}
	counted := func(after time.Duration) time.Time {
		c.updateCounted(registeredAt.Add(after))
		return c.countedUntil
	}
	until := registeredAt.Add(activeLeaseTTL - leaseMargin)
	g.Expect(counted(time.Second)).To(BeZero(), "earlier hosts are not known")
	c.hosts.confirmedAt = registeredAt.Add(time.Second)
	g.Expect(counted(2 * time.Second)).To(Equal(until))
	c.ownRegistration.writtenAt = registeredAt.Add(2 * time.Second)
	g.Expect(counted(3*time.Second)).To(Equal(until), "the entry was replaced while it stood")
	g.Expect(counted(activeLeaseTTL-leaseMargin)).To(BeZero(), "the registration may have lapsed")
	c.ownRegistration.renewedAt = registeredAt.Add(activeLeaseTTL)
	g.Expect(counted(activeLeaseTTL)).To(BeZero(), "hosts that have registered meanwhile are not known")
	c.hosts.confirmedAt = registeredAt.Add(activeLeaseTTL)
	g.Expect(counted(activeLeaseTTL)).To(Equal(registeredAt.Add(2*activeLeaseTTL - leaseMargin)))
}

// Guards against hosts that each take themselves for the first of the fleet and use the whole slack.
func TestOnlyAHostWithoutTraceOfOthersIsTheFirst(t *testing.T) {
	for name, c := range map[string]struct {
		items []kv.Item
		heard bool
		after time.Duration
		first bool
	}{
		"alone":                         {first: true},
		"another one was registered":    {items: []kv.Item{{Key: platform.HostPrefix + "h0-1", Value: []byte(`{"instance":"h0-1","host":"h0"}`), Revision: 3}}},
		"another one was active":        {items: []kv.Item{{Key: platform.ActiveHostsKey, Value: []byte("{}"), Revision: 3}}},
		"another one has started since": {heard: true},
		"another one may have ended":    {after: activeLeaseTTL},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestControl(t)
			h.handleListing(kv.Listing{Items: c.items, Revision: 5}, time.Time{})
			now := h.d.now()
			if c.heard {
				h.members.ApplyHeartbeat(now, &fleet.Heartbeat{Instance: "h1-1", Host: "h1", Sequence: 1})
			}
			NewWithT(t).Expect(h.slackUnused(now.Add(c.after))).To(Equal(c.first))
		})
	}
}
