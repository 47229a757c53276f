package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/operator"
	"balsambarrow/internal/operator/ctl"
	"balsambarrow/internal/standin"
	"balsambarrow/internal/view"
	"balsambarrow/platform"
)

const initialConfig = `{
  "regions": { "vermont": {}, "maine": {} },
  "zones": { "vt-a": { "region": "vermont" }, "me-a": { "region": "maine" } },
  "services": { "lookup": {} },
  "upstreams": {
    "lookup-1": { "service": "lookup", "zone": "vt-a", "address": "127.0.0.1:9001" }
  },
  "customers": { "farm": { "rate": 10, "burst": 10 } }
}`

// delayedWriteStore is a store whose writes can be delayed. A delayed write returns
// kv.ErrOutcomeUnknown and takes effect when applyPendingWrite is called.
type delayedWriteStore struct {
	kv.Store
	mu           sync.Mutex
	delayWrites  bool
	pendingWrite func()
}

func (s *delayedWriteStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.delayWrites {
		return s.Store.CompareAndSwap(ctx, key, revision, value, lease)
	}
	s.pendingWrite = func() { _, _ = s.Store.CompareAndSwap(context.Background(), key, revision, value, lease) }
	return 0, kv.ErrOutcomeUnknown
}

func (s *delayedWriteStore) applyPendingWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingWrite != nil {
		s.pendingWrite()
	}
}

// storeTimeout bounds a call to the stand-in store. No test waits for it.
const storeTimeout = 10 * time.Second

// testServer is the operators' API of one daemon with a stand-in store. The test
// sets the rest of the fleet with setFleet.
type testServer struct {
	g         *WithT
	t         *testing.T
	store     *delayedWriteStore
	platform  *standin.KVStore
	published view.Publisher
	address   string

	mu    sync.Mutex
	fleet view.Fleet
}

func newTestServer(t *testing.T) *testServer {
	s := &testServer{g: NewWithT(t), t: t, platform: standin.NewKVStore()}
	s.fleet.ListedAt = time.Now()
	storeServer := httptest.NewServer(s.platform)
	client := platform.NewStore(storeServer.URL, (&net.Dialer{}).DialContext, func(string, error) {})
	s.store = &delayedWriteStore{Store: kv.WithTimeout(client, storeTimeout)}
	server := httptest.NewServer(operator.New(operator.Deps{
		View: &s.published, Repository: config.NewRepository(s.store, time.Now), Metrics: metrics.NewSet(), ApplyRecord: s.applyRecord,
	}))
	s.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() {
		server.Close()
		client.Close()
		storeServer.Close()
	})
	return s
}

