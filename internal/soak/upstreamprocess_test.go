package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"balsambarrow/internal/standin"
	"balsambarrow/internal/tcpreset"
)

// upstreamEnv is set in the environment of a process that is an upstream: its address, its instance, the file in
// which it records what it runs, and its seed.
const upstreamEnv = "BALSAMBARROW_SOAK_UPSTREAM"

const (
	// upstreamSlots is the number of requests that an upstream process runs at once, and upstreamQueue the number
	// that wait for a slot.
	upstreamSlots = 4
	upstreamQueue = 4
	// responseEnd ends each body of an upstream process.
	responseEnd = " end"
)

// upstreamProcess is an upstream that runs as a process of its own, and is restarted at the same address.
type upstreamProcess struct {
	address, zone, runs string

	mu       sync.Mutex
	id       string
	starts   int
	sequence int
	cmd      *exec.Cmd
	exited   chan struct{}
}

func startUpstreamProcess(t *testing.T, dir string, number int, zone string) *upstreamProcess {
	u := &upstreamProcess{address: freeAddress(t), zone: zone, runs: filepath.Join(dir, fmt.Sprint("runs-", number)), id: fmt.Sprint("i-", number)}
	u.start(t)
	return u
}

func (u *upstreamProcess) start(t *testing.T) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.starts++
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %s %s %d", upstreamEnv, u.address, u.id, u.runs, u.starts))
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Error(err)
		return
	}
	u.cmd, u.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(u.exited)
}

func (u *upstreamProcess) signal(sig syscall.Signal) {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case <-u.exited:
	default:
		_ = u.cmd.Process.Signal(sig)
	}
}

// replace kills the process and starts the next one at its address, as the same instance or as another one.
func (u *upstreamProcess) replace(t *testing.T, store *standin.KVStore, sameInstance bool) {
	u.signal(syscall.SIGCONT)
	u.signal(syscall.SIGKILL)
	u.mu.Lock()
	exited, old := u.exited, u.id
	u.mu.Unlock()
	<-exited
	if !sameInstance {
		u.mu.Lock()
		name, _, _ := strings.Cut(u.id, ".")
		u.id = fmt.Sprint(name, ".", u.starts)
		u.mu.Unlock()
		store.Delete("servers/" + old)
	}
	u.start(t)
	u.register(store)
}

func (u *upstreamProcess) register(store *standin.KVStore) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	p := standin.PlatformUpstream{ID: u.id, Slots: upstreamSlots}
	store.Put("servers/"+u.id, p.RegistryEntry(standin.Service, u.address, u.zone, "ready", u.sequence))
}

func (u *upstreamProcess) close() {
	u.signal(syscall.SIGCONT)
	u.signal(syscall.SIGKILL)
	u.mu.Lock()
	exited := u.exited
	u.mu.Unlock()
	<-exited
}

// recordedRuns returns how often the upstream has begun to run each request, over all its processes.
func (u *upstreamProcess) recordedRuns(t *testing.T) map[string][]string {
	text, err := os.ReadFile(u.runs)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	out := map[string][]string{}
	for line := range strings.Lines(string(text)) {
		id, how, _ := strings.Cut(strings.TrimSpace(line), " ")
		out[id] = append(out[id], how)
	}
	return out
}

// upstreamServer is what an upstreamProcess runs.
type upstreamServer struct {
	instance string
	runs     *os.File
	slots    chan struct{}
	queue    chan struct{}

	mu  sync.Mutex
	rng *rand.Rand
	// lastID is the ID of the request that was answered last.
	lastID string
}

// serveAsUpstream runs an upstream until it is killed.
func serveAsUpstream(spec string) {
	var address, instance, file string
	var seed uint64
	if _, err := fmt.Sscan(spec, &address, &instance, &file, &seed); err != nil {
		panic(err)
	}
	runs, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	s := &upstreamServer{
		instance: instance, runs: runs, slots: make(chan struct{}, upstreamSlots), queue: make(chan struct{}, upstreamQueue+upstreamSlots),
		rng: rand.New(rand.NewPCG(seed, uint64(len(file)))),
	}
	for {
		c, err := l.Accept()
		if err != nil {
			panic(err)
		}
		go s.serve(c)
	}
}

