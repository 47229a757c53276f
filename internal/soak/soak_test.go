package soak

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"balsambarrow/internal/standin"
)

var (
	seeds = flag.Int("soak.seeds", 1, "number of seeds to run")
	first = flag.Uint64("soak.first", 1, "first seed")
	span  = flag.Duration("soak.span", 8*time.Second, "how long callers ask, per seed")
)

// regressions are seeds that failed once, each with its cause.
var regressions = []uint64{
	2, // hosts that started together did not know each other, and each gave out the whole rate
}

// settle is how long before a request nothing may have happened to a host or an
// upstream for the request to be held against it.
const settle = 4 * time.Second

// sent is one request of a caller, and what it was told.
type sent struct {
	id     string
	key    string
	post   bool
	host   *process
	at     time.Time
	ended  time.Time
	status int
	body   string
	err    error
}

// TestSoak: callers ask, hosts are stopped, killed, paused and cut off from the
// store, upstreams break off their answers, operators withdraw keys and empty
// zones, in series and at once. What callers and upstreams see must be as
// promised throughout.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "balsambarrowd")
	if out, err := exec.Command("go", "build", "-o", binary, "balsambarrow/cmd/balsambarrowd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	all := append([]uint64{mixedFrom}, regressions...)
	for i := range uint64(*seeds) {
		all = append(all, *first+i)
	}
	for _, seed := range all {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, binary, seed) })
	}
}

func soak(t *testing.T, binary string, seed uint64) {
	t.Logf("seed %d, callers for %v", seed, *span)
	s := newSite(t, binary, fleetOf(seed))
	defer s.close()
	s.awaitServing()
	stop := make(chan struct{})
	var tasks, callers sync.WaitGroup
	spawn := func(group *sync.WaitGroup, task func()) {
		group.Add(1)
		go func() {
			defer group.Done()
			task()
		}()
	}
	spawn(&tasks, func() { s.heartbeats(stop) })
	spawn(&tasks, func() { s.faults(rand.New(rand.NewPCG(seed, 1)), stop) })
	var mu sync.Mutex
	var requests []sent
	for i := range 9 {
		rng := rand.New(rand.NewPCG(seed, uint64(100+i)))
		spawn(&callers, func() {
			own := s.caller(rng, i, *span)
			mu.Lock()
			defer mu.Unlock()
			requests = append(requests, own...)
		})
	}
	callers.Wait()
	close(stop)
	tasks.Wait()
	// What was given up by a host may still run at an upstream.
	time.Sleep(300 * time.Millisecond)
	s.check(requests)
}

func (s *site) awaitServing() {
	for _, h := range s.processes {
		end := time.Now().Add(30 * time.Second)
		for {
			r := s.ask(http.DefaultClient, sent{id: "warm-up-" + h.name, key: "steady", host: h})
			if r.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				s.t.Fatalf("%s does not serve: %d %v", h.name, r.status, r.err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (s *site) heartbeats(stop <-chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			for _, u := range s.upstreams {
				s.beat(u)
			}
		}
	}
}

// caller sends requests one after the other, on kept connections that it uses
// until they are closed.
func (s *site) caller(rng *rand.Rand, number int, d time.Duration) []sent {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 4 * time.Second}
	var out []sent
	for end := time.Now().Add(d); time.Now().Before(end); {
		r := sent{
			id: fmt.Sprintf("c%d-%d", number, len(out)), post: rng.IntN(2) == 0,
			host: s.processes[rng.IntN(len(s.processes))], key: "steady",
		}
		switch {
		case number < 4:
			r.key = standin.RateLimitedKey
		case number < 7:
			r.key = fmt.Sprint("fresh-", rng.IntN(freshKeys))
		}
		out = append(out, s.ask(client, r))
		time.Sleep(time.Duration(rng.IntN(25)) * time.Millisecond)
	}
	return out
}

func (s *site) ask(client *http.Client, r sent) sent {
	method, path, body := "GET", standin.ReadPath+"1", ""
	if r.post {
		method, path, body = "POST", standin.PostPath+"1", "weight"
	}
	q, err := http.NewRequest(method, "http://"+r.host.callers+path, strings.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return r
	}
	q.Host = standin.CallerHost
	q.Header = http.Header{"X-Request-Id": {r.id}, "X-Deadline-Ms": {"3000"}, "Authorization": {"Bearer " + r.key}, "X-Affinity-Key": {r.id[:2]}}
	r.at = time.Now()
	resp, err := client.Do(q)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.body = resp.StatusCode, string(text)
	}
	r.err, r.ended = err, time.Now()
	return r
}

