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
