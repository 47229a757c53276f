package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"balsambarrow/internal/standin"
)

const (
	// spoiledFraction is the fraction of the answers of the faulty upstream that are spoiled, and spoiledTime
	// how long it does that.
	spoiledFraction = 0.02
	spoiledTime     = 4700 * time.Millisecond
	// spoiledRate bounds the bytes per second of all spoiled answers to one host to the declared speed of
	// its link.
	spoiledRate = linkMbps * 1_000_000 / 8
	// keptConnections is the number of connections that callers keep to each host, and serviceTime what an
	// upstream takes for a request.
	keptConnections = 30
	serviceTime     = 200 * time.Millisecond
	loadTime        = 10 * time.Second
	// pauseTime is the time between two requests of a connection.
	pauseTime = 150 * time.Millisecond
	// allowedLosses is the number of requests that the rule allows a host to lose.
	allowedLosses = 3
)

// playEndlessHeader sends reads on kept connections. The disruption is that one of six upstreams now
// and then sends bytes that are no answer: a status line without an end.
func playEndlessHeader(f *fleet, trouble bool) (broken int, err error) {
	f.store.Put(configurationKey, configuration(1, nil, keptKey))
	faulty, err := f.addUpstream("i-faulty", "vt-burlington", serviceTime)
	if err != nil {
		return 0, err
	}
	for i, zone := range []string{"vt-burlington", "vt-burlington", "vt-burlington", "me-orono", "ma-amherst"} {
		if _, err := f.addUpstream(fmt.Sprintf("i-%s-%d", zone, i), zone, serviceTime); err != nil {
			return 0, err
		}
	}
	if err := f.addHosts("vt-burlington", "me-orono", "ma-amherst"); err != nil {
		return 0, err
	}
	if trouble {
		faulty.SetHandler(spoil(f, faulty))
	}
	var wait sync.WaitGroup
	for _, h := range f.hosts {
		wait.Go(func() { f.superviseMemory(h, loadTime+2*time.Second) })
	}
	losses := f.load(loadTime)
	wait.Wait()
	return f.countLosses(losses, faulty), nil
}

// spoil returns a handler that spoils some of the answers.
func spoil(f *fleet, u *upstream) func(w http.ResponseWriter, r *http.Request) {
	var requests atomic.Int64
	end := time.Now().Add(spoiledTime)
	links := map[string]*pacer{}
	for _, h := range f.hosts {
		links[h.name] = &pacer{free: time.Now()}
	}
	return func(w http.ResponseWriter, r *http.Request) {
		const interval = int64(1 / spoiledFraction)
		if n := requests.Add(1) - 1; n%interval != interval/2 || time.Now().After(end) {
			time.Sleep(serviceTime)
			w.Header().Set("X-Response-Signature", "signed-by-"+u.ID)
			_, _ = fmt.Fprintf(w, "%s ran %s", u.ID, r.Header.Get("X-Request-Id"))
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		f.record("%s spoils the answer to %s", u.ID, r.Header.Get("X-Request-Id"))
		_ = c.SetWriteDeadline(end)
		sent := writeEndless(c, links[hostOf(r.Header.Get("X-Request-Id"))])
		f.record("%s has sent %d bytes for %s", u.ID, sent, r.Header.Get("X-Request-Id"))
	}
}

// pacer delays bytes as a link of spoiledRate does.
type pacer struct {
	mu sync.Mutex
	// free is when the link has sent what was given to it.
	free time.Time
}

// pass waits until the link has sent n more bytes.
func (p *pacer) pass(n int) {
	p.mu.Lock()
	if now := time.Now(); p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(n) / spoiledRate * float64(time.Second)))
	until := p.free
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// writeEndless writes bytes without a line end until the connection or its time ends.
func writeEndless(c net.Conn, link *pacer) (sent int) {
	part := bytes.Repeat([]byte{'x'}, 256<<10)
	for {
		link.pass(len(part))
		n, err := c.Write(part)
		if sent += n; err != nil {
			return sent
		}
	}
}

