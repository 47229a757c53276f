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
	revocationDelay = 4 * time.Second
	// evacuate is how long after its evacuation a zone may still get requests.
	evacuationDelay = 5 * time.Second
	// freshKeys rotate: one is withdrawn while the next is in use.
	rotatedKeys = 3
)

// process is one daemon.
type daemonProcess struct {
	name          string
	zone          string
	settingsFile  string
	callerAddress string
	proxy         *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the present process has ended.
	exited chan struct{}
	// faults and stops are when it was last killed, paused or cut off, and when
	// it was asked to stop.
	faultedAt time.Time
	stoppedAt time.Time
}

// back end of a service, with its address.
type upstream struct {
	worker       *standin.PlatformUpstream
	server       *httptest.Server
	zone         string
	sequence     int
	faultedUntil time.Time
}

// evacuation is a time in which a zone was to get nothing.
type evacuation struct {
	zone       string
	start, end time.Time
}

type cluster struct {
	t        *testing.T
	reporter reporter
	binary   string
	dir      string
	store    *standin.KVStore
	server   *httptest.Server

	mu        sync.Mutex
	processes []*daemonProcess
	upstreams []*upstream
	version   int
	// withdrawn is when each key was withdrawn; granted ones are not in it.
	withdrawn         map[string]time.Time
	activeEvacuations map[string]time.Time
	// emptied are the evacuations that have ended.
	endedEvacuations []evacuation
	// history is what was injected, told when a check fails.
	faultLog []string
}

// note adds a line to the history.
func (s *cluster) logFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultLog = append(s.faultLog, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// hostKind is where a host stands and how fast its link is; 0: it does not say.
type hostConfig struct {
	zone     string
	linkMbps int
}

// mixedFrom is the seed from which the fleet is mixedFleet.
const mixedFleetSeed = 1000

// equalFleet has three hosts that all take callers; in mixedFleet the last one
// stands by, and most hosts of a region go by what its watcher tells them.
var (
	equalFleet = []hostConfig{{"a1", 0}, {"a2", 0}, {"b1", 0}}
	mixedFleet = []hostConfig{{"a1", 200}, {"a2", 200}, {"b1", 200}, {"a1", 200}, {"a2", 10}}
)

func fleetForSeed(seed uint64) []hostConfig {
	if seed < mixedFleetSeed {
		return equalFleet
	}
	return mixedFleet
}

func newCluster(t *testing.T, binary string, fleet []hostConfig) *cluster {
	s := &cluster{
		t: t, reporter: t, binary: binary, dir: t.TempDir(), store: standin.NewKVStore(), version: 1,
		withdrawn: map[string]time.Time{}, activeEvacuations: map[string]time.Time{},
	}
	s.server = httptest.NewServer(s.store)
	s.writeConfig()
	for i, zone := range []string{"a1", "a2", "b1", "b1", "a1"} {
		s.addUpstream(fmt.Sprint("i-", i), zone)
	}
	for i, kind := range fleet {
		s.addProcess(fmt.Sprint("h", i), kind)
	}
	return s
}

// declare writes the configuration with the keys that are granted.
func (s *cluster) writeConfig() {
	s.version++
	keys := []string{"steady"}
	for i := range rotatedKeys {
		if key := fmt.Sprint("fresh-", i); s.withdrawn[key].IsZero() {
			keys = append(keys, key)
		}
	}
	s.store.Put("op/config", standin.PlatformConfig{Version: s.version, Keys: keys}.Encode())
}

func (s *cluster) addUpstream(id, zone string) {
	u := &upstream{worker: &standin.PlatformUpstream{ID: id, ServiceTime: 15 * time.Millisecond}, zone: zone}
	u.server = httptest.NewServer(u.worker)
	s.upstreams = append(s.upstreams, u)
	s.writeRegistration(u)
}

func (s *cluster) writeRegistration(u *upstream) {
	u.sequence++
	s.store.Put("servers/"+u.worker.ID, u.worker.RegistryEntry(standin.Service, u.server.Listener.Addr().String(), u.zone, "ready", u.sequence))
}

func (s *cluster) addProcess(name string, kind hostConfig) {
	p, err := newProxy(s.server.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	h := &daemonProcess{name: name, zone: kind.zone, proxy: p, settingsFile: filepath.Join(s.dir, name+".jsonc"), callerAddress: freeAddress(s.t, len(s.processes))}
	text := standin.EntryHostSettings{
		Name: name, Zone: kind.zone, CallerAddress: h.callerAddress, DirectoryAddress: "127.0.0.1:0", StoreAddress: p.address(), LinkMbps: kind.linkMbps,
		GracePeriod: 5 * time.Second, RevocationDelay: revocationDelay,
	}.Encode()
	if err := os.WriteFile(h.settingsFile, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.processes = append(s.processes, h)
	s.startProcess(h)
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
func (s *cluster) startProcess(h *daemonProcess) {
	out, err := os.OpenFile(filepath.Join(s.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	cmd := exec.Command(s.binary, "entry", h.settingsFile)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, done
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
}

// signal sends a signal to the present process, which the soak has started.
func (h *daemonProcess) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
	default:
		_ = h.cmd.Process.Signal(sig)
	}
}

// await waits until the present process has ended.
func (h *daemonProcess) awaitExit() {
	h.mu.Lock()
	done := h.exited
	h.mu.Unlock()
	<-done
}

func (h *daemonProcess) recordFault(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultedAt = now
}

func (s *cluster) close() {
	for _, h := range s.processes {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.awaitExit()
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
func (u *upstream) closeConnections() { u.server.CloseClientConnections() }

// failing makes an upstream cut each answer after it has run the request.
func abortResponse(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
