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

func heartbeat(instance, host string, sequence uint64) *fleet.Heartbeat {
	return &fleet.Heartbeat{
		Instance: instance, Host: host, Zone: "z", Region: "r", Callers: "c-" + instance, Peers: "p-" + instance,
		Sequence: sequence, Ready: true, Demand: []*fleet.Demand{{Customer: "x", PerSecond: 5}},
	}
}

func registration(instance, host string) fleet.Registration {
	return fleet.Registration{Instance: instance, Host: host, Peers: "p-" + instance}
}

// Guards against a customer that gets more than its rate because the demand of a
// partitioned host is dropped while callers still reach that host. The host is no longer
// listed as alive, but its fraction of the rate is reserved until its registration
// expires.
func TestUnresponsiveHostKeepsItsDemand(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me", "r")
	m.ApplyRegistrations(start, []fleet.Registration{registration("a", "host-a")})
	m.ApplyHeartbeat(start, heartbeat("a", "host-a", 1))
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

// Guards against a restarted host that counts twice. Its earlier instance is removed as
// soon as a heartbeat of the new one arrives, and is not added again while its registration
// is still in the store.
func TestRestartedHostCountsOnce(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me", "r")
	m.ApplyHeartbeat(start, heartbeat("a-1", "host-a", 7))
	m.ApplyHeartbeat(start, heartbeat("a-2", "host-a", 1))
	m.ApplyRegistrations(start, []fleet.Registration{registration("a-1", "host-a"), registration("a-2", "host-a"), registration("me-0", "host-me")})
	alive := m.Alive()
	g.Expect(alive).To(HaveLen(1))
	g.Expect(alive[0].Instance).To(Equal("a-2"))
	g.Expect(m.Count()).To(Equal(2))
}

// Guards against an older heartbeat that arrives late, because datagrams are reordered,
// and makes a leaving host ready again.
func TestOutdatedHeartbeatIsIgnored(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me", "r")
	leaving := heartbeat("a", "host-a", 9)
	leaving.Ready, leaving.Leaving = false, true
	m.ApplyHeartbeat(start, leaving)
	m.ApplyHeartbeat(start, heartbeat("a", "host-a", 8))
	g.Expect(m.Alive()[0].Leaving).To(BeTrue())
	m.ApplyHeartbeat(start, heartbeat("me", "host-me", 1))
	g.Expect(m.Count()).To(Equal(2), "a heartbeat of this instance adds no member")
}

func TestHeartbeatsAreDelivered(t *testing.T) {
	g := NewWithT(t)
	a, err := fleet.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	b, err := fleet.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	received, failures := make(chan *fleet.Packet, 8), make(chan error, 8)
	go b.Receive(ctx, func(p *fleet.Packet, _ string) { received <- p }, func(err error) { failures <- err })
	g.Expect(a.SendHeartbeat(heartbeat("a", "host-a", 3), []string{b.Address()})).To(Succeed())
	var got *fleet.Packet
	g.Eventually(received, "5s").Should(Receive(&got))
	g.Expect(got.GetHeartbeat().Sequence).To(Equal(uint64(3)))
	g.Expect(a.SendHeartbeat(heartbeat("a", "host-a", 3), []string{"not an address"})).NotTo(Succeed())
}

// Guards against a host that has just become active and claims a customer's full rate,
// because the compact heartbeats that it received do not include demand.
func TestCompactHeartbeatsClearDemand(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me", "r")
	full := heartbeat("a", "host-a", 1)
	m.ApplyHeartbeat(start, full)
	g.Expect(m.DemandComplete()).To(BeTrue())
	compact := heartbeat("a", "host-a", 2)
	compact.Brief, compact.Demand = true, nil
	m.ApplyHeartbeat(start, compact)
	g.Expect(m.DemandComplete()).To(BeFalse())
	g.Expect(m.Demand()).To(BeEmpty())
	m.ApplyHeartbeat(start, heartbeat("a", "host-a", 3))
	g.Expect(m.DemandComplete()).To(BeTrue())
	g.Expect(m.Demand()).To(HaveKeyWithValue("x", 5.0))
}

// Guards against state of the entire fleet that is rebuilt with each heartbeat: with
// hundreds of hosts, rebuilding alone would use up a host's processor.
func TestUnchangedHeartbeatsKeepTheGeneration(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me", "r")
	m.ApplyHeartbeat(start, heartbeat("a", "host-a", 1))
	m.Expire(start)
	before := m.Generation()
	again := heartbeat("a", "host-a", 2)
	again.RequestsPerSecond = 70
	m.ApplyHeartbeat(start.Add(time.Second), again)
	m.Expire(start.Add(time.Second))
	g.Expect(m.Generation()).To(Equal(before))
	inactive := heartbeat("a", "host-a", 3)
	inactive.Ready = false
	m.ApplyHeartbeat(start.Add(time.Second), inactive)
	g.Expect(m.Generation()).NotTo(Equal(before), "the host is no longer active")
	before = m.Generation()
	m.Expire(start.Add(time.Minute))
	g.Expect(m.Generation()).NotTo(Equal(before), "the host is unresponsive")
}

// Guards against idle traffic that grows with the square of the fleet size. Standby hosts
// send each other no heartbeats, and presume each other alive while they are registered.
func TestRegisteredStandbyHostsArePresumedAlive(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me", "r")
	m.ApplyRegistrations(start, []fleet.Registration{
		{Instance: "near", Host: "host-near", Region: "r", Peers: "p-near", Cores: 0.8},
		{Instance: "far", Host: "host-far", Region: "elsewhere", Peers: "p-far"},
		registration("a", "host-a"),
	})
	m.ApplyHeartbeat(start, heartbeat("a", "host-a", 1))
	g.Expect(m.ReadyPeers()).To(ConsistOf("p-a"))
	g.Expect(m.StandbyPeers()).To(ConsistOf("p-near", "p-far"))
	g.Expect(m.Interval(true)).To(Equal(fleet.Interval(2)), "the interval depends on the number of active hosts")
	presumed := m.PresumedStandbys("r")
	g.Expect(presumed).To(HaveLen(1))
	g.Expect(presumed[0].Capacity.Cores).To(Equal(0.8))
	m.Expire(start.Add(time.Minute))
	g.Expect(m.Alive()).To(BeEmpty())
	g.Expect(m.PresumedStandbys("r")).To(HaveLen(1), "an active host that is unresponsive is not presumed alive")
}

func BenchmarkMembers(b *testing.B) {
	for _, hosts := range []int{10, 84, 295} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			m := fleet.NewMembers("me", "host-me", "r")
			heartbeats := make([]*fleet.Heartbeat, hosts)
			for i := range heartbeats {
				name := fmt.Sprint(i)
				heartbeats[i] = heartbeat(name, "host-"+name, 1)
			}
			now := start
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				h := heartbeats[i%hosts]
				h.Sequence++
				m.ApplyHeartbeat(now, h)
				if i%100 == 0 {
					m.Expire(now)
				}
				if m.Generation() == 0 {
					b.Fatal("no heartbeat was applied")
				}
			}
		})
	}
}

