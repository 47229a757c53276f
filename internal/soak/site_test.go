package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"balsambarrow/internal/standin"
)

const (
	// revoke is how long a withdrawn key may work.
	revoke = 4 * time.Second
	// evacuate is how long after its evacuation a zone may still get requests.
	evacuate = 5 * time.Second
	// freshKeys rotate: one is withdrawn while the next is in use.
	freshKeys = 3
)

// process is one daemon.
type process struct {
	name     string
	zone     string
	settings string
	callers  string
	proxy    *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the present process has ended.
	done chan struct{}
	// faults and stops are when it was last killed, paused or cut off, and when
	// it was asked to stop.
	faulted time.Time
	stopped time.Time
}

// back end of a service, with its address.
type upstream struct {
	worker   *standin.PlatformUpstream
	server   *httptest.Server
	zone     string
	sequence int
	faulted  time.Time
}

// evacuation is a time in which a zone was to get nothing.
type evacuation struct {
	zone     string
	from, to time.Time
}

type site struct {
	t      *testing.T
	report report
	binary string
	dir    string
	store  *standin.KVStore
	server *httptest.Server

	mu        sync.Mutex
	processes []*process
	upstreams []*upstream
	version   int
	// withdrawn is when each key was withdrawn; granted ones are not in it.
	withdrawn map[string]time.Time
	evacuated map[string]time.Time
	// emptied are the evacuations that have ended.
	emptied []evacuation
	// history is what was injected, told when a check fails.
	history []string
}

// note adds a line to the history.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// hostKind is where a host stands and how fast its link is; 0: it does not say.
type hostKind struct {
	zone string
	mbps int
}

// mixedFrom is the seed from which the fleet is mixedFleet.
const mixedFrom = 1000

// equalFleet has three hosts that all take callers; in mixedFleet the last one
// stands by, and most hosts of a region go by what its watcher tells them.
var (
	equalFleet = []hostKind{{"a1", 0}, {"a2", 0}, {"b1", 0}}
	mixedFleet = []hostKind{{"a1", 200}, {"a2", 200}, {"b1", 200}, {"a1", 200}, {"a2", 10}}
)

func fleetOf(seed uint64) []hostKind {
	if seed < mixedFrom {
		return equalFleet
	}
	return mixedFleet
}

func newSite(t *testing.T, binary string, fleet []hostKind) *site {
	s := &site{
		t: t, report: t, binary: binary, dir: t.TempDir(), store: standin.NewKVStore(), version: 1,
		withdrawn: map[string]time.Time{}, evacuated: map[string]time.Time{},
	}
	s.server = httptest.NewServer(s.store)
	s.declare()
	for i, zone := range []string{"a1", "a2", "b1", "b1", "a1"} {
		s.addUpstream(fmt.Sprint("i-", i), zone)
	}
	for i, kind := range fleet {
		s.addProcess(fmt.Sprint("h", i), kind)
	}
	return s
}

// declare writes the configuration with the keys that are granted.
func (s *site) declare() {
	s.version++
	keys := []string{"steady"}
	for i := range freshKeys {
		if key := fmt.Sprint("fresh-", i); s.withdrawn[key].IsZero() {
			keys = append(keys, key)
		}
	}
	s.store.Put("op/config", standin.PlatformConfig{Version: s.version, Keys: keys}.Encode())
}

func (s *site) addUpstream(id, zone string) {
	u := &upstream{worker: &standin.PlatformUpstream{ID: id, ServiceTime: 15 * time.Millisecond}, zone: zone}
	u.server = httptest.NewServer(u.worker)
	s.upstreams = append(s.upstreams, u)
	s.beat(u)
}

func (s *site) beat(u *upstream) {
	u.sequence++
	s.store.Put("servers/"+u.worker.ID, u.worker.RegistryEntry(standin.Service, u.server.Listener.Addr().String(), u.zone, "ready", u.sequence))
}

func (s *site) addProcess(name string, kind hostKind) {
	p, err := newProxy(s.server.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	h := &process{name: name, zone: kind.zone, proxy: p, settings: filepath.Join(s.dir, name+".jsonc"), callers: freeAddress(s.t, len(s.processes))}
	text := standin.EntryHostSettings{
		Name: name, Zone: kind.zone, CallerAddress: h.callers, DirectoryAddress: "127.0.0.1:0", StoreAddress: p.address(), LinkMbps: kind.mbps,
		GracePeriod: 5 * time.Second, RevocationDelay: revoke,
	}.Encode()
	if err := os.WriteFile(h.settings, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.processes = append(s.processes, h)
	s.start(h)
}

// freeAddress is one that the system has just given out: a daemon keeps its
// address over restarts, so the system cannot pick it at the start. It is on a
// loopback IP of the host's own. On 127.0.0.1 another daemon's listener was given
// the same port before this daemon had started; it then answered with 404 in its
// place, for good.
func freeAddress(t *testing.T, host int) string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", host+1))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// start starts the daemon, and again whenever it ends, until done is set to nil
// by closing.
func (s *site) start(h *process) {
	out, err := os.OpenFile(filepath.Join(s.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	cmd := exec.Command(s.binary, "entry", h.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
}

// signal sends a signal to the present process, which the soak has started.
func (h *process) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.done:
	default:
		_ = h.cmd.Process.Signal(sig)
	}
}

// await waits until the present process has ended.
func (h *process) await() {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	<-done
}

func (h *process) fault(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faulted = now
}

func (s *site) close() {
	for _, h := range s.processes {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.await()
		h.proxy.close()
	}
	for _, u := range s.upstreams {
		u.server.CloseClientConnections()
		u.server.Close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
}

// cut ends every connection of an upstream, and its answers with them.
func (u *upstream) cut() { u.server.CloseClientConnections() }

// failing makes an upstream cut each answer after it has run the request.
func failing(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
