package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"balsambarrow/internal/fleet"
)

// activeHeartbeat is a heartbeat of an active host.
func activeHeartbeat(i int, sequence uint64) *fleet.Heartbeat {
	name := fmt.Sprintf("front-%03d", i)
	return &fleet.Heartbeat{
		Instance: name + "-1", Host: name, Zone: "a1", Region: "r", Callers: "c-" + name, Peers: "p-" + name,
		Sequence: sequence, Ready: true, Able: true, SeesStore: true, RequestsPerSecond: 10,
	}
}

// summaryOf is what an active host that knows only others reports of them.
func summaryOf(m *fleet.Members, known uint64) *fleet.ActiveSummary {
	s := &fleet.ActiveSummary{Digest: m.ActiveDigest(), Region: "r", RequestsPerSecond: float32(m.ActiveLoad().RequestsPerSecond)}
	if s.Digest != known {
		s.Hosts = m.ActiveHeartbeats()
	}
	return s
}

// Guards against heartbeats of each active host to each standby, whose number grows with the
// product of both. A standby follows the active hosts by one summary a second.
func TestStandbyFollowsActiveHostsBySummary(t *testing.T) {
	const (
		// maxBytes bounds a summary of unchanged hosts.
		maxBytes = 64
		seconds  = 60
	)
	for _, active := range []int{90, 180} { // of 984 hosts, and of twice as many
		t.Run(fmt.Sprint(active), func(t *testing.T) {
			g := NewWithT(t)
			sender := fleet.NewMembers("sender", "host-sender", "r")
			sender.SetReady(true)
			m := fleet.NewMembers("me", "host-me", "r")
			withHosts := 0
			exchange := func(now time.Time) {
				s := summaryOf(sender, m.ActiveDigest())
				if len(s.Hosts) > 0 {
					withHosts++
				} else {
					g.Expect(proto.Size(s)).To(BeNumerically("<", maxBytes))
				}
				m.ApplyActiveSummary(now, s)
				m.Expire(now)
			}
			for second := range seconds {
				now := start.Add(time.Duration(second) * time.Second)
				for i := range active {
					if i == 0 && second >= seconds/2 {
						continue // the first host has died
					}
					sender.ApplyHeartbeat(now, activeHeartbeat(i, uint64(second+1)))
				}
				before := len(sender.Alive())
				sender.Expire(now)
				exchange(now)
				g.Expect(len(m.Alive())).To(BeElementOf(before, len(sender.Alive())), "at most one summary behind the sender")
			}
			g.Expect(m.Alive()).To(HaveLen(active-1), "the host that died is missed with the sender")
			g.Expect(withHosts).To(BeNumerically("<=", 3), "at the first summary, and twice after the death of a host")
			load := 0.0
			for _, k := range m.Alive() {
				load += k.Load.RequestsPerSecond
			}
			g.Expect(load).To(BeNumerically("~", 10*float64(active-1), 0.01))
			m.Expire(start.Add((seconds + 10) * time.Second))
			g.Expect(m.Alive()).To(BeEmpty(), "without summaries no host counts as active")
		})
	}
}

// Guards against a summary that is older than a heartbeat: a host that has just become active
// must stay known, and one that has restarted must not be replaced by its earlier instance.
func TestOlderSummaryDoesNotReplaceHeartbeats(t *testing.T) {
	g := NewWithT(t)
	sender := fleet.NewMembers("sender", "host-sender", "r")
	sender.ApplyHeartbeat(start, activeHeartbeat(1, 5))
	m := fleet.NewMembers("me", "host-me", "r")
	restarted := activeHeartbeat(1, 1)
	restarted.Instance = "front-001-2"
	m.ApplyHeartbeat(start, restarted)
	m.ApplyHeartbeat(start, activeHeartbeat(2, 1))
	m.ApplyActiveSummary(start.Add(time.Second), summaryOf(sender, 0))
	var alive []string
	for _, k := range m.Alive() {
		alive = append(alive, k.Instance)
	}
	g.Expect(alive).To(ConsistOf("front-001-2", "front-002-1"))
}