// Guards against the two sides of a split region that each grant the region's whole part of a rate.
func TestHeardFractionsOfTwoSidesAddUpToOne(t *testing.T) {
	const hosts = 5
	for cut := range hosts + 1 {
		g := NewWithT(t)
		sum := map[bool]float64{}
		for self := range hosts {
			m := fleet.NewMembers(fmt.Sprint(self), fmt.Sprint("host-", self), "r")
			list := []fleet.Registration{{Instance: "far", Host: "far", Region: "other", HoldsShares: true}, {Instance: "standby", Host: "standby", Region: "r"}, {Instance: "left", Host: "left", Region: "r", HoldsShares: true}}
			for other := range hosts {
				list = append(list, fleet.Registration{Instance: fmt.Sprint(other), Host: fmt.Sprint("host-", other), Region: "r", HoldsShares: true})
			}
			m.ApplyRegistrations(start, list)
			later := start.Add(10 * time.Second)
			for other := range hosts {
				if other == self {
					continue
				}
				m.ApplyHeartbeat(start, heartbeat(fmt.Sprint(other), fmt.Sprint("host-", other), 1))
				if (other < cut) == (self < cut) {
					m.ApplyHeartbeat(later, heartbeat(fmt.Sprint(other), fmt.Sprint("host-", other), 2))
				}
			}
			m.Expire(later)
			// All hosts of a side agree, and one of them owns the bucket.
			sum[self < cut] = m.HeardFraction()
		}
		g.Expect(sum[true] + sum[false]).To(BeNumerically("~", 1, 1e-9))
	}
}