// superviseMemory kills and restarts a host whose process uses more memory than it may, as the platform
// does.
func (f *fleet) superviseMemory(h *host, during time.Duration) {
	peak := 0.0
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		used := residentMB(h.cmd.Process.Pid)
		peak = max(peak, used)
		if used <= memoryMB {
			continue
		}
		f.record("%s holds %.0f MB of %d MB: the platform kills it", h.name, used, memoryMB)
		_ = h.cmd.Process.Kill()
		<-h.ended
		time.Sleep(500 * time.Millisecond)
		if err := f.start(h); err != nil {
			f.record("%s does not start: %v", h.name, err)
			return
		}
	}
	f.record("%s held %.0f MB at most", h.name, peak)
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1]) // the kernel writes a number
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// loss is a request that was sent on a kept connection and got no answer.
type loss struct{ id, host string }

// load sends reads on kept connections, and returns those that got no answer although their time had
// not passed.
func (f *fleet) load(during time.Duration) []loss {
	var mu sync.Mutex
	var losses []loss
	var callers sync.WaitGroup
	counts := map[string]int{}
	end := time.Now().Add(during)
	for _, h := range f.hosts {
		for i := range keptConnections {
			callers.Go(func() {
				f.keepAsking(h, i, end, func(id string, kept bool, a answer) {
					mu.Lock()
					defer mu.Unlock()
					counts[a.result()]++
					f.record("%s to %s, kept connection %v: %v after %v", id, h.name, kept, a, a.took)
					if a.status == 0 && kept && a.took < readTimeout-100*time.Millisecond {
						losses = append(losses, loss{id, h.name})
					}
				})
			})
		}
	}
	callers.Wait()
	for result, n := range counts {
		f.record("%d requests: %s", n, result)
	}
	return losses
}

// readLimit is how long callers wait, and readTimeout the timeout of the route.
const (
	readLimit   = 3 * time.Second
	readTimeout = 2 * time.Second
)

// hostMark stands before the name of the host in the id of a request.
const hostMark = "@"

// hostOf returns the host to which a request was sent.
func hostOf(id string) string {
	_, name, _ := strings.Cut(id, hostMark)
	return name
}

// keepAsking sends one request after another on a connection, and opens a new one if it has ended.
func (f *fleet) keepAsking(h *host, caller int, end time.Time, observe func(id string, kept bool, a answer)) {
	var c *connection
	for n := 0; time.Now().Before(end); n++ {
		if c == nil {
			var err error
			if c, err = connect(h.callers); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("r-%d-%d%s%s", caller, n, hostMark, h.name)
		kept := c.served > 0
		a := c.send(request{id: id, method: http.MethodGet, path: standin.ReadPath + id, key: keptKey, limit: readLimit})
		observe(id, kept, a)
		if a.status != http.StatusOK || c.closing {
			_ = c.Close()
			c = nil
		}
		time.Sleep(pauseTime)
	}
	if c != nil {
		_ = c.Close()
	}
}

// countLosses returns the number of losses beyond the allowed ones, of requests that a host had passed on to
// sound upstreams only.
func (f *fleet) countLosses(losses []loss, faulty *upstream) int {
	ranAt := map[string][]string{}
	for _, u := range f.upstreams {
		for _, run := range u.Runs() {
			f.record("%s ran %s at %.3f", u.ID, run.ID, run.At.Sub(f.began).Seconds())
			ranAt[run.ID] = append(ranAt[run.ID], u.ID)
		}
	}
	perHost := map[string]int{}
	for _, l := range losses {
		at := ranAt[l.id]
		if len(at) == 0 || slices.Contains(at, faulty.ID) {
			continue
		}
		f.record("%s was passed on by %s to %v only, which are sound", l.id, l.host, at)
		perHost[l.host]++
	}
	broken := 0
	for host, n := range perHost {
		f.record("%s has lost %d requests", host, n)
		broken += max(n-allowedLosses, 0)
	}
	return broken
}
