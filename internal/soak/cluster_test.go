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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"balsambarrow/internal/standin"
)

const (
	// revocationDelay is the longest time that a withdrawn key may still be accepted.
	revocationDelay = 4 * time.Second
	// evacuationDelay is the longest time that a zone may still get requests after its
	// evacuation was declared.
	evacuationDelay = 5 * time.Second
	// rotatedKeys is the number of API keys that faults withdraw one by one.
	rotatedKeys = 3
)

// daemonProcess is one entry host, whose process is restarted on the same address.
type daemonProcess struct {
	name          string
	zone          string
	settingsFile  string
	uplinkFile    string
	callerAddress string
	metrics       string
	proxy         *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the current process has ended.
	exited chan struct{}
	// faultedAt is when the process was last killed or suspended, stoppedAt when it last
	// received SIGTERM.
	faultedAt time.Time
	stoppedAt time.Time
	// disturbances are the times of all signals that restart or suspend the process.
	disturbances []time.Time
}

// upstream is a stand-in upstream with its server. faultedUntil is the end of its last
// disruption.
type upstream struct {
	standIn      *standin.PlatformUpstream
	server       *httptest.Server
	zone         string
	sequence     int
	faultedUntil time.Time
	// disruptions are the periods in which it aborted its responses, or had just done so.
	disruptions []span
	// leavingSince is when the upstream began to announce that it leaves; zero if it has not.
	leavingSince time.Time
}

// span is a period of time.
type span struct{ start, end time.Time }

// evacuation is a period during which a zone was declared evacuated.
type evacuation struct {
	zone       string
	start, end time.Time
}

// cluster is a fleet of entry hosts with its store and its upstreams.
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
	// withdrawn maps each withdrawn API key to the time of its withdrawal.
	withdrawn         map[string]time.Time
	activeEvacuations map[string]time.Time
	// endedEvacuations are the evacuations that were declared and lifted again.
	endedEvacuations []evacuation
	// rateLimits are the rate limits that upstreams have announced.
	rateLimits []rateLimitSpan
	// rejections are the periods in which upstreams rejected all requests.
	rejections []rejectionSpan
	// futureConfirmations are the hosts that considered their configuration confirmed as of a time
	// in the future.
	futureConfirmations []string
	// linkCuts are the periods in which hosts were cut off from all upstreams.
	linkCuts []linkCut
	// sharesRoom is set if hosts share the room of upstreams, and queue requests that find none.
	sharesRoom bool
	// retryRatio is that of the settings; 0 means the default.
	retryRatio float64
	// burst is the burst of the customer with a rate; 0 means the default of the configuration.
	burst int
	// faultLog lists the injected faults. It is logged when a check fails.
	faultLog []string
}

