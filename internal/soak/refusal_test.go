package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"balsambarrow/internal/standin"
	"balsambarrow/internal/traffic"
)

// refusalScale is the size of a run of TestRefusedRequestsDoNotRun.
type refusalScale struct {
	hosts, upstreams, callers int
	// faultGap is the longest time between two faults of processes.
	faultGap time.Duration
}

// From deploymentSeed on, a run has the size of a deployment.
const deploymentSeed = 40000

func refusalScaleOf(seed uint64) refusalScale {
	if seed >= deploymentSeed {
		return refusalScale{hosts: 10, upstreams: 38, callers: 90, faultGap: 120 * time.Millisecond}
	}
	return refusalScale{hosts: 4, upstreams: 6, callers: 24, faultGap: 450 * time.Millisecond}
}

const (
	deadlineHeader = "X-Deadline-Ms"
	// longBody exceeds what a host holds of a body before it forwards it.
	longBody = 300 << 10
	// settleTime is how long suspended processes and kernel buffers may still deliver requests.
	settleTime = 2 * time.Second
)

// Guards against requests that run although their callers were told that they did not.
func TestRefusedRequestsDoNotRun(t *testing.T) {
	binary := daemonBinary(t)
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRefusals(t, binary, seed) })
	}
}

func runRefusals(t *testing.T, binary string, seed uint64) {
	c := &cluster{
		t: t, reporter: t, binary: binary, dir: t.TempDir(), store: standin.NewKVStore(), version: 1,
		withdrawn: map[string]time.Time{}, activeEvacuations: map[string]time.Time{}, sharesRoom: seed%2 == 1,
	}
	c.server = httptest.NewServer(c.store)
	defer c.close()
	c.writeConfig()
	var upstreams []*upstreamProcess
	scale := refusalScaleOf(seed)
	zones := []string{"a1", "a2", "b1", "b1", "a1", "a2"}
	for i := range scale.upstreams {
		u := startUpstreamProcess(t, c.dir, i, zones[i%len(zones)])
		defer u.close()
		u.register(c.store)
		upstreams = append(upstreams, u)
	}
	for i := range scale.hosts {
		c.addProcess(fmt.Sprint("h", i), hostConfig{zone: []string{"a1", "a2", "b1"}[i%3], linkMbps: 200})
	}
	c.awaitServing()
	var addresses []string
	for _, h := range c.processes {
		addresses = append(addresses, h.callerAddress)
	}
	if err := os.WriteFile(filepath.Join(c.dir, hostsFile), []byte(strings.Join(addresses, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var tasks, callers sync.WaitGroup
	tasks.Go(func() {
		for !sleepUntil(stop, time.Second) {
			for _, u := range upstreams {
				u.supervise(t, c.store)
			}
		}
	})
	tasks.Go(func() { c.changeConfigurations(rand.New(rand.NewPCG(seed, 2)), stop) })
	tasks.Go(func() { c.writeOddEntries(rand.New(rand.NewPCG(seed, 3)), upstreams, stop) })
	tasks.Go(func() { c.cutLinks(rand.New(rand.NewPCG(seed, 5)), stop, false) })
	tasks.Go(func() { c.disturbProcesses(rand.New(rand.NewPCG(seed, 1)), upstreams, scale.faultGap, stop) })
	var mu sync.Mutex
	var requests []callerRequest
	for i := range scale.callers {
		callers.Go(func() {
			sent := c.runImpatientCaller(rand.New(rand.NewPCG(seed, uint64(100+i))), i)
			mu.Lock()
			defer mu.Unlock()
			requests = append(requests, sent...)
		})
	}
	callers.Wait()
	close(stop)
	tasks.Wait()
	time.Sleep(settleTime)
	for _, h := range c.processes {
		select {
		case <-h.exited:
			c.reporter.Errorf("%s has ended by itself:\n%s", h.name, c.lastLog(h))
		default:
		}
	}
	runs := map[string][]string{}
	for _, u := range upstreams {
		for id, hows := range u.recordedRuns(t) {
			runs[id] = append(runs[id], hows...)
		}
		requests = append(requests, u.nestedRequests(t)...)
	}
	checkPromises(c, requests, runs)
}

// writeOddEntries writes registrations as another writer may leave them, under keys of upstreams and of its own, until stop is
// closed.
func (c *cluster) writeOddEntries(rng *rand.Rand, upstreams []*upstreamProcess, stop <-chan struct{}) {
	entry := func(address string, sequence, born uint64) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a1","version":"v","slots":4,"state":"draining","cold-remaining":"0ms","sequence":%d,"born":%d}`,
			standin.Service, address, sequence, born)
	}
	odd := []string{
		strings.Repeat(`{"service":`, 20_000), entry("127.0.0.1:70000", 1, firstStartMs), entry("127.0.0.1:0", 1, firstStartMs),
		entry("127.0.0.1:9", 1<<63, firstStartMs), entry("127.0.0.1:9", 1<<40, firstStartMs), entry("127.0.0.1:9", 1, 1<<50), entry("0.0.0.0:9", 1, 1),
	}
	for !sleepUntil(stop, time.Duration(200+rng.IntN(1500))*time.Millisecond) {
		id := fmt.Sprint("odd-", rng.IntN(3))
		if rng.IntN(4) == 0 {
			u := upstreams[rng.IntN(len(upstreams))]
			u.mu.Lock()
			id = u.id
			u.mu.Unlock()
		}
		c.store.Put("servers/"+id, []byte(odd[rng.IntN(len(odd))]))
	}
}

// checkPromises compares what callers were told with what the upstreams have run.
func checkPromises(c *cluster, requests []callerRequest, runs map[string][]string) {
	statuses := map[int]int{}
	for _, r := range requests {
		ran := runs[r.id]
		if r.err == nil {
			statuses[r.status]++
		}
		if r.post && len(ran) > 1 {
			c.reporter.Errorf("%s: a posting ran %d times: %v", r.id, len(ran), ran)
		}
		if r.post && r.err == nil && traffic.PromisesNotRun(r.status) && len(ran) > 0 {
			c.reporter.Errorf("%s: refused with %d (%.60q) at %s, but it ran: %v", r.id, r.status, r.body, r.host.name, ran)
		}
		if r.err == nil && r.status == http.StatusOK && !strings.HasPrefix(r.id, nestedID) && (!strings.Contains(r.body, " ran "+r.id+".") && !strings.Contains(r.body, " ran "+r.id+" ") || !strings.HasSuffix(r.body, responseEnd)) {
			c.reporter.Errorf("%s: got the response %.80q of %d bytes", r.id, r.body, len(r.body))
		}
	}
	c.reporter.Logf("%d requests, statuses %v", len(requests), statuses)
	if c.reporter.Failed() {
		c.reporter.Logf("injected faults:\n%s", strings.Join(c.faultLog, "\n"))
		for _, h := range c.processes {
			if text, err := os.ReadFile(c.logFile(h)); err == nil {
				c.reporter.Logf("log of %s in %s", h.name, keepLog(h.name, text))
			}
		}
	}
}

// keepLog copies a log to a file that outlives the test, and returns its name.
func keepLog(name string, text []byte) string {
	f, err := os.CreateTemp("", "soak-"+name+"-*.log")
	if err != nil {
		return err.Error()
	}
	_, _ = f.Write(text)
	_ = f.Close()
	return f.Name()
}

// disturbProcesses kills, suspends, slows and stops processes of hosts and upstreams until stop is closed. The faults
// overlap.
func (c *cluster) disturbProcesses(rng *rand.Rand, upstreams []*upstreamProcess, gap time.Duration, stop <-chan struct{}) {
	var active sync.WaitGroup
	defer active.Wait()
	for !sleepUntil(stop, gap/9+time.Duration(rng.Int64N(int64(gap)))) {
		h, u := c.processes[rng.IntN(len(c.processes))], upstreams[rng.IntN(len(upstreams))]
		length := time.Duration(20+rng.IntN(1500)) * time.Millisecond
		kind, by, mode := rng.IntN(14), replacement(rng.IntN(int(replacements))), proxyMode(1+rng.IntN(int(modeCount)-1))
		c.logFault("kind %d: host %s, upstream %s, replacement %d, mode %d, for %v", kind, h.name, u.address, by, mode, length)
		active.Go(func() {
			switch kind {
			case 0:
				c.stopAndRestart(h)
			case 1:
				h.signal(syscall.SIGCONT)
				h.signal(syscall.SIGKILL)
				c.restart(h)
			case 2, 3:
				h.signal(syscall.SIGSTOP)
				time.Sleep(length)
				h.signal(syscall.SIGCONT)
			case 4:
				h.proxy.setMode(mode)
				time.Sleep(length)
				h.proxy.setMode(modePass)
			case 5, 6:
				u.replace(c.t, c.store, by)
			case 7:
				h.slowDown(length)
			case 8:
				h.signal(syscall.SIGHUP)
			case 9, 10:
				u.succeed(c.store)
			case 11:
				u.leave(c.t, c.store, by == sameInstance)
			default:
				u.signal(syscall.SIGSTOP)
				time.Sleep(length)
				u.signal(syscall.SIGCONT)
			}
		})
	}
}

// slowDown leaves the process a third of each tenth of a second.
func (h *daemonProcess) slowDown(length time.Duration) {
	const period, share = 100 * time.Millisecond, 3
	for end := time.Now().Add(length); time.Now().Before(end); {
		h.signal(syscall.SIGSTOP)
		time.Sleep(period - period/share)
		h.signal(syscall.SIGCONT)
		time.Sleep(period / share)
	}
}

// changeConfigurations writes new versions and evacuates zones until stop is closed.
func (c *cluster) changeConfigurations(rng *rand.Rand, stop <-chan struct{}) {
	var active sync.WaitGroup
	defer active.Wait()
	for !sleepUntil(stop, time.Duration(100+rng.IntN(1500))*time.Millisecond) {
		if rng.IntN(6) == 0 {
			active.Go(func() { c.evacuateZone("a2", time.Second) })
			continue
		}
		c.mu.Lock()
		c.writeConfig()
		c.mu.Unlock()
	}
}

// runImpatientCaller sends requests with bodies of many kinds and short time limits.
func (c *cluster) runImpatientCaller(rng *rand.Rand, number int) []callerRequest {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var out []callerRequest
	for end := time.Now().Add(*callerDuration); time.Now().Before(end); {
		r := callerRequest{id: fmt.Sprintf("c%d-%d-", number, len(out)), post: rng.IntN(4) > 0, host: c.processes[rng.IntN(len(c.processes))], key: "steady"}
		if number%4 == 0 {
			r.key = standin.RateLimitedKey
		}
		out = append(out, c.sendImpatiently(rng, client, r))
		if last := out[len(out)-1]; number%3 == 0 && last.err == nil && traffic.PromisesNotRun(last.status) && rng.IntN(4) > 0 {
			continue // repeats at once, whatever Retry-After says
		}
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
	return out
}

func (c *cluster) sendImpatiently(rng *rand.Rand, client *http.Client, r callerRequest) callerRequest {
	limit := time.Duration(20+rng.IntN(1200)) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit+500*time.Millisecond)
	defer cancel()
	method, path, body := http.MethodGet, standin.ReadPath+"1", io.Reader(nil)
	if r.post {
		method, path, body = http.MethodPost, standin.PostPath+"1", drawBody(rng)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.host.callerAddress+path, body)
	if err != nil {
		c.t.Error(err)
		return r
	}
	req.Host = standin.CallerHost
	req.Header = http.Header{
		"X-Request-Id": {r.id}, deadlineHeader: {fmt.Sprint(limit.Milliseconds())}, "Authorization": {"Bearer " + r.key}, "X-Affinity-Key": {fmt.Sprint(rng.IntN(20))},
	}
	r.startedAt = time.Now()
	resp, err := client.Do(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.body = resp.StatusCode, string(text)
	}
	r.err, r.endedAt = err, time.Now()
	return r
}

// slowReader returns its text in two parts, with a pause between.
type slowReader struct {
	text  io.Reader
	pause time.Duration
	reads int
}

// Read implements io.Reader.
func (r *slowReader) Read(b []byte) (int, error) {
	if r.reads++; r.reads == 2 {
		time.Sleep(r.pause)
	}
	return r.text.Read(b)
}

// drawBody returns a body that is short or long, with a length or without, at once or slowly.
func drawBody(rng *rand.Rand) io.Reader {
	text := strings.Repeat("w", []int{10, 3000, longBody}[rng.IntN(3)])
	switch rng.IntN(4) {
	case 0:
		return io.MultiReader(strings.NewReader(text))
	case 1:
		return &slowReader{text: strings.NewReader(text), pause: time.Duration(rng.IntN(600)) * time.Millisecond}
	}
	return strings.NewReader(text)
}
