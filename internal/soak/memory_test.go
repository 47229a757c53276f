package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"balsambarrow/internal/standin"
)

const (
	slowUploadBytes = 250_000
	// slowUploadStart is what a slow caller sends of its body at once.
	slowUploadStart   = 150_000
	slowResponseBytes = 900_000
	// slowStep is what a slow caller sends or reads every slowPause.
	slowStep  = 2 << 10
	slowPause = 250 * time.Millisecond
)

// Guards against a host that is killed because slow callers make it hold more than its memory: they
// upload and read slowly, and a usual caller must be served meanwhile.
func TestSlowCallersDoNotExhaustMemory(t *testing.T) {
	runSlowCallers(t, 200, 48, 5*time.Second)
}

// As above, with the callers of a bad day on the smallest host.
func TestMeasureSlowCallersOnSmallHost(t *testing.T) {
	if os.Getenv("BALSAM_MEASURE") != "1" {
		t.Skip("set BALSAM_MEASURE=1 to measure")
	}
	runSlowCallers(t, 2000, 136, 20*time.Second)
}

func runSlowCallers(t *testing.T, callers, memoryMB int, span time.Duration) {
	c := newCluster(t, daemonBinary(t), nil, false)
	defer c.close()
	c.allowSlowCallers()
	h := c.addSmallHost(memoryMB)
	s := &slowCallers{address: h.callerAddress, stop: make(chan struct{}), statuses: map[int]int{}, notRun: map[string]bool{}}
	var tasks sync.WaitGroup
	for i := range callers {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			s.run(fmt.Sprint("slow-", i), i%2 == 0)
		}()
	}
	checkUsualCaller(t, h, memoryMB, span)
	close(s.stop)
	tasks.Wait()
	t.Logf("%d slow callers: statuses %v, %d complete, %d cut", callers, s.statuses, s.complete.Load(), s.cut.Load())
	for _, u := range c.upstreams {
		for _, run := range u.standIn.Runs() {
			if s.notRun[run.ID] {
				t.Errorf("%s ran although its caller was told that it did not", run.ID)
			}
		}
	}
	if wrong := s.wrong.Load(); wrong != nil {
		t.Error(*wrong)
	}
}

// addSmallHost adds a host with little memory, and waits until it serves callers.
func (c *cluster) addSmallHost(memoryMB int) *daemonProcess {
	c.addProcess("h0", hostConfig{zone: "a1"})
	h := c.processes[0]
	h.signal(9)
	h.awaitExit()
	limitMemory(c.t, h.settingsFile, memoryMB)
	c.startProcess(h)
	c.awaitServing()
	return h
}

// checkUsualCaller sends requests as a usual caller does, and checks that they are served and that the host
// has stayed within its memory.
func checkUsualCaller(t *testing.T, h *daemonProcess, memoryMB int, span time.Duration) {
	served, asked := 0, 0
	for end := time.Now().Add(span); time.Now().Before(end); asked++ {
		if status, _ := get(h.callerAddress, fmt.Sprint("usual-", asked), "/read/1"); status == http.StatusOK {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	peak := peakMemoryMB(t, h)
	t.Logf("%d MB: peak %.1f MB, usual caller served %d of %d", memoryMB, peak, served, asked)
	if peak > float64(memoryMB) {
		t.Errorf("the process has used %.1f MB of %d", peak, memoryMB)
	}
	if served < asked*9/10 {
		t.Errorf("a usual caller was served %d of %d times", served, asked)
	}
}

// allowSlowCallers makes the upstreams return long responses, have room for all callers, and gives
// callers much time.
func (c *cluster) allowSlowCallers() {
	c.version++
	config := standin.PlatformConfig{Version: c.version, Keys: []string{"steady"}}.Encode()
	c.store.Put("op/config", bytes.ReplaceAll(config, []byte("2000ms"), []byte("30000ms")))
	long := make([]byte, slowResponseBytes)
	for _, u := range c.upstreams {
		entry := u.standIn.RegistryEntry(standin.Service, u.server.Listener.Addr().String(), u.zone, "ready", 100)
		c.store.Put("servers/"+u.standIn.ID, bytes.Replace(entry, []byte(`"slots":4`), []byte(`"slots":1000`), 1))
		u.standIn.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Response-Signature", "signed")
			if r.URL.Path == standin.ReadPath+"long" {
				// A write fails only if the host has closed the connection.
				_, _ = w.Write(long)
			}
		})
	}
}

