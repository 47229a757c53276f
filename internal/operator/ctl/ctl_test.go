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

const initial = `{
  "regions": { "vermont": {}, "maine": {} },
  "zones": { "vt-a": { "region": "vermont" }, "me-a": { "region": "maine" } },
  "services": { "lookup": {} },
  "upstreams": {
    "lookup-1": { "service": "lookup", "zone": "vt-a", "address": "127.0.0.1:9001" }
  },
  "customers": { "farm": { "rate": 10, "burst": 10 } }
}`

// lossyStore loses writes: answers none, and lets them take effect only when
// arrive is called.
type lossyStore struct {
	kv.Store
	mu    sync.Mutex
	lossy bool
	late  func()
}

func (s *lossyStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lossy {
		return s.Store.CompareAndSwap(ctx, key, revision, value, lease)
	}
	s.late = func() { _, _ = s.Store.CompareAndSwap(context.Background(), key, revision, value, lease) }
	return 0, kv.ErrOutcomeUnknown
}

func (s *lossyStore) arrive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late != nil {
		s.late()
	}
}

// bench is one daemon's operators' API over a stand-in platform, with a fleet
// made up by the test.
type bench struct {
	g         *WithT
	t         *testing.T
	store     *lossyStore
	platform  *standin.KVStore
	published view.Publisher
	address   string

	mu    sync.Mutex
	fleet view.Fleet
}

func newBench(t *testing.T) *bench {
	b := &bench{g: NewWithT(t), t: t, platform: standin.NewKVStore()}
	b.fleet.ListedAt = time.Now()
	storeServer := httptest.NewServer(b.platform)
	client := platform.NewStore(storeServer.URL, (&net.Dialer{}).DialContext, func(string, error) {})
	b.store = &lossyStore{Store: kv.WithTimeout(client, time.Second)}
	server := httptest.NewServer(operator.New(operator.Deps{
		View: &b.published, Repository: config.NewRepository(b.store, time.Now), Metrics: metrics.NewSet(), Adopt: b.adopt,
	}))
	b.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() {
		server.Close()
		client.Close()
		storeServer.Close()
	})
	return b
}

