package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
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
// which it records what it runs, the file that lists the addresses of the hosts, and its seed.
const upstreamEnv = "BALSAMBARROW_SOAK_UPSTREAM"

const (
	// upstreamSlots is the number of requests that an upstream process runs at once, and upstreamQueue the number
	// that wait for a slot.
	upstreamSlots = 4
	upstreamQueue = 4
	// upstreamConnections is the number of connections that it accepts, and busyConnections the number while its queue
	// is full. It resets others.
	upstreamConnections = 40
	busyConnections     = 12
	// coldTime is how long it is slow after its start. It crashes if it gets more than coldRate requests in a second then.
	coldTime = time.Second
	coldRate = 100
	// drainTime is how long it serves after it has announced that it leaves.
	drainTime = 600 * time.Millisecond
	// successorMark is added to the instance of an upstream when another one takes over its address and its connections.
	successorMark = "+"
	// nestedID begins the IDs of requests that upstreams send to hosts.
	nestedID = "nested-"
	// responseEnd ends each body of an upstream process.
	responseEnd = " end"
)

// upstreamProcess is an upstream that runs as a process of its own, and is restarted at the same address.
type upstreamProcess struct {
	address, zone, runs, hosts string

	mu       sync.Mutex
	id       string
	starts   int
	sequence int
	state    string
	// foreign is set while the process belongs to another service.
	foreign bool
	cmd     *exec.Cmd
	exited  chan struct{}
}

func startUpstreamProcess(t *testing.T, dir string, number int, zone string) *upstreamProcess {
	u := &upstreamProcess{
		address: freeAddress(t), zone: zone, runs: filepath.Join(dir, fmt.Sprint("runs-", number)), hosts: filepath.Join(dir, hostsFile),
		id: fmt.Sprint("i-", number), state: "ready",
	}
	u.start(t)
	return u
}

// hostsFile lists the addresses at which hosts accept callers.
const hostsFile = "hosts"

// start starts the process. The caller holds mu, or is the only user.
func (u *upstreamProcess) start(t *testing.T) {
	u.starts++
	u.state, u.sequence = "ready", 0
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %s %s %s %d", upstreamEnv, u.address, u.id, u.runs, u.hosts, u.starts))
	cmd.Stderr = os.Stderr
	// The process ends with the one of the test, which closes the pipe.
	if _, err := cmd.StdinPipe(); err != nil {
		t.Error(err)
		return
	}
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

// replacement is what takes the place of an upstream at its address.
type replacement int

const (
	sameInstance replacement = iota
	otherInstance
	// otherService is an upstream of another service, whose requests it rejects.
	otherService
	replacements
)

// replace kills the process and starts the next one at its address.
func (u *upstreamProcess) replace(t *testing.T, store *standin.KVStore, by replacement) {
	u.signal(syscall.SIGCONT)
	u.signal(syscall.SIGKILL)
	u.restart(t, store, by)
}

// restart waits for the end of the process and starts the next one at its address.
func (u *upstreamProcess) restart(t *testing.T, store *standin.KVStore, by replacement) {
	u.mu.Lock()
	exited := u.exited
	u.mu.Unlock()
	<-exited
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.exited != exited {
		return // another goroutine has started the next one
	}
	old := u.id
	u.foreign = by == otherService
	if by != sameInstance {
		name, _, _ := strings.Cut(strings.TrimRight(u.id, successorMark), ".")
		u.id = fmt.Sprint(name, ".", u.starts)
		store.Delete("servers/" + old)
	}
	u.start(t)
	u.writeRegistration(store)
}

// leave makes the upstream stop as planned, announced by its registration or by the removal of it.
func (u *upstreamProcess) leave(t *testing.T, store *standin.KVStore, announced bool) {
	u.mu.Lock()
	u.state = "draining"
	id := u.id
	u.mu.Unlock()
	if announced {
		u.register(store)
	} else {
		store.Delete("servers/" + id)
	}
	u.signal(syscall.SIGTERM)
	u.restart(t, store, otherInstance)
}

// succeed puts another instance in the place of the upstream, which keeps its address and its connections.
func (u *upstreamProcess) succeed(store *standin.KVStore) {
	u.mu.Lock()
	old := u.id
	u.id += successorMark
	u.mu.Unlock()
	u.signal(syscall.SIGUSR1)
	store.Delete("servers/" + old)
	u.register(store)
}

// register writes the registration.
func (u *upstreamProcess) register(store *standin.KVStore) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.writeRegistration(store)
}