// limitMemory adds the memory of the host to a settings file.
func limitMemory(t *testing.T, file string, memoryMB int) {
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	settings := map[string]any{}
	if err := json.Unmarshal(text, &settings); err != nil {
		t.Fatal(err)
	}
	settings["capacity"] = map[string]any{"memory_mb": memoryMB, "descriptors": 8192}
	if text, err = json.Marshal(settings); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// peakMemoryMB returns the largest resident memory that the process of a host has had.
func peakMemoryMB(t *testing.T, h *daemonProcess) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				t.Fatal(err)
			}
			return float64(kb) / 1024
		}
	}
	t.Fatal("no VmHWM: the process has ended")
	return 0
}

// slowCallers are callers that send and read slowly until stop is closed.
type slowCallers struct {
	address string
	stop    chan struct{}
	// complete and cut count responses with and without their end. wrong is the first response that
	// cannot be true.
	complete, cut atomic.Int64
	wrong         atomic.Pointer[string]

	mu       sync.Mutex
	statuses map[int]int
	// notRun holds the requests that were answered with a status that denies that they have run.
	notRun map[string]bool
}

// run sends requests on new connections, one after another.
func (s *slowCallers) run(name string, uploads bool) {
	for n := 0; !sleepUntil(s.stop, slowPause); n++ {
		id := fmt.Sprint(name, "-", n)
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			continue
		}
		if uploads {
			s.upload(conn, id)
		} else {
			s.download(conn, id)
		}
		_ = conn.Close()
	}
}

func head(method, path, id string, more string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + standin.CallerHost + "\r\nX-Request-Id: " + id +
		"\r\nAuthorization: Bearer steady\r\nX-Deadline-Ms: 30000\r\n" + more + "\r\n"
}

// upload sends a body slowly, and reads the response as soon as there is one.
func (s *slowCallers) upload(conn net.Conn, id string) {
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		s.record(id, resp.StatusCode)
	}()
	_, _ = io.WriteString(conn, head(http.MethodPost, standin.PostPath+"1", id, fmt.Sprintf("Content-Length: %d\r\n", slowUploadBytes)))
	part := make([]byte, slowUploadStart)
	_, _ = conn.Write(part)
	for sent := slowUploadStart; sent < slowUploadBytes; sent += slowStep {
		select {
		case <-answered:
			return
		case <-s.stop:
			_ = conn.Close()
			<-answered
			return
		case <-time.After(slowPause):
		}
		if _, err := conn.Write(part[:min(slowStep, slowUploadBytes-sent)]); err != nil {
			break
		}
	}
	<-answered
}

// download reads a long response slowly.
func (s *slowCallers) download(conn net.Conn, id string) {
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = io.WriteString(conn, head(http.MethodGet, standin.ReadPath+"long", id, ""))
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, slowStep), nil)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	s.record(id, resp.StatusCode)
	total := 0
	for part := make([]byte, slowStep); !sleepUntil(s.stop, slowPause); {
		n, err := resp.Body.Read(part)
		total += n
		switch {
		case err == io.EOF && resp.StatusCode == http.StatusOK && total < slowResponseBytes:
			wrong := fmt.Sprintf("%s: %d bytes look complete", id, total)
			s.wrong.Store(&wrong)
			return
		case err == io.EOF:
			s.complete.Add(1)
			return
		case err != nil:
			s.cut.Add(1)
			return
		}
	}
}

func (s *slowCallers) record(id string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[status]++
	if status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusTooManyRequests {
		s.notRun[id] = true
	}
}

// get sends one request as a usual caller does.
func get(address, id, path string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(conn, head(http.MethodGet, path, id, "Connection: close\r\n")); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}
