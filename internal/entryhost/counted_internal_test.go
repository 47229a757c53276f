package entryhost

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a host that uses its part of the retry slack before it knows the hosts that registered earlier, or after
// the others may have dropped it.
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