// Guards against a standby that does not learn of a change of an active host, since it receives
// no heartbeats: it would send callers to a host that leaves, ask one that has lost the store for
// its state, or request tokens from one that may not grant any.
func TestSummaryCoversTheStateOfActiveHosts(t *testing.T) {
	for name, change := range map[string]func(*fleet.Heartbeat){
		"leaving":       func(b *fleet.Heartbeat) { b.Leaving = true },
		"store lost":    func(b *fleet.Heartbeat) { b.SeesStore = false },
		"holds shares":  func(b *fleet.Heartbeat) { b.Registered = true },
		"standby again": func(b *fleet.Heartbeat) { b.Ready = false },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sender, m := fleet.NewMembers("sender", "host-sender", "r"), fleet.NewMembers("me", "host-me", "r")
			for i := range 3 {
				sender.ApplyHeartbeat(start, activeHeartbeat(i, 1))
			}
			m.ApplyActiveSummary(start, summaryOf(sender, m.ActiveDigest()))
			changed := activeHeartbeat(1, 2)
			change(changed)
			later := start.Add(2 * time.Second)
			sender.ApplyHeartbeat(later, changed)
			m.ApplyActiveSummary(later, summaryOf(sender, m.ActiveDigest()))
			g.Expect(m.ActiveDigest()).To(Equal(sender.ActiveDigest()))
			ready := 0
			for _, k := range m.Alive() {
				if k.Ready {
					ready++
				}
				if k.Instance == changed.Instance {
					g.Expect([]bool{k.Leaving, k.StoreReachable, k.Registered}).To(Equal([]bool{changed.Leaving, changed.SeesStore, changed.Registered}))
				}
			}
			want := 3
			if !changed.Ready {
				want = 2
			}
			g.Expect(ready).To(Equal(want))
		})
	}
}

// Guards against hosts that never learn of each other because they become ready at the same time,
// after an outage of the store in which none was: each sends heartbeats only to active hosts.
func TestHostsThatHoldSharesExchangeHeartbeatsWhileNoneIsReady(t *testing.T) {
	g := NewWithT(t)
	m := fleet.NewMembers("me", "host-me", "r")
	notReady := activeHeartbeat(1, 1)
	notReady.Ready = false
	m.ApplyRegistrations(start, []fleet.Registration{{Instance: notReady.Instance, Host: notReady.Host, Region: "r", Peers: notReady.Peers, HoldsShares: true}})
	m.ApplyHeartbeat(start, notReady)
	m.Expire(start.Add(time.Minute))
	g.Expect(m.ReadyPeers()).To(ConsistOf(notReady.Peers))
}

// Guards against heartbeats of standbys whose number grows with active hosts times standbys.
func TestStandbySendsHeartbeatsToFewActiveHosts(t *testing.T) {
	const wanted = 3
	for _, active := range []int{90, 180} { // of 984 hosts, and of twice as many
		t.Run(fmt.Sprint(active), func(t *testing.T) {
			g := NewWithT(t)
			standbys := 10 * active
			received := map[string]int{}
			for i := range standbys {
				m := fleet.NewMembers(fmt.Sprint("standby-", i), fmt.Sprint("host-", i), "r")
				for a := range active {
					m.ApplyHeartbeat(start, activeHeartbeat(a, 1))
				}
				targets := m.StandbyTargets()
				g.Expect(targets).To(HaveLen(wanted))
				for _, target := range targets {
					received[target]++
				}
				g.Expect(m.Interval(false)).To(BeNumerically(">=", time.Second))
			}
			mean := wanted * standbys / active
			for _, n := range received {
				g.Expect(n).To(BeNumerically("<=", 3*mean), "the heartbeats are spread over the active hosts")
			}
		})
	}
}