// faults injects one after the other until stop, some of which last on while the
// next ones begin.
// kinds names what inject does, for the log.
var kinds = []string{"SIGTERM", "SIGKILL", "SIGSTOP", "store link", "SIGHUP", "key withdrawn", "evacuation", "upstream cuts answers"}

func (s *site) faults(rng *rand.Rand, stop <-chan struct{}) {
	var lasting sync.WaitGroup
	defer lasting.Wait()
	for {
		h, u := s.processes[rng.IntN(len(s.processes))], s.upstreams[rng.IntN(len(s.upstreams))]
		length := time.Duration(300+rng.IntN(3500)) * time.Millisecond
		kind, key, m := rng.IntN(len(kinds)), fmt.Sprint("fresh-", rng.IntN(freshKeys)), mode(1+rng.IntN(int(modes)-1))
		lasting.Add(1)
		go func() {
			defer lasting.Done()
			s.inject(kind, h, u, key, m, length)
		}()
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(300+rng.IntN(1200)) * time.Millisecond):
		}
	}
}

func (s *site) inject(kind int, h *process, u *upstream, key string, m mode, length time.Duration) {
	s.note("%s of %s or %s, mode %d, for %v", kinds[kind], h.name, u.worker.ID, m, length)
	switch kind {
	case 0:
		s.stop(h)
	case 1:
		h.fault(time.Now())
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		s.restart(h)
	case 2:
		h.fault(time.Now())
		h.signal(syscall.SIGSTOP)
		time.Sleep(length)
		h.signal(syscall.SIGCONT)
		h.fault(time.Now())
	case 3:
		h.proxy.set(m)
		time.Sleep(length)
		h.proxy.set(pass)
	case 4:
		h.signal(syscall.SIGHUP)
	case 5:
		s.withdraw(key, length)
	case 6:
		s.evacuate(u.zone, length+revoke)
	case 7:
		s.disturb(u, length)
	}
}

// stop is a planned stop, and a new start.
func (s *site) stop(h *process) {
	h.mu.Lock()
	h.stopped = time.Now()
	h.mu.Unlock()
	h.signal(syscall.SIGTERM)
	s.restart(h)
}

// restart waits for the end of the present process and starts the next one. Of
// several that wait only one does.
func (s *site) restart(h *process) {
	h.mu.Lock()
	ending := h.done
	h.mu.Unlock()
	<-ending
	s.mu.Lock()
	defer s.mu.Unlock()
	h.mu.Lock()
	same := h.done == ending
	h.mu.Unlock()
	if same {
		s.start(h)
	}
}

func (s *site) withdraw(key string, length time.Duration) {
	s.mu.Lock()
	if !s.withdrawn[key].IsZero() {
		s.mu.Unlock()
		return
	}
	s.withdrawn[key] = time.Now()
	s.declare()
	s.withdrawn[key] = time.Now()
	s.mu.Unlock()
	// A key that is withdrawn stays so: what runs with it later is a fault.
	_ = length
}

func (s *site) evacuate(zone string, length time.Duration) {
	s.mu.Lock()
	if !s.evacuated[zone].IsZero() {
		s.mu.Unlock()
		return
	}
	s.store.Put("op/evacuate/"+zone, []byte("{}"))
	s.evacuated[zone] = time.Now()
	s.mu.Unlock()
	time.Sleep(length)
	s.mu.Lock()
	s.emptied = append(s.emptied, evacuation{zone, s.evacuated[zone], time.Now()})
	s.store.Delete("op/evacuate/" + zone)
	delete(s.evacuated, zone)
	s.mu.Unlock()
}

// disturb makes an upstream cut its answers, or all of its connections once.
func (s *site) disturb(u *upstream, length time.Duration) {
	s.mu.Lock()
	u.faulted = time.Now().Add(length)
	s.mu.Unlock()
	u.worker.SetHandler(failing)
	time.Sleep(length / 2)
	u.worker.SetHandler(nil)
	u.cut()
}