// applyRecord publishes a record like the daemon's control thread does.
func (s *testServer) applyRecord(r *config.Record, sentAt time.Time) {
	active, err := r.Activate()
	if err != nil {
		s.t.Error(err)
		return
	}
	self := membership.Member{
		Instance: "vt-1-x", Host: "vt-1", Zone: "vt-a", State: membership.StateReady, ConfigVersion: r.Version,
		ConfirmedAt: sentAt, Headroom: map[string]membership.Headroom{"lookup": {Free: 3, Limit: 4}},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published.Store(&view.Snapshot{
		Self: self, Config: active, ConfirmedAt: sentAt, Ready: []membership.Member{self}, Fleet: s.fleet,
	})
}

// setFleet sets the daemon's view of the rest of the fleet.
func (s *testServer) setFleet(f view.Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet = f
}

// commandResult is the exit code and the output of one command.
type commandResult struct {
	Code     int
	Out, Err string
}

func (s *testServer) run(args ...string) commandResult {
	var out, errOut bytes.Buffer
	code := ctl.Run(append([]string{"--operators", s.address}, args...), &out, &errOut)
	return commandResult{code, out.String(), errOut.String()}
}

func (s *testServer) writeFile(text string) string {
	name := filepath.Join(s.t.TempDir(), "file.jsonc")
	s.g.Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
	return name
}

func (s *testServer) mustRun(args ...string) string {
	s.t.Helper()
	r := s.run(args...)
	s.g.Expect(r.Code).To(Equal(ctl.ExitOK), r.Err)
	return r.Out
}

func newConfiguredServer(t *testing.T) *testServer {
	s := newTestServer(t)
	s.mustRun("config", "apply", s.writeFile(initialConfig))
	return s
}

func TestExitCodes(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare    func(*testServer)
		args       func(*testServer) []string
		code       int
		errorTexts []string
	}{
		"accepted": {
			args: func(s *testServer) []string {
				return []string{"config", "patch", s.writeFile(ratePatch(20)), "--base", "1"}
			},
			code: ctl.ExitOK,
		},
		"invalid, with path and line of the file": {
			args: func(s *testServer) []string {
				return []string{"config", "patch", s.writeFile("{\n  // halved\n  \"customers\": { \"farm\": { \"rate\": -5 } }\n}"), "--base", "1"}
			},
			code: ctl.ExitRefused, errorTexts: []string{"file.jsonc:3: /customers/farm/rate: want a positive number"},
		},
		"syntax error in file": {
			args: func(s *testServer) []string {
				return []string{"config", "validate", s.writeFile("{\n\n  \"regions\": ")}
			},
			code: ctl.ExitRefused, errorTexts: []string{"file.jsonc:3"},
		},
		"missing file": {
			args: func(*testServer) []string { return []string{"config", "validate", "/nonexistent"} }, code: ctl.ExitRefused,
		},
		"too large": {
			args: func(s *testServer) []string {
				big := `{"customers":{"x":{"rate":1,"burst":1,"services":["` + strings.Repeat("a", kv.MaxValueBytes) + `"]}}}`
				return []string{"config", "patch", s.writeFile(big), "--base", "9"}
			},
			code: ctl.ExitRefused, errorTexts: []string{operator.FailureTooLarge},
		},
		"stale base version": {
			prepare: func(s *testServer) { s.mustRun("config", "patch", s.writeFile(ratePatch(20)), "--base", "1") },
			args: func(s *testServer) []string {
				return []string{"config", "patch", s.writeFile(ratePatch(30)), "--base", "1"}
			},
			code: ctl.ExitStale, errorTexts: []string{"current version: 2", "also written since: /customers/farm/rate"},
		},
		"store down": {
			prepare: func(s *testServer) { s.platform.SetFaults(standin.Faults{Down: true}) },
			args:    func(*testServer) []string { return []string{"config", "get"} },
			code:    ctl.ExitUnavailable,
		},
		"outcome unknown": {
			prepare: func(s *testServer) { s.store.delayWrites = true },
			args: func(s *testServer) []string {
				return []string{"config", "patch", s.writeFile(ratePatch(20)), "--base", "1"}
			},
			code: ctl.ExitUnknown, errorTexts: []string{"balsamctl config change "},
		},
		"no such change": {
			args: func(*testServer) []string { return []string{"config", "change", "none"} }, code: ctl.ExitRefused,
		},
		"unknown output format": {
			args: func(*testServer) []string { return []string{"config", "get", "-o", "xml"} }, code: ctl.ExitRefused,
		},
		"drain of unknown zone": {
			args: func(*testServer) []string { return []string{"drain", "zone", "nowhere"} },
			code: ctl.ExitRefused, errorTexts: []string{`unknown zone "nowhere"`},
		},
		"key of unknown customer": {
			args: func(*testServer) []string { return []string{"key", "grant", "nobody"} }, code: ctl.ExitRefused,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newConfiguredServer(t)
			if tc.prepare != nil {
				tc.prepare(s)
			}
			r := s.run(tc.args(s)...)
			s.g.Expect(r.Code).To(Equal(tc.code), r.Err)
			for _, text := range tc.errorTexts {
				s.g.Expect(r.Err).To(ContainSubstring(text))
			}
		})
	}
	t.Run("daemon unreachable", func(t *testing.T) {
		var out, errOut bytes.Buffer
		NewWithT(t).Expect(ctl.Run([]string{"--operators", "127.0.0.1:1", "config", "get"}, &out, &errOut)).To(Equal(ctl.ExitUnavailable))
	})
}

func ratePatch(n int) string {
	text, _ := json.Marshal(map[string]any{"customers": map[string]any{"farm": map[string]any{"rate": n}}})
	return string(text)
}

// A write takes effect only after the daemon has reported its outcome as unknown.
// balsamctl looks up the change by its id and must report it as accepted.
func TestUnknownOutcomeIsResolvedByChangeID(t *testing.T) {
	s := newConfiguredServer(t)
	s.store.delayWrites = true
	done := make(chan commandResult)
	go func() { done <- s.run("config", "patch", s.writeFile(ratePatch(20)), "--base", "1") }()
	s.g.Eventually(func() int { return s.platform.Calls()["/-/kv-key"] }, 10*time.Second).Should(BeNumerically(">=", 5))
	s.store.applyPendingWrite()
	s.g.Eventually(done, 10*time.Second).Should(Receive(Equal(commandResult{Out: "version 2 accepted\n"})))
}

