package fleet_test

import (
	"context"
	"fmt"
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
	m := fleet.NewMembers("me", "host-me", "r")
	m.ApplyRegistrations(start, []fleet.Registration{registration("a", "host-a")})
	m.ApplyHeartbeat(start, beat("a", "host-a", 1))
	g.Expect(m.Alive()).To(HaveLen(1))
	later := start.Add(10 * time.Second)
	m.Expire(later)
	g.Expect(m.Alive()).To(BeEmpty())
	g.Expect(m.Count()).To(Equal(2))
	g.Expect(m.Demand()).To(HaveKeyWithValue("x", 5.0))
	m.ApplyRegistrations(later, nil)
	m.Expire(later)
	g.Expect(m.Count()).To(Equal(1))
	g.Expect(m.Demand()).To(BeEmpty())
}

// A host is killed and starts again. Its earlier instance is gone at once,
// whether its registration or its heartbeat is read first.
func TestRestartedHostCountsOnce(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me", "r")
	m.ApplyHeartbeat(start, beat("a-1", "host-a", 7))
	m.ApplyHeartbeat(start, beat("a-2", "host-a", 1))
	m.ApplyRegistrations(start, []fleet.Registration{registration("a-1", "host-a"), registration("a-2", "host-a"), registration("me-0", "host-me")})
	heard := m.Alive()
	g.Expect(heard).To(HaveLen(1))
	g.Expect(heard[0].Instance).To(Equal("a-2"))
	g.Expect(m.Count()).To(Equal(2))
}

// Datagrams overtake each other: an older heartbeat must not make a leaving host
// ready again.
func TestOldHeartbeat(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me", "r")
	leaving := beat("a", "host-a", 9)
	leaving.Ready, leaving.Leaving = false, true
	m.ApplyHeartbeat(start, leaving)
	m.ApplyHeartbeat(start, beat("a", "host-a", 8))
	g.Expect(m.Alive()[0].Leaving).To(BeTrue())
	m.ApplyHeartbeat(start, beat("me", "host-me", 1))
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
	g.Expect(a.SendHeartbeat(beat("a", "host-a", 3), []string{b.Address()})).To(Succeed())
	var got *fleet.Packet
	g.Eventually(heard, "5s").Should(Receive(&got))
	g.Expect(got.GetHeartbeat().Sequence).To(Equal(uint64(3)))
	g.Expect(a.SendHeartbeat(beat("a", "host-a", 3), []string{"not an address"})).NotTo(Succeed())
}

// Guards against a host that has just begun to take callers and takes a customer's
// whole rate, because brief heartbeats have told it of no demand elsewhere.
func TestBriefHeartbeatsTellNoDemand(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me", "r")
	full := beat("a", "host-a", 1)
	m.ApplyHeartbeat(start, full)
	g.Expect(m.DemandComplete()).To(BeTrue())
	brief := beat("a", "host-a", 2)
	brief.Brief, brief.Demand = true, nil
	m.ApplyHeartbeat(start, brief)
	g.Expect(m.DemandComplete()).To(BeFalse())
	g.Expect(m.Demand()).To(BeEmpty())
	m.ApplyHeartbeat(start, beat("a", "host-a", 3))
	g.Expect(m.DemandComplete()).To(BeTrue())
	g.Expect(m.Demand()).To(HaveKeyWithValue("x", 5.0))
}

// Guards against views of the whole fleet that are rebuilt with each heartbeat: at
// hundreds of hosts that alone takes a host's processor.
func TestHeartbeatsThatSayNothingNewChangeNoView(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me", "r")
	m.ApplyHeartbeat(start, beat("a", "host-a", 1))
	m.Expire(start)
	before := m.Generation()
	again := beat("a", "host-a", 2)
	again.RequestsPerSecond = 70
	m.ApplyHeartbeat(start.Add(time.Second), again)
	m.Expire(start.Add(time.Second))
	g.Expect(m.Generation()).To(Equal(before))
	stops := beat("a", "host-a", 3)
	stops.Ready = false
	m.ApplyHeartbeat(start.Add(time.Second), stops)
	g.Expect(m.Generation()).NotTo(Equal(before), "it takes no callers any more")
	before = m.Generation()
	m.Expire(start.Add(time.Minute))
	g.Expect(m.Generation()).NotTo(Equal(before), "it is silent")
}

// Guards against a cost at rest that grows with the square of the fleet: a host that
// stands by is sent nothing by the others that do, and takes them to live as long as
// they are registered.
func TestHostsThatStandByAreTakenToLive(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me", "r")
	m.ApplyRegistrations(start, []fleet.Registration{
		{Instance: "near", Host: "host-near", Region: "r", Peers: "p-near", Cores: 0.8},
		{Instance: "far", Host: "host-far", Region: "elsewhere", Peers: "p-far"},
		registration("a", "host-a"),
	})
	m.ApplyHeartbeat(start, beat("a", "host-a", 1))
	g.Expect(m.ReadyPeers()).To(ConsistOf("p-a"))
	g.Expect(m.StandbyPeers(false)).To(ConsistOf("p-near"))
	g.Expect(m.StandbyPeers(true)).To(ConsistOf("p-near", "p-far"))
	g.Expect(m.Interval(true)).To(Equal(fleet.Interval(2)), "by the hosts that take callers")
	unheard := m.PresumedStandbys("r")
	g.Expect(unheard).To(HaveLen(1))
	g.Expect(unheard[0].Capacity.Cores).To(Equal(0.8))
	m.Expire(start.Add(time.Minute))
	g.Expect(m.Alive()).To(BeEmpty())
	g.Expect(m.PresumedStandbys("r")).To(HaveLen(1), "a host that took callers and is silent is not")
}

func BenchmarkMembers(b *testing.B) {
	for _, hosts := range []int{10, 84, 295} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			m := fleet.NewMembers("me", "host-me", "r")
			beats := make([]*fleet.Heartbeat, hosts)
			for i := range beats {
				name := fmt.Sprint(i)
				beats[i] = beat(name, "host-"+name, 1)
			}
			now := start
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				h := beats[i%hosts]
				h.Sequence++
				m.ApplyHeartbeat(now, h)
				if i%100 == 0 {
					m.Expire(now)
				}
				if m.Generation() == 0 {
					b.Fatal("nothing was heard")
				}
			}
		})
	}
}
