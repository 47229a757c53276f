package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/daemon"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/operator"
	"balsambarrow/internal/operator/ctl"
	"balsambarrow/internal/settings"
	"balsambarrow/internal/standin"
	"balsambarrow/internal/telemetry"
	"balsambarrow/internal/wire"
	"balsambarrow/platform"
)

// storeClient reaches the platform as nobody's daemon: what it writes is known
// to the fleet through the store alone.
func (f *fleet) storeClient() *platform.Store {
	client := platform.NewStore(f.url, (&net.Dialer{}).DialContext, func(string, error) {})
	f.t.Cleanup(client.Close)
	return client
}

// write submits a patch past all daemons and returns the version it made.
func (f *fleet) write(merge string) uint64 {
	f.t.Helper()
	repository := config.NewRepository(f.storeClient(), time.Now)
	old, _, err := repository.Load(context.Background())
	f.g.Expect(err).NotTo(HaveOccurred())
	applied, err := repository.Apply(context.Background(), config.Patch{
		ChangeID: uuid.NewString(), Base: old.Version, Merge: json.RawMessage(merge),
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	return applied.Version
}

// patch submits a patch through a daemon.
func (f *fleet) patch(through, merge string) uint64 {
	f.t.Helper()
	client := ctl.NewClient(f.daemons[through].OperatorsAddress())
	current, err := client.Config()
	f.g.Expect(err).NotTo(HaveOccurred())
	a, err := client.Patch(current.Version, []byte(merge))
	f.g.Expect(err).NotTo(HaveOccurred())
	return a.Version
}

func (f *fleet) version(host string) func() uint64 {
	return func() uint64 { return f.daemons[host].View().Self.ConfigVersion }
}

func rate(n uint64) string { return fmt.Sprintf(`{"customers":{"farm":{"rate":%d}}}`, n) }

// A zone has lost the store but still hears another zone. A change accepted
// elsewhere must come into force there too.
func TestZoneWithoutStoreLearnsFromPeers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	f.awaitReady(f.apply("vt-1", twoRegions()))
	f.network.cut("me-1", "platform")
	version := f.patch("vt-1", rate(900))
	f.g.Eventually(f.version("me-1"), settle).Should(Equal(version))
}

// The daemon that waits on the store for its zone loses the store, or dies,
// while the zone is cut off from all others. A change that reaches only the
// store must come into force in the zone all the same: another daemon of the
// zone has to ask.
func TestZoneFollowsTheStoreWithoutItsWatcher(t *testing.T) {
	t.Parallel()
	for name, lose := range map[string]func(*fleet){
		"watcher cut off from the store": func(f *fleet) { f.network.cut("vt-1", "platform") },
		"watcher dead":                   func(f *fleet) { f.kill("vt-1") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.start("vt-1", "vt-a")
			f.start("vt-2", "vt-a")
			f.awaitReady(f.apply("vt-1", twoRegions()))
			f.g.Expect(f.daemons["vt-1"].View().Self.WatchesStore).To(BeTrue())
			f.g.Expect(f.daemons["vt-2"].View().Self.WatchesStore).To(BeFalse())
			lose(f)
			version := f.write(rate(900))
			for host := range f.daemons {
				f.g.Eventually(f.version(host), settle).Should(Equal(version))
			}
		})
	}
}

// startAt runs a daemon whose peers listener has a known address, dialing
// with a delay to one slow address.
func (f *fleet) startAt(host, zone, peers, slow string, delay time.Duration) *daemon.Daemon {
	text := fmt.Sprintf(`{"host":%q,"zone":%q,"listen":{"peers":%q},"platform":{"url":%q,"timeout_ms":1000},"tls":{"plain":true}}`, host, zone, peers, f.url)
	s, err := settings.Parse("test", []byte(text))
	f.g.Expect(err).NotTo(HaveOccurred())
	dial := f.network.dialer(host)
	d, err := daemon.New(s, telemetry.NewLogger(f.t.Output(), "info"), daemon.Options{
		Dial: func(ctx context.Context, proto, address string) (net.Conn, error) {
			if address == slow {
				time.Sleep(delay)
			}
			return dial(ctx, proto, address)
		},
		LookupTTL: 300 * time.Millisecond,
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(d.Start()).To(Succeed())
	f.daemons[host] = d
	return d
}

// The store is out, and a withdrawal was accepted shortly before. Of two
// daemons that cannot hear each other one has it, one has not. A third starts
// and hears only the older one. It must not serve by that version: the key
// that it would let in was withdrawn. With the host list out as well, it knows
// of the second daemon only through the first.
func TestColdStartTakesTheHighestVersionOfItsPeers(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]standin.Faults{
		"store out":               {StaleOnly: true},
		"store and host list out": {Down: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			old := f.start("vt-1", "vt-a")
			newer := f.start("vt-2", "vt-a")
			peers := freeAddress(f.g)
			f.list(membership.Host{Name: "me-1", Zone: "me-a", PeerAddress: peers})
			first := f.apply("vt-1", twoRegions())
			f.awaitReady(first)
			f.g.Eventually(func() int { return len(old.View().Fleet.Hosts) }, settle).Should(Equal(2))
			f.network.cut("vt-1", "platform")
			f.network.cut("vt-1", "vt-2")
			second := f.patch("vt-2", rate(900))
			f.g.Eventually(f.version("vt-2"), settle).Should(Equal(second))
			f.platform.SetFaults(faults)

			f.network.cutOneWay("vt-2", "me-1", peers)
			third := f.startAt("me-1", "me-a", peers, newer.Identity().PeerAddress, 600*time.Millisecond)
			f.g.Eventually(func() membership.State { return third.View().Self.State }, settle, time.Millisecond).
				Should(Equal(membership.StateReady))
			f.g.Expect(third.View().Self.ConfigVersion).To(Equal(second))
			f.g.Expect(old.View().Self.ConfigVersion).To(BeNumerically(">=", first))
		})
	}
}