// The first of two daemons is down. A change must be submitted through the second
// daemon, and submitting the same change again must not apply it twice.
func TestNextDaemonIsTriedIfOneIsDown(t *testing.T) {
	s := newConfiguredServer(t)
	args := []string{"config", "patch", s.writeFile(ratePatch(20)), "--base", "1", "--change-id", "3f0c1a52-63d5-4a5e-9a57-0c7f0b6f4a11"}
	for range 2 {
		var out, errOut bytes.Buffer
		code := ctl.Run(append([]string{"--operators", "127.0.0.1:1," + s.address}, args...), &out, &errOut)
		s.g.Expect(code).To(Equal(ctl.ExitOK), errOut.String())
		s.g.Expect(out.String()).To(Equal("version 2 accepted\n"))
	}
}

// An operator submits a change with --wait, such as the withdrawal of a key that
// must not be accepted anywhere afterwards. The daemon has not read the host list
// yet, or has received no heartbeat from a listed host, or knows a host with an
// older version. The command must not report "everywhere", and must name the zones
// of the unconfirmed hosts.
func TestWaitReportsUnconfirmedHosts(t *testing.T) {
	now := time.Now()
	hostWithVersion := func(version uint64) view.Host {
		return view.Host{Name: "me-1", Zone: "me-a", Listed: true, KnownSince: now, LastReport: membership.Member{
			Instance: "me-1-x", Host: "me-1", Zone: "me-a", State: membership.StateReady, ConfigVersion: version, HeartbeatAt: now,
		}}
	}
	for name, tc := range map[string]struct {
		fleet     view.Fleet
		code      int
		errorText string
	}{
		"all hosts have confirmed": {view.Fleet{ListedAt: now, Hosts: []view.Host{hostWithVersion(2)}}, ctl.ExitOK, ""},
		"host list not read yet":   {view.Fleet{}, ctl.ExitNotConfirmed, "host list cannot be read"},
		"a host is behind":         {view.Fleet{ListedAt: now, Hosts: []view.Host{hostWithVersion(1)}}, ctl.ExitNotConfirmed, "have not confirmed: me-a"},
		"a host sent no heartbeat": {view.Fleet{ListedAt: now, Hosts: []view.Host{{Name: "me-2", Zone: "me-b", Listed: true, KnownSince: now}}}, ctl.ExitNotConfirmed, "me-2 (me-b): silent"},
		"a host is unresponsive":   {view.Fleet{ListedAt: now, Hosts: []view.Host{unresponsive(hostWithVersion(1))}}, ctl.ExitNotConfirmed, "have not confirmed: me-a"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newConfiguredServer(t)
			s.setFleet(tc.fleet)
			r := s.run("config", "patch", s.writeFile(ratePatch(20)), "--base", "1", "--wait", "--timeout", "50ms")
			s.g.Expect(r.Code).To(Equal(tc.code), r.Err)
			s.g.Expect(r.Err).To(ContainSubstring(tc.errorText))
			s.g.Expect(r.Out).To(ContainSubstring("version 2 accepted"))
			s.g.Expect(strings.Contains(r.Out, "everywhere")).To(Equal(tc.code == ctl.ExitOK))
		})
	}
}

func unresponsive(h view.Host) view.Host {
	h.LastReport.HeartbeatAt = h.LastReport.HeartbeatAt.Add(-time.Minute)
	return h
}

func TestKeyIsPrintedOnceAndStoredAsHash(t *testing.T) {
	s := newConfiguredServer(t)
	var granted struct{ Customer, ID, Key string }
	s.g.Expect(json.Unmarshal([]byte(s.mustRun("key", "grant", "farm", "--id", "barn", "-o", "json")), &granted)).To(Succeed())
	s.g.Expect(len(granted.Key)).To(BeNumerically(">=", 40))
	for _, args := range [][]string{{"config", "get"}, {"config", "history"}, {"config", "get", "-o", "json"}} {
		shown := s.mustRun(args...)
		s.g.Expect(shown).NotTo(ContainSubstring(granted.Key))
		s.g.Expect(shown).To(ContainSubstring(config.DigestOf(granted.Key).String()))
	}
	s.g.Expect(s.run("key", "grant", "farm", "--id", "barn").Code).To(Equal(ctl.ExitRefused))
	s.mustRun("key", "withdraw", "farm", "barn")
	s.g.Expect(s.published.Load().OwnsKey(config.DigestOf(granted.Key), "farm")).To(BeFalse())
	s.g.Expect(s.run("key", "withdraw", "farm", "barn").Code).To(Equal(ctl.ExitRefused))
}

