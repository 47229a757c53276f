package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/standin"
	"balsambarrow/platform"
)

const (
	daemonPath   = "target/balsambarrowd"
	templatePath = "deploy/settings.jsonc"
	// configurationKey is the key of the configuration in the store.
	configurationKey = platform.OperatorPrefix + "config"
	// heartbeatInterval is the time between two registrations of an upstream.
	heartbeatInterval = 1500 * time.Millisecond
	startTimeout      = 20 * time.Second
	memoryMB          = 284
	linkMbps          = 1000
	upstreamSlots     = 4
	grace             = 6 * time.Second
	revoke            = 5 * time.Second
)

// zones maps the availability zones of the deployment to their regions.
var zones = map[string]string{
	"vt-burlington": "vermont", "vt-rutland": "vermont", "me-orono": "maine", "me-bangor": "maine", "ma-amherst": "mass", "ma-worcester": "mass",
}

// fleet is a small deployment: a store, upstreams, and entry hosts as processes.
type fleet struct {
	dir, temp string
	began     time.Time
	store     *standin.KVStore
	address   string

	mu        sync.Mutex
	log       *os.File
	hosts     []*host
	upstreams []*upstream
	closed    bool
	done      chan struct{}
}

// host is an entry host.
type host struct {
	name, zone string
	// callers, readiness and directory are addresses.
	callers, readiness, directory string
	settings                      string
	cmd                           *exec.Cmd
	ended                         chan struct{}
}

// upstream is a stand-in of an upstream and its registration.
type upstream struct {
	*standin.PlatformUpstream
	address, zone string
}

// newFleet starts the store. dir receives the record of the run.
func newFleet(dir string) (*fleet, error) {
	f := &fleet{dir: dir, began: time.Now(), store: standin.NewKVStore(), done: make(chan struct{})}
	var err error
	if f.log, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		return nil, err
	}
	if f.temp, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	f.address, err = serve(f.store)
	return f, err
}

// serve serves a handler at a free port.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: startTimeout}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// record adds a line to the record of the run.
func (f *fleet) record(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.log, "%8.3f "+format+"\n", append([]any{time.Since(f.began).Seconds()}, values...)...)
}

// close ends all processes that the fleet has started.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	close(f.done)
	for _, h := range f.hosts {
		_ = h.cmd.Process.Kill()
		<-h.ended
	}
	_ = os.RemoveAll(f.temp)
}

// addUpstream starts an upstream that registers itself periodically.
func (f *fleet) addUpstream(id, zone string, takes time.Duration) (*upstream, error) {
	u := &upstream{PlatformUpstream: &standin.PlatformUpstream{ID: id, ServiceTime: takes, Slots: upstreamSlots}, zone: zone}
	var err error
	if u.address, err = serve(u); err != nil {
		return nil, err
	}
	register := func(sequence int) {
		f.store.Put(platform.UpstreamPrefix+id, u.RegistryEntry(standin.Service, u.address, zone, "ready", sequence))
	}
	register(1)
	go func() {
		tick := time.NewTicker(heartbeatInterval)
		defer tick.Stop()
		for sequence := 2; ; sequence++ {
			select {
			case <-f.done:
				return
			case <-tick.C:
				register(sequence)
			}
		}
	}()
	f.upstreams = append(f.upstreams, u)
	return u, nil
}

// addHosts starts an entry host in each of the given zones, and waits until all of them are ready.
func (f *fleet) addHosts(in ...string) error {
	for i, zone := range in {
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone}
		if err := f.writeSettings(h); err != nil {
			return err
		}
		if err := f.start(h); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	// The hosts then know each other, and which of them serve callers.
	time.Sleep(5 * time.Second)
	f.record("%d hosts are ready", len(f.hosts))
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`)

// writeSettings fills in the template of the deployment, as the platform does.
func (f *fleet) writeSettings(h *host) error {
	ports, err := freePorts(6)
	if err != nil {
		return err
	}
	address := func(i int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(ports[i])) }
	h.callers, h.readiness, h.directory = address(0), address(1), address(2)
	values := map[string]any{
		"node-name": h.name, "zone": h.zone, "zones": zones, "ip": "127.0.0.1", "platform.address": f.address,
		"listen.front": address(0), "listen.ready": address(1), "listen.directory": address(2),
		"internal-port-range.0": ports[3], "internal-port-range.1": ports[4],
		"limits.cpu-share": 0.32, "limits.cpu-cores": 1, "limits.memory-mb": memoryMB, "limits.link-mbps": linkMbps, "limits.fd-limit": 4100,
		"bounds.grace": grace.String(), "bounds.revoke": revoke.String(), "bounds.strict-revocation": true,
		"bounds.retry-budget-ratio": 0.2, "bounds.retry-budget-slack": 60, "bounds.budget-window": "10s", "bounds.quota-slack": 20, "bounds.max-shift": 0.15,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "places", "tenants", "quota", "platform"},
	}
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	var missing []string
	text := placeholder.ReplaceAllStringFunc(string(template), func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		value, ok := values[parts[1]]
		if !ok {
			missing = append(missing, parts[1])
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, _ := json.Marshal(value) // strings, numbers and maps always encode
		return string(encoded)
	})
	if len(missing) > 0 {
		return errors.Errorf("no value for %s", strings.Join(missing, ", "))
	}
	h.settings = filepath.Join(f.temp, h.name+".jsonc")
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// Ports of entry hosts are below those that the system assigns to connections.
const (
	firstPort = 15000
	lastPort  = 30000
)

// freePorts returns ports of 127.0.0.1 that are free for TCP and UDP.
func freePorts(n int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < n; tries++ {
		if tries > lastPort-firstPort {
			return nil, errors.New("no free ports")
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		p, err := net.ListenPacket("udp4", address)
		if err != nil {
			continue
		}
		defer func() { _ = p.Close() }()
		ports = append(ports, port)
	}
	return ports, nil
}

// start starts the process of a host with the command of the deployment.
func (f *fleet) start(h *host) error {
	out, err := os.OpenFile(filepath.Join(f.temp, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(daemonPath, "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BALSAMBARROW_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.ended = cmd, make(chan struct{})
	ended := h.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	f.notePID(cmd.Process.Pid)
	f.record("%s is process %d", h.name, cmd.Process.Pid)
	return nil
}

// notePID writes the id of a process to the file from which the script ends what is left.
func (f *fleet) notePID(pid int) {
	path := os.Getenv("REVIEW_PIDS")
	if path == "" {
		return
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	_, _ = fmt.Fprintln(file, pid)
}

// awaitReady waits until the host reports itself ready.
func (h *host) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.readiness + "/-/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("%s does not get ready", h.name)
}

// terminate sends SIGTERM, and SIGKILL after the grace, as the platform does.
func (f *fleet) terminate(h *host) time.Time {
	at := time.Now()
	f.record("SIGTERM to %s", h.name)
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
	cmd, ended := h.cmd, h.ended
	time.AfterFunc(grace, func() {
		select {
		case <-ended:
		default:
			_ = cmd.Process.Kill()
		}
	})
	return at
}