func (s *upstreamServer) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *upstreamServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil || !s.respond(c, r) {
			return
		}
	}
}

// reject answers a request that is not run.
func (s *upstreamServer) reject(c net.Conn, r *http.Request, status int) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d x\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get("X-Request-Id"))
}

// respond answers a request, and reports whether the connection may be used again.
func (s *upstreamServer) respond(c net.Conn, r *http.Request) bool {
	if r.Header.Get("X-Expected-Instance") != s.instance {
		_, _ = io.Copy(io.Discard, r.Body)
		s.reject(c, r, http.StatusMisdirectedRequest)
		return true
	}
	if s.intN(100) < 2 {
		s.reject(c, r, http.StatusServiceUnavailable)
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	select {
	case s.queue <- struct{}{}:
		defer func() { <-s.queue }()
	default:
		s.reject(c, r, http.StatusServiceUnavailable)
		return true
	}
	limit, _ := strconv.Atoi(r.Header.Get(deadlineHeader))
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-time.After(time.Duration(limit) * time.Millisecond):
		s.reject(c, r, http.StatusServiceUnavailable)
		return true
	}
	if s.intN(100) < 4 {
		s.reject(c, r, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[s.intN(2)])
		return true
	}
	return s.run(c, r)
}

// run records and runs a request, and answers it in one of many ways.
func (s *upstreamServer) run(c net.Conn, r *http.Request) bool {
	id, how := r.Header.Get("X-Request-Id"), s.intN(100)
	if _, err := fmt.Fprintf(s.runs, "%s way=%d at=%s by=%s\n", id, how, time.Now().Format("05.000"), s.instance); err != nil {
		panic(err)
	}
	work := time.Duration(s.intN(30)) * time.Millisecond
	if s.intN(20) == 0 {
		work += time.Duration(s.intN(1500)) * time.Millisecond
	}
	time.Sleep(work)
	head, body := s.response(r, http.StatusOK)
	s.mu.Lock()
	last := s.lastID
	s.lastID = id
	s.mu.Unlock()
	switch {
	case how < 3: // closes without a response
		return false
	case how < 6: // resets
		tcpreset.Enable(c)
		return false
	case how < 10: // breaks off in the header
		_, _ = io.WriteString(c, head[:s.intN(len(head))])
		return false
	case how < 13: // breaks off in the body
		_, _ = io.WriteString(c, head+body[:s.intN(len(body))])
		if s.intN(2) == 0 {
			tcpreset.Enable(c)
		}
		return false
	case how < 16: // sends a second response, to an earlier request
		_, _ = io.WriteString(c, head+body)
		time.Sleep(time.Duration(s.intN(3)) * time.Millisecond)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 x\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", last)
		return true
	case how < 18: // sends bytes that are no response
		_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n"+head+body)
		return false
	case how < 20: // fails
		head, body = s.response(r, []int{http.StatusInternalServerError, http.StatusGatewayTimeout}[s.intN(2)])
	case how < 20+ownRefusals: // refuses what it has run
		head, body = s.response(r, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}[s.intN(3)])
	}
	_, err := io.WriteString(c, head+body)
	return err == nil
}

// ownRefusals is how many in a hundred requests an upstream answers with a status that promises that a request has not run,
// after it has run it.
const ownRefusals = 3

// response returns the head and the body of a response, with a length or in chunks.
func (s *upstreamServer) response(r *http.Request, status int) (head, body string) {
	id := r.Header.Get("X-Request-Id")
	text := s.instance + " ran " + id + strings.Repeat(".", s.intN(3000)) + responseEnd
	head = fmt.Sprintf("HTTP/1.1 %d x\r\nX-Request-Id: %s\r\nX-Response-Signature: signed\r\nKeep-Alive: timeout=3\r\nX-Server-Load: %d,0,%d\r\n",
		status, id, len(s.slots), upstreamSlots)
	if s.intN(2) == 0 {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text)), text
	}
	half := len(text) / 2
	return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, text[:half], len(text)-half, text[half:])
}
