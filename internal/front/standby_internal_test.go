package front

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a standby that refuses callers between two of its confirmations.
func TestStandbyServesBetweenConfirmations(t *testing.T) {
	const (
		confirmInterval = time.Second             // of a standby
		peerAge         = 750 * time.Millisecond  // of the watcher's state: a watch and a response of the store
		activeMaxAge    = 2100 * time.Millisecond // from which an active host reads the store
	)
	now := time.Unix(100, 0)
	standby := func(age time.Duration) *State {
		return &State{Standby: true, UpstreamsKnown: true, ConfirmedAt: now.Add(-age)}
	}
	g := NewWithT(t)
	g.Expect(standby(confirmInterval + peerAge).sufficesAt(now)).To(BeTrue())
	g.Expect(standby(activeMaxAge).sufficesAt(now)).To(BeFalse())
}

// Guards against a host that serves by an old version, as after a suspension, while others have the newest one.
func TestHostWithOldStateLeavesCallersToOthers(t *testing.T) {
	now := time.Unix(100, 0)
	for name, test := range map[string]struct {
		age         time.Duration
		othersReady bool
		suffices    bool
	}{
		"recent state":               {MaxStateAge - 1, true, true},
		"old state":                  {MaxStateAge, true, false},
		"after a long suspension":    {time.Hour, true, false},
		"old state, no host ready":   {MaxStateAge, false, true},
		"long outage, no host ready": {time.Hour, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			state := &State{UpstreamsKnown: true, OthersReady: test.othersReady, ConfirmedAt: now.Add(-test.age)}
			NewWithT(t).Expect(state.sufficesAt(now)).To(Equal(test.suffices))
		})
	}
}
