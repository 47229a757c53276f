package fleet_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
)

var start = time.Unix(1000, 0)

func beat(instance, host string, sequence uint64) *fleet.Heartbeat {
	return &fleet.Heartbeat{
		Instance: instance, Host: host, Zone: "z", Region: "r", Callers: "c-" + instance, Peers: "p-" + instance,
		Sequence: sequence, Ready: true, Demand: []*fleet.Demand{{Customer: "x", PerSecond: 5}},
	}
}

func registration(instance, host string) fleet.Registration {
	return fleet.Registration{Instance: instance, Host: host, Peers: "p-" + instance}
}

// A host is cut off from this one, but callers still reach it. It is not named
// to callers any more, but its part of customers' rates is kept for it until its
// registration has lapsed.
func TestSilentHostKeepsItsPart(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me")
	m.List(start, []fleet.Registration{registration("a", "host-a")})
	m.Hear(start, beat("a", "host-a", 1))
	g.Expect(m.Heard()).To(HaveLen(1))
	later := start.Add(10 * time.Second)
	m.Tick(later)
	g.Expect(m.Heard()).To(BeEmpty())
	g.Expect(m.Count()).To(Equal(2))
	g.Expect(m.Demand()).To(HaveKeyWithValue("x", 5.0))
	m.List(later, nil)
	m.Tick(later)
	g.Expect(m.Count()).To(Equal(1))
	g.Expect(m.Demand()).To(BeEmpty())
}

// A host is killed and starts again. Its earlier instance is gone at once,
// whether its registration or its heartbeat is read first.
func TestRestartedHostCountsOnce(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me")
	m.Hear(start, beat("a-1", "host-a", 7))
	m.Hear(start, beat("a-2", "host-a", 1))
	m.List(start, []fleet.Registration{registration("a-1", "host-a"), registration("a-2", "host-a"), registration("me-0", "host-me")})
	heard := m.Heard()
	g.Expect(heard).To(HaveLen(1))
	g.Expect(heard[0].Instance).To(Equal("a-2"))
	g.Expect(m.Count()).To(Equal(2))
}

// Datagrams overtake each other: an older heartbeat must not make a leaving host
// ready again.
func TestOldHeartbeat(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me")
	leaving := beat("a", "host-a", 9)
	leaving.Ready, leaving.Leaving = false, true
	m.Hear(start, leaving)
	m.Hear(start, beat("a", "host-a", 8))
	g.Expect(m.Heard()[0].Leaving).To(BeTrue())
	m.Hear(start, beat("me", "host-me", 1))
	g.Expect(m.Count()).To(Equal(2), "an echo of one's own is nobody")
}

func TestHeartbeatsTravel(t *testing.T) {
	g := NewWithT(t)
	a, err := fleet.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	b, err := fleet.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	heard, spoiled := make(chan *fleet.Packet, 8), make(chan error, 8)
	go b.Receive(ctx, func(p *fleet.Packet, _ string) { heard <- p }, func(err error) { spoiled <- err })
	g.Expect(a.Send(beat("a", "host-a", 3), []string{b.Address()})).To(Succeed())
	var got *fleet.Packet
	g.Eventually(heard, "5s").Should(Receive(&got))
	g.Expect(got.GetHeartbeat().Sequence).To(Equal(uint64(3)))
	g.Expect(a.Send(beat("a", "host-a", 3), []string{"not an address"})).NotTo(Succeed())
}