func TestDrainsAndMovesShowThePlanBeforeSubmission(t *testing.T) {
	s := newConfiguredServer(t)
	planned := s.mustRun("drain", "zone", "vt-a", "--cap", "5", "--ramp", "2m")
	s.g.Expect(planned).To(And(
		ContainSubstring("upstream lookup-1 loses its traffic"), ContainSubstring("no other upstream of lookup is left: its requests stay"),
		ContainSubstring("nothing submitted")))
	s.g.Expect(s.published.Load().Self.ConfigVersion).To(Equal(uint64(1)))

	s.mustRun("drain", "zone", "vt-a", "--cap", "5", "--ramp", "2m", "--yes")
	drain := s.published.Load().Config.Config.Drains["zone-vt-a"]
	s.g.Expect(drain.CapPerSecond).To(Equal(5.0))
	s.g.Expect(drain.RampSeconds).To(Equal(120.0))
	s.g.Expect(time.UnixMilli(drain.StartUnixMs)).To(BeTemporally("~", time.Now(), time.Minute))
	s.g.Expect(s.mustRun("drain", "list")).To(ContainSubstring("zone-vt-a"))
	s.mustRun("drain", "undo", "zone-vt-a", "--yes")
	s.g.Expect(s.published.Load().Config.Config.Drains).To(BeEmpty())

	s.mustRun("move", "lookup", "--from", "vermont", "--to", "maine", "--cap", "9", "--share", "0.5", "--yes")
	s.g.Expect(s.published.Load().Config.Config.Moves["lookup-vermont-maine"].Share).To(Equal(0.5))
	s.g.Expect(s.mustRun("drain", "host", "vt-1", "--ramp", "20ms", "--yes", "--wait")).To(And(
		ContainSubstring("in force everywhere"), HaveSuffix("ramp 90%\nramp 100%\n")))
	s.g.Expect(s.mustRun("move", "list")).To(ContainSubstring("lookup-vermont-maine"))
	s.mustRun("move", "undo", "lookup-vermont-maine", "--yes")
	s.g.Expect(s.published.Load().Config.Config.Moves).To(BeEmpty())
	s.g.Expect(s.run("drain", "host", "vt-1", "--yes", "--dry-run").Code).To(Equal(ctl.ExitRefused))
}

func TestConfigGetDiffApplyAndHistory(t *testing.T) {
	s := newConfiguredServer(t)
	s.g.Expect(s.mustRun("config", "get")).To(HavePrefix("// version 1\n"))
	s.g.Expect(s.mustRun("config", "diff", s.writeFile(initialConfig))).To(Equal("no difference from version 1\n"))
	changed := s.writeFile(strings.Replace(initialConfig, `"rate": 10`, `"rate": 11`, 1))
	s.g.Expect(s.mustRun("config", "diff", changed)).To(Equal("- /customers/farm/rate 10\n+ /customers/farm/rate 11\n"))
	s.g.Expect(s.mustRun("config", "validate", changed)).To(Equal("valid\n"))
	s.mustRun("config", "apply", changed)
	s.g.Expect(s.mustRun("config", "history")).To(ContainSubstring(`{"customers":{"farm":{"rate":11}}}`))
	s.g.Expect(s.mustRun("fleet", "status")).To(ContainSubstring("vt-1  vt-a  ready  2"))
	s.g.Expect(s.mustRun("completion", "bash")).To(ContainSubstring("balsamctl"))
}

func TestExplain(t *testing.T) {
	s := newConfiguredServer(t)
	s.g.Expect(s.mustRun("explain", "lookup", "--customer", "farm", "--from", "vt-a")).To(And(
		ContainSubstring("served in the zone where it enters"), ContainSubstring("lookup-1"), ContainSubstring("in use")))
	s.g.Expect(s.mustRun("explain", "lookup", "--customer", "farm", "--from", "me-a")).To(ContainSubstring("another region"))
	s.mustRun("config", "patch", s.writeFile(`{"customers":{"farm":{"regions":["maine"]}}}`), "--base", "1")
	s.g.Expect(s.mustRun("explain", "lookup", "--customer", "farm", "--from", "vt-a")).To(And(
		ContainSubstring("refused with no-room"), ContainSubstring("the customer may not be served in region vermont")))
	s.g.Expect(s.run("explain", "lookup", "--customer", "nobody").Code).To(Equal(ctl.ExitRefused))
}
