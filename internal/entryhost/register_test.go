package entryhost

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a customer that gets its rate several times over: a standby that is
// partitioned would grant tokens until the end of its long lease, and a host that has just
// registered would grant tokens before it knows the hosts that registered before it.
func TestMayHoldShares(t *testing.T) {
	now := time.Unix(1000, 0)
	active := registration{writtenAt: now, renewedAt: now, lease: activeLeaseTTL, holdsShares: true}
	standby := registration{writtenAt: now, renewedAt: now, lease: standbyLeaseTTL}
	for name, c := range map[string]struct {
		registration                registration
		hostsConfirmedAt, checkedAt time.Time
		want                        bool
	}{
		"never registered":             {registration{}, now, now, false},
		"registered, state is current": {active, now, now, true},
		"registered, state is older":   {active, now.Add(-time.Millisecond), now, false},
		"before the end of the lease":  {active, now, now.Add(activeLeaseTTL - leaseMargin - 1), true},
		"lease may have expired":       {active, now, now.Add(activeLeaseTTL - leaseMargin), false},
		"standby":                      {standby, now, now, false},
	} {
		control := &control{ownRegistration: c.registration, hosts: hostsSection{confirmedAt: c.hostsConfirmedAt}}
		NewWithT(t).Expect(control.mayHoldShares(c.checkedAt)).To(Equal(c.want), name)
	}
}
