package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"balsambarrow/internal/standin"
)

const (
	// heartbeat is how often an upstream writes its registration.
	heartbeat = 1500 * time.Millisecond
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod = 6 * time.Second
	// startTimeout bounds the time until a host is ready.
	startTimeout = 20 * time.Second
	// exitTimeout bounds the time until a host has ended after SIGKILL.
	exitTimeout = 2 * time.Second
)

// zones are the zones of the deployment and their regions.
var zones = map[string]string{
	"kozep-a": "kozep", "kozep-b": "kozep", "alfold-a": "alfold", "alfold-b": "alfold", "dunantul-a": "dunantul", "dunantul-b": "dunantul",
}

// configurationKey and registrationPrefix are keys of the platform's store.
const (
	configurationKey   = `op/config`
	registrationPrefix = `servers/`
)

// errEnded means that a host has ended before it was ready.
var errEnded = errors.New("host ended before it was ready")

// deployment is a set of entry hosts with their store and upstreams.
type deployment struct {
	daemon string
	dir    string
	log    *record
	// trouble is set if the case is run with its disruption.
	trouble      bool
	store        *standin.KVStore
	storeAddress string
	listeners    []net.Listener
	stop         chan struct{}
	// ports are those of the hosts.
	ports map[int]bool

	mu    sync.Mutex
	hosts []*host
}

// newDeployment starts the store.
func newDeployment(daemon string, log *record, trouble bool) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{daemon: daemon, dir: dir, log: log, trouble: trouble, store: standin.NewKVStore(), stop: make(chan struct{}), ports: map[int]bool{}}
	l, err := d.listen()
	if err != nil {
		return nil, err
	}
	d.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, d.store) }()
	return d, nil
}

// listen opens a listener on a free loopback port.
func (d *deployment) listen() (net.Listener, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err == nil {
		d.listeners = append(d.listeners, l)
	}
	return l, err
}

// close ends all processes and listeners.
func (d *deployment) close() {
	close(d.stop)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hosts {
		h.kill()
		_ = h.logFile.Close()
	}
	for _, l := range d.listeners {
		_ = l.Close()
	}
	_ = os.RemoveAll(d.dir)
}

// host is one entry host.
type host struct {
	name, zone         string
	callers, readiness string
	settingsFile       string
	process            *exec.Cmd
	logFile            *os.File
	ended              chan struct{}
}

// Hosts listen on ports below those that the kernel gives to connections, so that a host that
// starts again finds its ports free.
const (
	firstPort = 20000
	lastPort  = 32000
	// portTries bounds the search for a free port.
	portTries = 1000
)

