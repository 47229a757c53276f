package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
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

// storeClient returns a store client that belongs to no daemon: the fleet learns of
// its writes only through the store.
func (f *fleet) storeClient() *platform.Store {
	client := platform.NewStore(f.url, (&net.Dialer{}).DialContext, func(string, error) {})
	f.t.Cleanup(client.Close)
	return client
}

// writeToStore writes a patch directly to the store and returns the new version.
func (f *fleet) writeToStore(mergePatch string) uint64 {
	f.t.Helper()
	repository := config.NewRepository(f.storeClient(), time.Now)
	old, _, err := repository.Load(context.Background())
	f.g.Expect(err).NotTo(HaveOccurred())
	applied, err := repository.Apply(context.Background(), config.Patch{
		ChangeID: uuid.NewString(), Base: old.Version, Merge: json.RawMessage(mergePatch),
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	return applied.Version
}

// patch submits a patch through a daemon and returns the new version.
func (f *fleet) patch(through, mergePatch string) uint64 {
	f.t.Helper()
	client := ctl.NewClient(f.daemons[through].OperatorsAddress())
	current, err := client.Config()
	f.g.Expect(err).NotTo(HaveOccurred())
	applied, err := client.Patch(current.Version, []byte(mergePatch))
	f.g.Expect(err).NotTo(HaveOccurred())
	return applied.Version
}

func (f *fleet) configVersion(host string) func() uint64 {
	return func() uint64 { return f.daemons[host].View().Self.ConfigVersion }
}

func ratePatch(n uint64) string { return fmt.Sprintf(`{"customers":{"farm":{"rate":%d}}}`, n) }

// Guards against a stale configuration in a zone that cannot reach the store but
// can reach another zone. A change accepted elsewhere must become active there.
func TestZoneWithoutStoreGetsChangesFromPeers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	f.awaitReady(f.apply("vt-1", twoRegionConfig()))
	f.network.partition("me-1", "platform")
	version := f.patch("vt-1", ratePatch(900))
	f.g.Eventually(f.configVersion("me-1"), settleTimeout).Should(Equal(version))
}

// Guards against a zone that stops following the store. The daemon that watches
// the store for the zone crashes or loses the store, and no daemon outside the
// zone passes on the change. Another daemon of the zone must read it from the
// store.
func TestZoneReceivesChangesAfterLosingItsWatcher(t *testing.T) {
	t.Parallel()
	for name, loseWatcher := range map[string]func(*fleet){
		"watcher partitioned from the store": func(f *fleet) { f.network.partition("vt-1", "platform") },
		"watcher crashed":                    func(f *fleet) { f.kill("vt-1") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.start("vt-1", "vt-a")
			f.start("vt-2", "vt-a")
			f.awaitReady(f.apply("vt-1", twoRegionConfig()))
			f.g.Expect(f.daemons["vt-1"].View().Self.WatchesStore).To(BeTrue())
			f.g.Expect(f.daemons["vt-2"].View().Self.WatchesStore).To(BeFalse())
			loseWatcher(f)
			version := f.writeToStore(ratePatch(900))
			for host := range f.daemons {
				f.g.Eventually(f.configVersion(host), settleTimeout).Should(Equal(version))
			}
		})
	}
}

// startAt runs a daemon whose peers listener has a known address, and delays its
// connections to the address slow.
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

// Guards against starting with a version that accepts a withdrawn key. The store is
// down, and of two daemons that cannot reach each other only one has the latest
// change. A third daemon starts and gets heartbeats only from the older one. It
// must poll both and use the higher version. If the host list is unavailable too,
// the third daemon knows of the newer one only through the older one.
func TestColdStartUsesTheHighestVersionOfItsPeers(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]standin.Faults{
		"store down":               {StaleOnly: true},
		"store and host list down": {Down: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			old := f.start("vt-1", "vt-a")
			newer := f.start("vt-2", "vt-a")
			peers := freeAddress(f.g)
			f.listHost(membership.Host{Name: "me-1", Zone: "me-a", PeerAddress: peers})
			first := f.apply("vt-1", twoRegionConfig())
			f.awaitReady(first)
			f.g.Eventually(func() int { return len(old.View().Fleet.Hosts) }, settleTimeout).Should(Equal(2))
			f.network.partition("vt-1", "platform")
			f.network.partition("vt-1", "vt-2")
			second := f.patch("vt-2", ratePatch(900))
			f.g.Eventually(f.configVersion("vt-2"), settleTimeout).Should(Equal(second))
			f.platform.SetFaults(faults)

			f.network.blockDials("vt-2", "me-1", peers)
			third := f.startAt("me-1", "me-a", peers, newer.Identity().PeerAddress, 600*time.Millisecond)
			f.g.Eventually(func() membership.State { return third.View().Self.State }, settleTimeout, time.Millisecond).
				Should(Equal(membership.StateReady))
			f.g.Expect(third.View().Self.ConfigVersion).To(Equal(second))
			f.g.Expect(old.View().Self.ConfigVersion).To(BeNumerically(">=", first))
		})
	}
}

// blockDials rejects connections from one host to an address of another, which can
// still connect in the other direction.
func (n *network) blockDials(from, to, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodeByAddress[address] = to
	n.partitioned[[2]string{from, to}] = true
}

