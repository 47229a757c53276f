package entryhost

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/place"
	"balsambarrow/internal/room"
)

// Guards against requests that each wait until the timeout for an owner which answers, but always late.
func TestLateAnswerDoesNotEndTheSilence(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	answer := make(chan room.Answer, 1)
	r := &rooms{
		d: &Daemon{table: place.NewTable(place.Host{}, nil)}, owners: room.NewOwners(), awaited: map[uint64]chan room.Answer{2: answer},
	}
	r.peers.Store(&roomPeers{instances: map[string]string{"127.0.0.1:1": "owner"}})
	r.owners.NoAnswer(now, "owner")
	r.receiveAnswer(now, &fleet.RoomAnswer{Sequence: 1, Granted: true}, "127.0.0.1:1")
	g.Expect(r.owners.MayWait(now, "owner")).To(BeFalse(), "a late answer")
	r.receiveAnswer(now, &fleet.RoomAnswer{Sequence: 2, Granted: true}, "127.0.0.1:1")
	g.Expect(r.owners.MayWait(now, "owner")).To(BeTrue())
	g.Expect(answer).To(Receive(Equal(room.Answer{Granted: true})))
}
