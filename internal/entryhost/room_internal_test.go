package entryhost

import (
	"io"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/fleet"
	"balsambarrow/internal/place"
	"balsambarrow/internal/room"
	"balsambarrow/internal/telemetry"
)

// Guards against requests that each wait until the timeout for an owner which answers, but always late.
func TestLateAnswerDoesNotEndTheSilence(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	answer := make(chan room.Answer, 1)
	r := &rooms{
		d: &Daemon{table: place.NewTable(place.Host{}, nil)}, owners: room.NewOwners(), awaited: map[uint64]awaitedAnswer{2: {7, answer}},
	}
	r.peers.Store(&roomPeers{instances: map[string]string{"127.0.0.1:1": "owner"}})
	r.owners.NoAnswer(now, "owner")
	r.receiveAnswer(now, &fleet.RoomAnswer{Sequence: 1, Granted: true}, "127.0.0.1:1")
	g.Expect(r.owners.MayWait(now, "owner")).To(BeFalse(), "a late answer")
	r.receiveAnswer(now, &fleet.RoomAnswer{Upstream: 8, Sequence: 2, Granted: true}, "127.0.0.1:1")
	g.Expect(answer).NotTo(Receive(), "an answer about another upstream")
	r.receiveAnswer(now, &fleet.RoomAnswer{Upstream: 7, Sequence: 2, Granted: true}, "127.0.0.1:1")
	g.Expect(r.owners.MayWait(now, "owner")).To(BeTrue())
	g.Expect(answer).To(Receive(Equal(room.Answer{Granted: true})))
}

// Guards against an upstream that is believed full or slow for long because of one message that cannot be true.
func TestUntrueAnswersAreRejected(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := place.NewTable(place.Host{Instance: "h", Zone: "a1", Region: "a"}, map[string]string{"a1": "a"})
	table.PutUpstream(now, catalog.Upstream{ID: "u", Service: "s", Zone: "a1", Slots: 3, State: catalog.StateReady})
	query := place.Query{Service: "s", Route: "r", Target: time.Second, Remaining: time.Second}
	c, err := table.Choose(now, query)
	g.Expect(err).NotTo(HaveOccurred())
	table.Done(now, c, place.Report{Result: place.Shed})
	r := &rooms{
		d:      &Daemon{table: table, metrics: telemetry.NewMetrics(), events: telemetry.NewEvents(io.Discard, "info", "h")},
		owners: room.NewOwners(), awaited: map[uint64]awaitedAnswer{},
	}
	r.peers.Store(&roomPeers{})
	for _, a := range []*fleet.RoomAnswer{{Others: math.MaxUint32}, {Slowdown: float32(math.NaN())}, {Slowdown: math.MaxFloat32}} {
		a.Upstream = c.Room.Upstream
		r.receiveAnswer(now, a, "127.0.0.1:1")
	}
	freed := &fleet.RoomFreed{Upstream: c.Room.Upstream, Others: math.MaxUint32}
	g.Expect(r.handlePacket(&fleet.Packet{Content: &fleet.Packet_RoomFreed{RoomFreed: freed}}, "127.0.0.1:1")).To(BeTrue())
	again, err := table.Choose(now, query)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Known).To(Equal(c.Known))
	g.Expect(again.ExpectedLatency).To(Equal(c.ExpectedLatency))
}