// adopt publishes a record as the daemon's control thread would.
func (b *bench) adopt(r *config.Record, asked time.Time) {
	active, err := r.Activate()
	if err != nil {
		b.t.Error(err)
		return
	}
	self := membership.Member{
		Instance: "vt-1-x", Host: "vt-1", Zone: "vt-a", State: membership.StateReady, ConfigVersion: r.Version,
		ConfirmedAt: asked, Headroom: map[string]membership.Headroom{"lookup": {Free: 3, Limit: 4}},
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.published.Store(&view.Snapshot{
		Self: self, Config: active, ConfirmedAt: asked, Ready: []membership.Member{self}, Fleet: b.fleet,
	})
}

// others sets what the daemon knows of the rest of the fleet.
func (b *bench) others(f view.Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet = f
}

// result is what an operator saw of one command.
type result struct {
	Code     int
	Out, Err string
}

func (b *bench) run(args ...string) result {
	var out, errOut bytes.Buffer
	code := ctl.Run(append([]string{"--operators", b.address}, args...), &out, &errOut)
	return result{code, out.String(), errOut.String()}
}

func (b *bench) file(text string) string {
	name := filepath.Join(b.t.TempDir(), "file.jsonc")
	b.g.Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
	return name
}

func (b *bench) ok(args ...string) string {
	b.t.Helper()
	r := b.run(args...)
	b.g.Expect(r.Code).To(Equal(ctl.ExitOK), r.Err)
	return r.Out
}

func withInitial(t *testing.T) *bench {
	b := newBench(t)
	b.ok("config", "apply", b.file(initial))
	return b
}

func TestExitCodes(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(*bench)
		args    func(*bench) []string
		code    int
		says    []string
	}{
		"accepted": {
			args: func(b *bench) []string { return []string{"config", "patch", b.file(rate(20)), "--base", "1"} },
			code: ctl.ExitOK,
		},
		"invalid, with path and line of the file": {
			args: func(b *bench) []string {
				return []string{"config", "patch", b.file("{\n  // halved\n  \"customers\": { \"farm\": { \"rate\": -5 } }\n}"), "--base", "1"}
			},
			code: ctl.ExitRefused, says: []string{"file.jsonc:3: /customers/farm/rate: want a positive number"},
		},
		"broken file": {
			args: func(b *bench) []string { return []string{"config", "validate", b.file("{\n\n  \"regions\": ")} },
			code: ctl.ExitRefused, says: []string{"file.jsonc:3"},
		},
		"no such file": {
			args: func(*bench) []string { return []string{"config", "validate", "/nonexistent"} }, code: ctl.ExitRefused,
		},
		"too large": {
			args: func(b *bench) []string {
				big := `{"customers":{"x":{"rate":1,"burst":1,"services":["` + strings.Repeat("a", kv.MaxValueBytes) + `"]}}}`
				return []string{"config", "patch", b.file(big), "--base", "9"}
			},
			code: ctl.ExitRefused, says: []string{operator.FailTooLarge},
		},
		"stale": {
			prepare: func(b *bench) { b.ok("config", "patch", b.file(rate(20)), "--base", "1") },
			args:    func(b *bench) []string { return []string{"config", "patch", b.file(rate(30)), "--base", "1"} },
			code:    ctl.ExitStale, says: []string{"current version: 2", "also written since: /customers/farm/rate"},
		},
		"store down": {
			prepare: func(b *bench) { b.platform.SetFaults(standin.Faults{Down: true}) },
			args:    func(*bench) []string { return []string{"config", "get"} },
			code:    ctl.ExitUnavailable,
		},
		"unknown": {
			prepare: func(b *bench) { b.store.lossy = true },
			args:    func(b *bench) []string { return []string{"config", "patch", b.file(rate(20)), "--base", "1"} },
			code:    ctl.ExitUnknown, says: []string{"balsamctl config change "},
		},
		"no such change": {
			args: func(*bench) []string { return []string{"config", "change", "none"} }, code: ctl.ExitRefused,
		},
		"unknown output": {
			args: func(*bench) []string { return []string{"config", "get", "-o", "xml"} }, code: ctl.ExitRefused,
		},
		"drain of nothing": {
			args: func(*bench) []string { return []string{"drain", "zone", "nowhere"} },
			code: ctl.ExitRefused, says: []string{`unknown zone "nowhere"`},
		},
		"key of nobody": {
			args: func(*bench) []string { return []string{"key", "grant", "nobody"} }, code: ctl.ExitRefused,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := withInitial(t)
			if tc.prepare != nil {
				tc.prepare(b)
			}
			r := b.run(tc.args(b)...)
			b.g.Expect(r.Code).To(Equal(tc.code), r.Err)
			for _, text := range tc.says {
				b.g.Expect(r.Err).To(ContainSubstring(text))
			}
		})
	}
	t.Run("no daemon", func(t *testing.T) {
		var out, errOut bytes.Buffer
		NewWithT(t).Expect(ctl.Run([]string{"--operators", "127.0.0.1:1", "config", "get"}, &out, &errOut)).To(Equal(ctl.ExitUnavailable))
	})
}

func rate(n int) string {
	text, _ := json.Marshal(map[string]any{"customers": map[string]any{"farm": map[string]any{"rate": n}}})
	return string(text)
}

// A write takes effect only after the daemon has given its outcome up as
// unknown. balsamctl asks for the change and must report it as accepted.
func TestUnknownOutcomeIsFoundOut(t *testing.T) {
	b := withInitial(t)
	b.store.lossy = true
	done := make(chan result)
	go func() { done <- b.run("config", "patch", b.file(rate(20)), "--base", "1") }()
	b.g.Eventually(func() int { return b.platform.Calls()["/-/kv-key"] }, 10*time.Second).Should(BeNumerically(">=", 5))
	b.store.arrive()
	b.g.Eventually(done, 10*time.Second).Should(Receive(Equal(result{Out: "version 2 accepted\n"})))
}