// cutOneWay refuses dials from one side to an address of another, which can
// still dial back.
func (n *network) cutOneWay(from, to, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sides[address] = to
	n.cuts[[2]string{from, to}] = true
}

func freeAddress(g *WithT) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// A host starts while the platform is out and no other host can be reached.
// It has no configuration: it must say so and stay out of use, and come into
// use by itself when the platform is back.
func TestColdStartWithoutAnyConfiguration(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	version := f.apply("vt-1", twoRegions())
	f.awaitReady(version)
	f.kill("vt-1")
	f.platform.SetFaults(standin.Faults{Down: true})
	d := f.start("vt-2", "vt-a")
	state := func() membership.State { return d.View().Self.State }
	g.Eventually(state, settle).Should(Equal(membership.StateStarting))
	refused := f.call("vt-2", http.MethodGet, "lookup/x", "secret", nil)
	g.Expect(refused.Problem.Type).To(Equal(wire.TypeNoConfiguration))
	g.Expect(refused.Outcome).To(Equal(wire.OutcomeNotRun))
	g.Consistently(state).Should(Equal(membership.StateStarting))
	f.platform.SetFaults(standin.Faults{})
	g.Eventually(state, settle).Should(Equal(membership.StateReady))
	g.Expect(f.version("vt-2")()).To(Equal(version))
}

// The store loses data and comes back with an older configuration. What was
// in force must stay in force, and a change built on the old one must be
// refused: no daemon would ever adopt it.
func TestStoreThatLostDataRevertsNothing(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.apply("vt-1", twoRegions())
	store := f.storeClient()
	before, err := store.Get(context.Background(), config.StoreKey)
	g.Expect(err).NotTo(HaveOccurred())
	version := f.patch("vt-1", rate(900))
	g.Eventually(f.version("vt-1"), settle).Should(Equal(version))
	now, err := store.Get(context.Background(), config.StoreKey)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = store.CompareAndSwap(context.Background(), config.StoreKey, now.Revision, before.Value, 0)
	g.Expect(err).NotTo(HaveOccurred())

	g.Consistently(f.version("vt-1")).Should(Equal(version))
	_, err = ctl.NewClient(f.daemons["vt-1"].OperatorsAddress()).Patch(version-1, []byte(rate(800)))
	var refused *ctl.RefusedError
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(refused.Failure.Type).To(Equal(operator.FailNotApplied))
}

// Operators upgrade half of the fleet and use a field that the older daemons
// do not know. The older ones must go on serving by the last version they can
// read, and the fleet's status must show it.
func TestUnreadableVersionIsShownAndNotAdopted(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	c := twoRegions()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", quick)
	version := f.apply("vt-1", c)
	f.awaitReady(version)
	f.awaitHandlers("vt-1", "lookup")
	store := f.storeClient()
	now, err := store.Get(context.Background(), config.StoreKey)
	g.Expect(err).NotTo(HaveOccurred())
	record := fmt.Sprintf(`{"version":%d,"document":{"new_section":{}},"changes":[]}`, version+1)
	_, err = store.CompareAndSwap(context.Background(), config.StoreKey, now.Revision, []byte(record), 0)
	g.Expect(err).NotTo(HaveOccurred())

	status := func() operator.DaemonStatus {
		fleet, err := ctl.NewClient(f.daemons["vt-1"].OperatorsAddress()).Fleet()
		g.Expect(err).NotTo(HaveOccurred())
		return fleet.Daemons[0]
	}
	g.Eventually(status, settle).Should(And(
		HaveField("ConfigRejected", version+1), HaveField("ConfigVersion", version)))
	g.Eventually(func() wire.Outcome {
		return f.call("vt-1", http.MethodGet, "lookup/x", "secret", nil).Outcome
	}, settle).Should(Equal(wire.OutcomeRan))
}

// status is what one daemon shows of a host.
func (f *fleet) status(through, host string) operator.DaemonStatus {
	fleet, err := ctl.NewClient(f.daemons[through].OperatorsAddress()).Fleet()
	f.g.Expect(err).NotTo(HaveOccurred())
	for _, d := range fleet.Daemons {
		if d.Host == host {
			return d
		}
	}
	return operator.DaemonStatus{ConfirmedMs: -1}
}

// A host that is listed stops without a word before anyone asks for a change,
// and another one has only been listed so far. Nobody can say that a version
// is in force there, so the status must show both until they are delisted.
func TestFleetStatusShowsSilentHosts(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	f.list(membership.Host{Name: "me-2", Zone: "me-a", PeerAddress: "127.0.0.1:1"})
	f.awaitReady(f.apply("vt-1", twoRegions()))
	g.Eventually(func() int64 { return f.status("vt-1", "me-1").ConfirmedMs }, settle).Should(BeNumerically(">=", 0))
	f.kill("me-1")
	status := func() []operator.DaemonStatus {
		fleet, err := ctl.NewClient(f.daemons["vt-1"].OperatorsAddress()).Fleet()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fleet.Complete).To(BeTrue())
		return fleet.Daemons
	}
	g.Eventually(status, settle).Should(ConsistOf(
		And(HaveField("Host", "vt-1"), HaveField("State", membership.StateReady)),
		And(HaveField("Host", "me-1"), HaveField("State", operator.StateSilent), HaveField("ConfigVersion", uint64(1))),
		And(HaveField("Host", "me-2"), HaveField("State", operator.StateSilent), HaveField("ConfigVersion", uint64(0)),
			HaveField("Zone", "me-a")),
	))
}