func freeAddress(g *WithT) string {
	// Ports below the ephemeral range: the listeners of parallel tests, which let the
	// system pick a port, cannot take this one before the daemon binds it.
	const first, count = 20000, 10000
	for range count {
		port := first + (os.Getpid()*16+int(fixedPorts.Add(1)))%count
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			continue
		}
		g.Expect(l.Close()).To(Succeed())
		return l.Addr().String()
	}
	g.Expect("no free port").To(BeEmpty())
	return ""
}

// fixedPorts counts the ports that freeAddress has tried, so that parallel tests get
// different ones.
var fixedPorts atomic.Int32

// Guards against serving without a configuration. A host starts while the platform
// is down and no other host can be reached. It must stay in the starting state and
// reject requests, and become ready once the platform is back.
func TestColdStartWithoutAnyConfiguration(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	version := f.apply("vt-1", twoRegionConfig())
	f.awaitReady(version)
	f.kill("vt-1")
	f.platform.SetFaults(standin.Faults{Down: true})
	d := f.start("vt-2", "vt-a")
	state := func() membership.State { return d.View().Self.State }
	g.Eventually(state, settleTimeout).Should(Equal(membership.StateStarting))
	rejected := f.call("vt-2", http.MethodGet, "lookup/x", "secret", nil)
	g.Expect(rejected.Problem.Type).To(Equal(wire.TypeNoConfiguration))
	g.Expect(rejected.Outcome).To(Equal(wire.OutcomeNotRun))
	g.Consistently(state).Should(Equal(membership.StateStarting))
	f.platform.SetFaults(standin.Faults{})
	g.Eventually(state, settleTimeout).Should(Equal(membership.StateReady))
	g.Expect(f.configVersion("vt-2")()).To(Equal(version))
}

// Guards against a rollback when the store loses data and returns with an older
// configuration. The active version must stay active, and a change based on the
// older one must be rejected: no daemon would ever apply it.
func TestStoreRollbackDoesNotRevertConfiguration(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.apply("vt-1", twoRegionConfig())
	store := f.storeClient()
	before, err := store.Get(context.Background(), config.StoreKey)
	g.Expect(err).NotTo(HaveOccurred())
	version := f.patch("vt-1", ratePatch(900))
	g.Eventually(f.configVersion("vt-1"), settleTimeout).Should(Equal(version))
	now, err := store.Get(context.Background(), config.StoreKey)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = store.CompareAndSwap(context.Background(), config.StoreKey, now.Revision, before.Value, 0)
	g.Expect(err).NotTo(HaveOccurred())

	g.Consistently(f.configVersion("vt-1")).Should(Equal(version))
	_, err = ctl.NewClient(f.daemons["vt-1"].OperatorsAddress()).Patch(version-1, []byte(ratePatch(800)))
	var rejected *ctl.APIError
	g.Expect(errors.As(err, &rejected)).To(BeTrue())
	g.Expect(rejected.Failure.Type).To(Equal(operator.FailureNotApplied))
}

// Guards against an outage in a partial upgrade. Half of the fleet is upgraded, and
// operators use a field that the older daemons do not know. The older daemons must
// keep serving with the last version that they can read, and the fleet status must
// report the rejected version.
func TestUnreadableVersionIsReportedAndNotApplied(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	c := twoRegionConfig()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", fastUpstream)
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
	g.Eventually(status, settleTimeout).Should(And(
		HaveField("ConfigRejected", version+1), HaveField("ConfigVersion", version)))
	g.Eventually(func() wire.Outcome {
		return f.call("vt-1", http.MethodGet, "lookup/x", "secret", nil).Outcome
	}, settleTimeout).Should(Equal(wire.OutcomeRan))
}

// status returns the status of host as the daemon on the host through reports it.
func (f *fleet) status(through, host string) operator.DaemonStatus {
	fleet, err := ctl.NewClient(f.daemons[through].OperatorsAddress()).Fleet()
	f.g.Expect(err).NotTo(HaveOccurred())
	for _, d := range fleet.Daemons {
		if d.Host == host {
			return d
		}
	}
	return operator.DaemonStatus{ConfirmedAgeMs: -1}
}

// Guards against a fleet status that omits hosts whose version is unknown. One
// listed host crashes, and another is listed but was never started. The status
// must show both as unresponsive until they are removed from the host list.
func TestFleetStatusShowsUnresponsiveHosts(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	f.listHost(membership.Host{Name: "me-2", Zone: "me-a", PeerAddress: "127.0.0.1:1"})
	f.awaitReady(f.apply("vt-1", twoRegionConfig()))
	g.Eventually(func() int64 { return f.status("vt-1", "me-1").ConfirmedAgeMs }, settleTimeout).Should(BeNumerically(">=", 0))
	f.kill("me-1")
	status := func() []operator.DaemonStatus {
		fleet, err := ctl.NewClient(f.daemons["vt-1"].OperatorsAddress()).Fleet()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fleet.Complete).To(BeTrue())
		return fleet.Daemons
	}
	g.Eventually(status, settleTimeout).Should(ConsistOf(
		And(HaveField("Host", "vt-1"), HaveField("State", membership.StateReady)),
		And(HaveField("Host", "me-1"), HaveField("State", operator.StateUnresponsive), HaveField("ConfigVersion", uint64(1))),
		And(HaveField("Host", "me-2"), HaveField("State", operator.StateUnresponsive), HaveField("ConfigVersion", uint64(0)),
			HaveField("Zone", "me-a")),
	))
}