// logFault adds a line to faultLog.
func (c *cluster) logFault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultLog = append(c.faultLog, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// hostConfig is the zone and the declared link speed of a host; linkMbps 0 declares none.
type hostConfig struct {
	zone     string
	linkMbps int
}

// mixedFleetSeed is the lowest seed that uses mixedFleet, linkFleetSeed the lowest one that uses
// linkFleet and injects no faults of processes, and largeFleetSeed the lowest one that uses
// largeFleetSize hosts. From sharedRoomSeed on, mixedFleet is used, upstreams have one slot and are
// slow now and then, and the hosts share their room and queue.
const (
	mixedFleetSeed = 1000
	linkFleetSeed  = 5000
	largeFleetSeed = 9000
	largeFleetSize = 48
	sharedRoomSeed = 20000
)

// equalFleet has three active hosts. In mixedFleet the last host, which has a slow link,
// is a standby, and most hosts of region a learn of changes in the store from the host that
// watches the store for the region.
var (
	equalFleet = []hostConfig{{"a1", 0}, {"a2", 0}, {"b1", 0}}
	linkFleet  = []hostConfig{{"a1", 0}, {"a2", 0}, {"b1", 0}, {"a1", 0}, {"a2", 0}, {"b1", 0}}
	mixedFleet = []hostConfig{{"a1", 200}, {"a2", 200}, {"b1", 200}, {"a1", 200}, {"a2", 10}}
)

func fleetForSeed(seed uint64) []hostConfig {
	switch {
	case seed < mixedFleetSeed:
		return equalFleet
	case seed < linkFleetSeed, seed >= sharedRoomSeed:
		return mixedFleet
	case seed < largeFleetSeed:
		return linkFleet
	}
	zones := []string{"a1", "a2", "b1"}
	out := make([]hostConfig, largeFleetSize)
	for i := range out {
		out[i].zone = zones[i%len(zones)]
	}
	return out
}

// disturbsProcesses reports whether faults of processes are injected.
func disturbsProcesses(seed uint64) bool { return seed < linkFleetSeed || seed >= largeFleetSeed }

func newCluster(t *testing.T, binary string, fleet []hostConfig, sharesRoom bool) *cluster {
	c := &cluster{
		t: t, reporter: t, binary: binary, dir: t.TempDir(), store: standin.NewKVStore(), version: 1,
		withdrawn: map[string]time.Time{}, activeEvacuations: map[string]time.Time{}, sharesRoom: sharesRoom,
	}
	c.server = httptest.NewServer(c.store)
	c.writeConfig()
	for i, zone := range []string{"a1", "a2", "b1", "b1", "a1"} {
		c.addUpstream(fmt.Sprint("i-", i), zone)
	}
	for i, host := range fleet {
		c.addProcess(fmt.Sprint("h", i), host)
	}
	return c
}

// writeConfig writes the next version of the configuration, with all API keys that are
// not withdrawn, to the store.
func (c *cluster) writeConfig() {
	c.version++
	keys := []string{"steady"}
	for i := range rotatedKeys {
		if key := fmt.Sprint("fresh-", i); c.withdrawn[key].IsZero() {
			keys = append(keys, key)
		}
	}
	c.store.Put("op/config", standin.PlatformConfig{Version: c.version, Keys: keys, Burst: c.burst}.Encode())
}

func (c *cluster) addUpstream(id, zone string) {
	u := &upstream{standIn: &standin.PlatformUpstream{ID: id, ServiceTime: 15 * time.Millisecond}, zone: zone}
	if c.sharesRoom {
		u.standIn.Slots = 1
	}
	u.server = httptest.NewServer(u.standIn)
	c.upstreams = append(c.upstreams, u)
	c.writeRegistration(u)
}

func (c *cluster) writeRegistration(u *upstream) {
	u.sequence++
	c.store.Put("servers/"+u.standIn.ID, u.standIn.RegistryEntry(standin.Service, u.server.Listener.Addr().String(), u.zone, "ready", u.sequence))
}

func (c *cluster) addProcess(name string, host hostConfig) {
	p, err := newProxy(c.server.Listener.Addr().String())
	if err != nil {
		c.t.Fatal(err)
	}
	h := &daemonProcess{
		name: name, zone: host.zone, proxy: p, settingsFile: filepath.Join(c.dir, name+".jsonc"), uplinkFile: filepath.Join(c.dir, name+".uplink"),
		callerAddress: freeAddress(c.t), metrics: freeAddress(c.t),
	}
	text := standin.EntryHostSettings{
		Name: name, Zone: host.zone, CallerAddress: h.callerAddress, DirectoryAddress: "127.0.0.1:0", StoreAddress: p.address(), LinkMbps: host.linkMbps,
		PeerAddress: freeAddress(c.t), MetricsAddress: h.metrics,
		GracePeriod: 4 * time.Second, RevocationDelay: revocationDelay, SharesRoom: c.sharesRoom, RetryRatio: c.retryRatio,
	}.Encode()
	if err := os.WriteFile(h.settingsFile, text, 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.processes = append(c.processes, h)
	c.startProcess(h)
}

// The daemons' ports lie below the ephemeral range: a daemon keeps its addresses over restarts, and no
// socket whose port the system picks may take one of them meanwhile. Each process of tests has a block of
// portsPerProcess ports.
const (
	firstPort       = 10000
	portBlocks      = 20
	portsPerProcess = 500
)

// triedPorts counts the ports that freeAddress has tried.
var triedPorts atomic.Int64

// portLock holds the block of this process until it ends: it listens on the first port of the block.
var portLock net.Listener

// portBlock returns the first port of the block of this process.
var portBlock = sync.OnceValues(func() (int64, error) {
	var err error
	for i := range int64(portBlocks) {
		first := firstPort + (int64(os.Getpid())+i)%portBlocks*portsPerProcess
		if portLock, err = net.Listen("tcp", fmt.Sprint("127.0.0.1:", first)); err == nil {
			return first, nil
		}
	}
	return 0, err
})

// freeAddress returns a loopback address that is free for connections and for datagrams.
func freeAddress(t *testing.T) string {
	first, err := portBlock()
	if err != nil {
		t.Fatal(err)
	}
	for range portsPerProcess {
		address := fmt.Sprint("127.0.0.1:", first+1+triedPorts.Add(1)%(portsPerProcess-1))
		if isFree(address) {
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	datagrams, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return datagrams.Close() == nil
}

func (c *cluster) logFile(h *daemonProcess) string { return filepath.Join(c.dir, h.name+".log") }

// lastLog returns the last bytes that the processes of a host have logged.
func (c *cluster) lastLog(h *daemonProcess) string {
	const limit = 4 << 10
	text, err := os.ReadFile(c.logFile(h))
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-limit, 0):])
}

// startProcess starts the daemon once. Its exited channel is closed when the process ends.
func (c *cluster) startProcess(h *daemonProcess) {
	out, err := os.OpenFile(c.logFile(h), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(c.binary, "entry", h.settingsFile)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "BALSAMBARROW_TEST_UPLINK="+h.uplinkFile)
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
}

// signal sends a signal to the current process, unless that has already ended.
func (h *daemonProcess) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sig != syscall.SIGHUP {
		h.disturbances = append(h.disturbances, time.Now())
	}
	select {
	case <-h.exited:
	default:
		_ = h.cmd.Process.Signal(sig)
	}
}

// awaitExit waits until the current process has ended.
func (h *daemonProcess) awaitExit() {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	<-exited
}

func (h *daemonProcess) recordFault(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultedAt = now
}

func (c *cluster) close() {
	for _, h := range c.processes {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.awaitExit()
		h.proxy.close()
	}
	for _, u := range c.upstreams {
		u.server.CloseClientConnections()
		u.server.Close()
	}
	c.server.CloseClientConnections()
	c.server.Close()
}

// closeConnections closes every connection of an upstream, which also aborts its
// responses.
func (u *upstream) closeConnections() { u.server.CloseClientConnections() }

// abortResponse is a handler that closes the connection without a response, after the
// upstream has recorded the request as run.
func abortResponse(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