// The first of two daemons is dead. A change must be submitted through the
// second, and the same change submitted again must not be applied twice.
func TestDaemonsAreTriedInTurn(t *testing.T) {
	b := withInitial(t)
	args := []string{"config", "patch", b.file(rate(20)), "--base", "1", "--change-id", "3f0c1a52-63d5-4a5e-9a57-0c7f0b6f4a11"}
	for range 2 {
		var out, errOut bytes.Buffer
		code := ctl.Run(append([]string{"--operators", "127.0.0.1:1," + b.address}, args...), &out, &errOut)
		b.g.Expect(code).To(Equal(ctl.ExitOK), errOut.String())
		b.g.Expect(out.String()).To(Equal("version 2 accepted\n"))
	}
}

// An operator withdraws a key and waits. The daemon that is asked has not read
// the host list yet, or has never heard a host of it, or knows one with an
// older version. The command must not say "everywhere", and must name the
// zones.
func TestWaitClaimsNothingThatIsNotKnown(t *testing.T) {
	now := time.Now()
	heard := func(version uint64) view.Host {
		return view.Host{Name: "me-1", Zone: "me-a", Listed: true, KnownSince: now, LastReport: membership.Member{
			Instance: "me-1-x", Host: "me-1", Zone: "me-a", State: membership.StateReady, ConfigVersion: version, HeartbeatAt: now,
		}}
	}
	for name, tc := range map[string]struct {
		fleet view.Fleet
		code  int
		says  string
	}{
		"all have it":              {view.Fleet{ListedAt: now, Hosts: []view.Host{heard(2)}}, ctl.ExitOK, ""},
		"host list not read yet":   {view.Fleet{}, ctl.ExitNotEverywhere, "host list cannot be read"},
		"a host is behind":         {view.Fleet{ListedAt: now, Hosts: []view.Host{heard(1)}}, ctl.ExitNotEverywhere, "have not confirmed: me-a"},
		"a host was only listed":   {view.Fleet{ListedAt: now, Hosts: []view.Host{{Name: "me-2", Zone: "me-b", Listed: true, KnownSince: now}}}, ctl.ExitNotEverywhere, "me-2 (me-b): silent"},
		"a host has fallen silent": {view.Fleet{ListedAt: now, Hosts: []view.Host{silent(heard(1))}}, ctl.ExitNotEverywhere, "have not confirmed: me-a"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := withInitial(t)
			b.others(tc.fleet)
			r := b.run("config", "patch", b.file(rate(20)), "--base", "1", "--wait", "--timeout", "50ms")
			b.g.Expect(r.Code).To(Equal(tc.code), r.Err)
			b.g.Expect(r.Err).To(ContainSubstring(tc.says))
			b.g.Expect(r.Out).To(ContainSubstring("version 2 accepted"))
			b.g.Expect(strings.Contains(r.Out, "everywhere")).To(Equal(tc.code == ctl.ExitOK))
		})
	}
}

func silent(h view.Host) view.Host {
	h.LastReport.HeartbeatAt = h.LastReport.HeartbeatAt.Add(-time.Minute)
	return h
}

func TestKeyIsShownOnceAndStoredAsItsHash(t *testing.T) {
	b := withInitial(t)
	var granted struct{ Customer, ID, Key string }
	b.g.Expect(json.Unmarshal([]byte(b.ok("key", "grant", "farm", "--id", "barn", "-o", "json")), &granted)).To(Succeed())
	b.g.Expect(len(granted.Key)).To(BeNumerically(">=", 40))
	for _, args := range [][]string{{"config", "get"}, {"config", "history"}, {"config", "get", "-o", "json"}} {
		shown := b.ok(args...)
		b.g.Expect(shown).NotTo(ContainSubstring(granted.Key))
		b.g.Expect(shown).To(ContainSubstring(config.DigestOf(granted.Key).String()))
	}
	b.g.Expect(b.run("key", "grant", "farm", "--id", "barn").Code).To(Equal(ctl.ExitRefused))
	b.ok("key", "withdraw", "farm", "barn")
	b.g.Expect(b.published.Load().OwnsKey(config.DigestOf(granted.Key), "farm")).To(BeFalse())
	b.g.Expect(b.run("key", "withdraw", "farm", "barn").Code).To(Equal(ctl.ExitRefused))
}