// writeRegistration writes the registration. The caller holds mu.
func (u *upstreamProcess) writeRegistration(store *standin.KVStore) {
	u.sequence++
	service := standin.Service
	if u.foreign {
		service = "other"
	}
	p := standin.PlatformUpstream{ID: u.id, Slots: upstreamSlots, StartedMs: firstStartMs + int64(u.starts)}
	store.Put("servers/"+u.id, p.RegistryEntry(service, u.address, u.zone, u.state, u.sequence))
}

// firstStartMs is the start time of the first process of an upstream.
const firstStartMs = 1_700_000_000_000

// supervise registers the upstream, and starts it again if it has crashed.
func (u *upstreamProcess) supervise(t *testing.T, store *standin.KVStore) {
	u.mu.Lock()
	exited, leaving := u.exited, u.state != "ready"
	u.mu.Unlock()
	if leaving {
		return
	}
	select {
	case <-exited:
		u.restart(t, store, sameInstance)
	default:
		u.register(store)
	}
}

func (u *upstreamProcess) close() {
	u.signal(syscall.SIGCONT)
	u.signal(syscall.SIGKILL)
	u.mu.Lock()
	exited := u.exited
	u.mu.Unlock()
	<-exited
}

// nestedRequests returns the requests that the upstream has sent to hosts.
func (u *upstreamProcess) nestedRequests(t *testing.T) []callerRequest {
	var out []callerRequest
	text, err := os.ReadFile(u.runs + nestedSuffix)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	for line := range strings.Lines(string(text)) {
		r := callerRequest{post: true, host: &daemonProcess{}}
		if _, err := fmt.Sscan(line, &r.id, &r.status, &r.host.name); err == nil {
			out = append(out, r)
		}
	}
	return out
}

// nestedSuffix is added to the name of the file of runs.
const nestedSuffix = "-nested"

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
	runs, nested *os.File
	hosts        string
	slots        chan struct{}
	queue        chan struct{}
	startedAt    time.Time

	mu       sync.Mutex
	instance string
	leaving  bool
	conns    int
	// coldRequests is the number of requests since the start.
	coldRequests int
	rng          *rand.Rand
	// lastID is the ID of the request that was answered last.
	lastID string
}

// serveAsUpstream runs an upstream until it is killed or stopped.
func serveAsUpstream(spec string) {
	var address, instance, file, hosts string
	var seed uint64
	if _, err := fmt.Sscan(spec, &address, &instance, &file, &hosts, &seed); err != nil {
		panic(err)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	s := &upstreamServer{
		instance: instance, runs: openForAppend(file), nested: openForAppend(file + nestedSuffix), hosts: hosts, startedAt: time.Now(),
		slots: make(chan struct{}, upstreamSlots), queue: make(chan struct{}, upstreamQueue+upstreamSlots),
		rng: rand.New(rand.NewPCG(seed, uint64(len(file)))),
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	go s.handleSignals()
	for {
		c, err := l.Accept()
		if err != nil {
			panic(err)
		}
		go s.serve(c)
	}
}

func openForAppend(name string) *os.File {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	return f
}

func (s *upstreamServer) handleSignals() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGUSR1)
	for sig := range signals {
		s.mu.Lock()
		if sig == syscall.SIGUSR1 {
			s.instance += successorMark
		} else {
			s.leaving = true
			time.AfterFunc(drainTime, func() { os.Exit(0) })
		}
		s.mu.Unlock()
	}
}

func (s *upstreamServer) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *upstreamServer) currentInstance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance
}

// connectionHeader announces the end of the connection while the upstream leaves, and now and then.
func (s *upstreamServer) connectionHeader() (header string, closes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.rng.IntN(50) == 0 {
		return "Connection: close\r\n", true
	}
	return "", false
}

// accepts counts a connection, and reports whether it is within the limit.
func (s *upstreamServer) accepts(change int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns += change
	return s.conns <= busyConnections || s.conns <= upstreamConnections && len(s.queue) < cap(s.queue)
}

func (s *upstreamServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	defer s.accepts(-1)
	if !s.accepts(1) {
		tcpreset.Enable(c)
		return
	}
	// late is a response that is sent again, ahead of the next one on the connection.
	late := ""
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, late); err != nil {
			return
		}
		late = ""
		if !s.respond(c, r, &late) {
			return
		}
	}
}

// reject answers a request that is not run, and reports whether the connection may be used again. Some
// rejections are sent twice.
func (s *upstreamServer) reject(c net.Conn, r *http.Request, status int, late *string) bool {
	connection, closes := s.connectionHeader()
	text := fmt.Sprintf("HTTP/1.1 %d x\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n%s\r\n", status, r.Header.Get("X-Request-Id"), connection)
	_, _ = io.WriteString(c, text)
	switch s.intN(9) {
	case 0:
		time.Sleep(time.Duration(s.intN(8)) * time.Millisecond)
		_, _ = io.WriteString(c, text)
	case 1, 2:
		*late = text
	}
	return !closes
}

