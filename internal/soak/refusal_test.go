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
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"balsambarrow/internal/standin"
	"balsambarrow/internal/traffic"
)

const (
	deadlineHeader = "X-Deadline-Ms"
	// refusalCallers is the number of callers, and refusalHosts the number of hosts.
	refusalCallers = 24
	refusalHosts   = 4
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
	for i, zone := range []string{"a1", "a2", "b1", "b1", "a1", "a2"} {
		u := startUpstreamProcess(t, c.dir, i, zone)
		defer u.close()
		u.register(c.store)
		upstreams = append(upstreams, u)
	}
	for i := range refusalHosts {
		c.addProcess(fmt.Sprint("h", i), hostConfig{zone: []string{"a1", "a2", "b1"}[i%3], linkMbps: 200})
	}
	c.awaitServing()
	stop := make(chan struct{})
	var tasks, callers sync.WaitGroup
	tasks.Go(func() {
		for !sleepUntil(stop, time.Second) {
			for _, u := range upstreams {
				u.register(c.store)
			}
		}
	})
	tasks.Go(func() { c.cutLinks(rand.New(rand.NewPCG(seed, 5)), stop, false) })
	tasks.Go(func() { c.disturbProcesses(rand.New(rand.NewPCG(seed, 1)), upstreams, stop) })
	var mu sync.Mutex
	var requests []callerRequest
	for i := range refusalCallers {
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
	runs := map[string][]string{}
	for _, u := range upstreams {
		for id, hows := range u.recordedRuns(t) {
			runs[id] = append(runs[id], hows...)
		}
	}
	checkPromises(c, requests, runs)
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
		if r.err == nil && r.status == http.StatusOK && (!strings.Contains(r.body, " ran "+r.id+".") && !strings.Contains(r.body, " ran "+r.id+" ") || !strings.HasSuffix(r.body, responseEnd)) {
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

// disturbProcesses kills, suspends and stops processes of hosts and upstreams until stop is closed. The faults overlap.
func (c *cluster) disturbProcesses(rng *rand.Rand, upstreams []*upstreamProcess, stop <-chan struct{}) {
	var active sync.WaitGroup
	defer active.Wait()
	for !sleepUntil(stop, time.Duration(50+rng.IntN(400))*time.Millisecond) {
		h, u := c.processes[rng.IntN(len(c.processes))], upstreams[rng.IntN(len(upstreams))]
		length := time.Duration(20+rng.IntN(1500)) * time.Millisecond
		kind, same, mode := rng.IntN(9), rng.IntN(2) == 0, proxyMode(1+rng.IntN(int(modeCount)-1))
		c.logFault("kind %d: host %s, upstream %s, same %v, mode %d, for %v", kind, h.name, u.address, same, mode, length)
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
				u.replace(c.t, c.store, same)
			default:
				u.signal(syscall.SIGSTOP)
				time.Sleep(length)
				u.signal(syscall.SIGCONT)
			}
		})
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