func TestDrainsAndMovesArePlannedBeforeTheyAreSubmitted(t *testing.T) {
	b := withInitial(t)
	planned := b.ok("drain", "zone", "vt-a", "--cap", "5", "--ramp", "2m")
	b.g.Expect(planned).To(And(
		ContainSubstring("upstream lookup-1 loses its traffic"), ContainSubstring("no other upstream of lookup is left: its requests stay"),
		ContainSubstring("nothing submitted")))
	b.g.Expect(b.published.Load().Self.ConfigVersion).To(Equal(uint64(1)))

	b.ok("drain", "zone", "vt-a", "--cap", "5", "--ramp", "2m", "--yes")
	drain := b.published.Load().Config.Config.Drains["zone-vt-a"]
	b.g.Expect(drain.CapPerSecond).To(Equal(5.0))
	b.g.Expect(drain.RampSeconds).To(Equal(120.0))
	b.g.Expect(time.UnixMilli(drain.StartUnixMs)).To(BeTemporally("~", time.Now(), time.Minute))
	b.g.Expect(b.ok("drain", "list")).To(ContainSubstring("zone-vt-a"))
	b.ok("drain", "undo", "zone-vt-a", "--yes")
	b.g.Expect(b.published.Load().Config.Config.Drains).To(BeEmpty())

	b.ok("move", "lookup", "--from", "vermont", "--to", "maine", "--cap", "9", "--share", "0.5", "--yes")
	b.g.Expect(b.published.Load().Config.Config.Moves["lookup-vermont-maine"].Share).To(Equal(0.5))
	b.g.Expect(b.ok("drain", "host", "vt-1", "--ramp", "20ms", "--yes", "--wait")).To(And(
		ContainSubstring("in force everywhere"), HaveSuffix("ramp 90%\nramp 100%\n")))
	b.g.Expect(b.ok("move", "list")).To(ContainSubstring("lookup-vermont-maine"))
	b.ok("move", "undo", "lookup-vermont-maine", "--yes")
	b.g.Expect(b.published.Load().Config.Config.Moves).To(BeEmpty())
	b.g.Expect(b.run("drain", "host", "vt-1", "--yes", "--dry-run").Code).To(Equal(ctl.ExitRefused))
}

func TestConfigurationIsReadAndCompared(t *testing.T) {
	b := withInitial(t)
	b.g.Expect(b.ok("config", "get")).To(HavePrefix("// version 1\n"))
	b.g.Expect(b.ok("config", "diff", b.file(initial))).To(Equal("no difference from version 1\n"))
	changed := b.file(strings.Replace(initial, `"rate": 10`, `"rate": 11`, 1))
	b.g.Expect(b.ok("config", "diff", changed)).To(Equal("- /customers/farm/rate 10\n+ /customers/farm/rate 11\n"))
	b.g.Expect(b.ok("config", "validate", changed)).To(Equal("valid\n"))
	b.ok("config", "apply", changed)
	b.g.Expect(b.ok("config", "history")).To(ContainSubstring(`{"customers":{"farm":{"rate":11}}}`))
	b.g.Expect(b.ok("fleet", "status")).To(ContainSubstring("vt-1  vt-a  ready  2"))
	b.g.Expect(b.ok("completion", "bash")).To(ContainSubstring("balsamctl"))
}

func TestExplain(t *testing.T) {
	b := withInitial(t)
	b.g.Expect(b.ok("explain", "lookup", "--customer", "farm", "--from", "vt-a")).To(And(
		ContainSubstring("served in the zone where it enters"), ContainSubstring("lookup-1"), ContainSubstring("in use")))
	b.g.Expect(b.ok("explain", "lookup", "--customer", "farm", "--from", "me-a")).To(ContainSubstring("another region"))
	b.ok("config", "patch", b.file(`{"customers":{"farm":{"regions":["maine"]}}}`), "--base", "1")
	b.g.Expect(b.ok("explain", "lookup", "--customer", "farm", "--from", "vt-a")).To(And(
		ContainSubstring("refused with no-room"), ContainSubstring("the customer may not be served in region vermont")))
	b.g.Expect(b.run("explain", "lookup", "--customer", "nobody").Code).To(Equal(ctl.ExitRefused))
}