// crowded reports whether the upstream gets more requests after its start than it can take.
func (s *upstreamServer) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldRequests++
	return time.Since(s.startedAt) < coldTime && s.coldRequests > coldRate
}

// respond answers a request, and reports whether the connection may be used again.
func (s *upstreamServer) respond(c net.Conn, r *http.Request, late *string) bool {
	if r.Header.Get("X-Request-Id") == "" {
		_, _ = io.Copy(io.Discard, r.Body)
		return s.reject(c, r, http.StatusBadRequest, late)
	}
	if r.Header.Get("X-Expected-Instance") != s.currentInstance() {
		_, _ = io.Copy(io.Discard, r.Body)
		return s.reject(c, r, http.StatusMisdirectedRequest, late)
	}
	if s.crowded() {
		os.Exit(1)
	}
	switch early := s.intN(100); {
	case early < 2:
		s.reject(c, r, http.StatusServiceUnavailable, late)
		return false
	case early < 4: // reads on
		kept := s.reject(c, r, http.StatusServiceUnavailable, late)
		_, err := io.Copy(io.Discard, r.Body)
		return kept && err == nil
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	select {
	case s.queue <- struct{}{}:
		defer func() { <-s.queue }()
	default:
		return s.reject(c, r, http.StatusServiceUnavailable, late)
	}
	limit, _ := strconv.Atoi(r.Header.Get(deadlineHeader))
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-time.After(time.Duration(limit) * time.Millisecond):
		return s.reject(c, r, http.StatusServiceUnavailable, late)
	}
	if s.intN(100) < 4 {
		return s.reject(c, r, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[s.intN(2)], late)
	}
	return s.run(c, r)
}

// run records and runs a request, and answers it in one of many ways.
func (s *upstreamServer) run(c net.Conn, r *http.Request) bool {
	id, how := r.Header.Get("X-Request-Id"), s.intN(100)
	if _, err := fmt.Fprintf(s.runs, "%s way=%d at=%s by=%s\n", id, how, time.Now().Format("05.000"), s.currentInstance()); err != nil {
		panic(err)
	}
	if s.intN(10) == 0 && !strings.HasPrefix(id, nestedID) {
		s.sendNested(id)
	}
	work := time.Duration(s.intN(30)) * time.Millisecond
	if time.Since(s.startedAt) < coldTime {
		work *= 2
	}
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

// sendNested sends a request to a host on behalf of a run of a request, and records the response. A request that may run
// twice sends two.
func (s *upstreamServer) sendNested(id string) {
	id = fmt.Sprint(nestedID, id, s.currentInstance(), "-", time.Now().UnixNano())
	text, err := os.ReadFile(s.hosts)
	addresses := strings.Fields(string(text))
	if err != nil || len(addresses) == 0 {
		return
	}
	limit := time.Duration(50+s.intN(300)) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit+500*time.Millisecond)
	defer cancel()
	address := addresses[s.intN(len(addresses))]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+standin.PostPath+"2", strings.NewReader("w"))
	if err != nil {
		panic(err)
	}
	r.Host, r.Close = standin.CallerHost, true
	r.Header = http.Header{"X-Request-Id": {id}, deadlineHeader: {fmt.Sprint(limit.Milliseconds())}, "Authorization": {"Bearer steady"}}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	if _, err := fmt.Fprintln(s.nested, id, resp.StatusCode, address); err != nil {
		panic(err)
	}
}

// ownRefusals is how many in a hundred requests an upstream answers with a status that promises that a request has not run,
// after it has run it.
const ownRefusals = 3

// response returns the head and the body of a response, with a length or in chunks.
func (s *upstreamServer) response(r *http.Request, status int) (head, body string) {
	id := r.Header.Get("X-Request-Id")
	text := s.currentInstance() + " ran " + id + strings.Repeat(".", s.intN(3000)) + responseEnd
	head = fmt.Sprintf("HTTP/1.1 %d x\r\nX-Request-Id: %s\r\nX-Response-Signature: signed\r\nKeep-Alive: timeout=3\r\nX-Server-Load: %d,0,%d\r\n",
		status, id, len(s.slots), upstreamSlots)
	if s.intN(2) == 0 {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text)), text
	}
	half := len(text) / 2
	return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, text[:half], len(text)-half, text[half:])
}
