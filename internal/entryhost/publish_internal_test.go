package entryhost

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
)

// Guards against a host that serves routes without keys by an old version while others have the newest one.
func TestHostWithOldStateLeavesCallersToOthers(t *testing.T) {
	for name, test := range map[string]struct {
		age           time.Duration
		otherIsReady  bool
		othersServing bool
	}{
		"recent state":                {maxConfigurationAge - time.Millisecond, true, false},
		"old state":                   {maxConfigurationAge, true, true},
		"old state at all hosts":      {maxConfigurationAge, false, false},
		"old state after an outage":   {time.Hour, true, true},
		"old state during an outage":  {time.Hour, false, false},
		"recent state, no other host": {0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newTestControl(t)
			now := c.d.now()
			c.loadState(now, []kv.Item{version(1, true)}, true)
			c.confirm(now, confirmedByWatch)
			c.activation.active = true
			c.d.directory.Store(&directory{self: c.d.self, peers: []fleet.Member{{Instance: "other", Region: "a", Ready: test.otherIsReady}}})
			c.updateReady(now.Add(test.age), nil)
			c.publishState()
			g.Expect(c.d.state.Load().Standby).To(Equal(test.othersServing))
		})
	}
}