// freePort returns a port that is free at present, and that no other host of the deployment uses.
func (d *deployment) freePort() (int, error) {
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		if !d.ports[port] {
			d.ports[port] = true
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

// startHost starts an entry host as the deploy file does.
func (d *deployment) startHost(name, zone string) (*host, error) {
	addresses := make([]string, 0, 5)
	for range cap(addresses) {
		port, err := d.freePort()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", port))
	}
	h := &host{name: name, zone: zone, callers: addresses[0], readiness: addresses[1]}
	h.settingsFile = filepath.Join(d.dir, name+".jsonc")
	if err := os.WriteFile(h.settingsFile, d.settings(h, addresses), 0o600); err != nil {
		return nil, err
	}
	var err error
	if h.logFile, err = os.Create(filepath.Join(d.dir, name+".log")); err != nil {
		return nil, err
	}
	if err := d.startProcess(h); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.hosts = append(d.hosts, h)
	d.mu.Unlock()
	return h, nil
}

// startProcess starts the process of a host, whose earlier process has ended.
func (d *deployment) startProcess(h *host) error {
	h.process, h.ended = exec.Command(d.daemon, "entry", h.settingsFile), make(chan struct{})
	h.process.Stdout, h.process.Stderr = h.logFile, h.logFile
	if err := h.process.Start(); err != nil {
		return err
	}
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		close(ended)
	}(h.process, h.ended)
	d.log.printf("%s started, process %d, callers %s", h.name, h.process.Process.Pid, h.callers)
	return nil
}

// settings returns the settings that the platform fills in for a host of a small deployment.
func (d *deployment) settings(h *host, addresses []string) []byte {
	text, err := json.MarshalIndent(map[string]any{
		"host": h.name, "zone": h.zone, "zones": zones,
		"listen": map[string]string{
			"callers": addresses[0], "readiness": addresses[1], "directory": addresses[2], "peers": addresses[3], "tunnels": addresses[3], "metrics": addresses[4],
		},
		"store":    d.storeAddress,
		"capacity": map[string]any{"cpu_share": 0.32, "cpu_cores": 1, "memory_mb": 284, "link_mbps": 1000, "descriptors": 4100},
		"bounds": map[string]any{
			"grace": gracePeriod.String(), "revoke": "5000ms", "strict_revocation": true, "retry_ratio": 0.2, "retry_slack": 56, "retry_window": "10s",
			"rate_slack": 20, "max_shift": 0.15,
		},
		"agreement": []string{"base", "drain", "config", "cost", "retry", "recover", "places", "tenants", "quota", "platform"},
	}, "", "  ")
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return text
}

// startHosts starts hosts in the given zones and waits until they are ready.
func (d *deployment) startHosts(inZones ...string) ([]*host, error) {
	var hosts []*host
	for i, zone := range inZones {
		h, err := d.startHost(fmt.Sprintf("front-%s-%d", zone, i), zone)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	for i, h := range hosts {
		err := h.awaitReady()
		if errors.Is(err, errEnded) {
			// Another program has taken one of its ports meanwhile.
			if hosts[i], err = d.startHost(h.name, h.zone); err == nil {
				err = hosts[i].awaitReady()
			}
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", h.name, err)
		}
	}
	return hosts, nil
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-h.ended:
			return errEnded
		default:
		}
		resp, err := http.Get("http://" + h.readiness + "/-/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("not ready in time")
}

func (h *host) signal(s syscall.Signal) error { return h.process.Process.Signal(s) }

// kill ends the process with SIGKILL.
func (h *host) kill() {
	_ = h.process.Process.Kill()
	select {
	case <-h.ended:
	case <-time.After(exitTimeout):
	}
}

// table is a table in the platform's encoding.
type table struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// putConfiguration writes a version of the configuration.
func (d *deployment) putConfiguration(version int, routes, services, tenants [][]any) error {
	value, err := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("r%d", version),
		"routes":   table{[]string{"name", "host", "prefix", "kind", "timeout", "target-latency", "priority", "max-attempts", "public", "session-affinity", "service"}, routes},
		"services": table{[]string{"name", "health-check-path", "max-connections", "cold-start", "cold-per-s"}, services},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 8 << 20, "header-timeout": "5s", "idle-timeout": "10s"},
		"tenants":  table{[]string{"name", "api-keys", "rate-per-s", "burst"}, tenants},
	})
	if err != nil {
		return err
	}
	d.store.Put(configurationKey, value)
	d.log.printf("configuration r%d acknowledged by the store, %d bytes", version, len(value))
	return nil
}

// register keeps an upstream registered until the deployment ends.
func (d *deployment) register(id, service, zone, address string, slots int) {
	born := time.Now().UnixMilli()
	put := func(sequence int) {
		value, err := json.Marshal(map[string]any{
			"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "cold-remaining": "0ms",
			"sequence": sequence, "born": born,
		})
		if err == nil {
			d.store.Put(registrationPrefix+id, value)
		}
	}
	put(1)
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for sequence := 2; ; sequence++ {
			select {
			case <-d.stop:
				return
			case <-tick.C:
				put(sequence)
			}
		}
	}()
}
