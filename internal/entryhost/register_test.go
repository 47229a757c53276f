package entryhost

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a customer that gets its rate several times over: a standby that is
// partitioned would grant tokens until the end of its long lease, and a host that has just
// registered would grant tokens before it knows the hosts that registered before it.
func TestWhoMayHoldShares(t *testing.T) {
	now := time.Unix(1000, 0)
	spender := registration{written: now, kept: now, lease: leaseTime, spends: true}
	standing := registration{written: now, kept: now, lease: standbyLease}
	for name, c := range map[string]struct {
		registration registration
		hostsAt, at  time.Time
		want         bool
	}{
		"never registered":            {registration{}, now, now, false},
		"registered, state is current":  {spender, now, now, true},
		"registered, state is older":  {spender, now.Add(-time.Millisecond), now, false},
		"before the end of the lease": {spender, now, now.Add(leaseTime - leaseMargin - 1), true},
		"lease may have expired":       {spender, now, now.Add(leaseTime - leaseMargin), false},
		"standby":                   {standing, now, now, false},
	} {
		control := &control{registration: c.registration, hostRegistrations: hostKnowledge{at: c.hostsAt}}
		NewWithT(t).Expect(control.registered(c.at)).To(Equal(c.want), name)
	}
}
