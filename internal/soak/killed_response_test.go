package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"balsambarrow/internal/standin"
)

// Guards against a response that looks whole to callers of HTTP/1.0 although its host was killed in the middle of it.
func TestResponseOfAKilledHostDoesNotLookWhole(t *testing.T) {
	c := &cluster{t: t, reporter: t, binary: daemonBinary(t), dir: t.TempDir(), store: standin.NewKVStore(), version: 1}
	c.server = httptest.NewServer(c.store)
	defer c.close()
	c.writeConfig()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go serveEndlessly(l)
	u := standin.PlatformUpstream{ID: "i-0", Slots: upstreamSlots}
	c.store.Put("servers/i-0", u.RegistryEntry(standin.Service, l.Addr().String(), "a1", "ready", 1))
	c.addProcess("h0", hostConfig{zone: "a1"})
	h := c.processes[0]
	for _, version := range []string{"1.0", "1.1"} {
		t.Run(version, func(t *testing.T) {
			body := awaitEndlessResponse(t, h, version)
			defer func() { _ = body.Close() }()
			if _, err := io.CopyN(io.Discard, body, 2<<20); err != nil {
				t.Fatal(err)
			}
			h.signal(syscall.SIGKILL)
			if _, err := io.Copy(io.Discard, body); err == nil {
				t.Error("the caller takes the response for a whole one")
			}
			c.restart(h)
		})
	}
}

// serveEndlessly answers each request with a response without a length that does not end.
func serveEndlessly(l net.Listener) {
	chunk := []byte(strings.Repeat("x", 32<<10))
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 x\r\nX-Request-Id: %s\r\nX-Response-Signature: signed\r\nConnection: close\r\n\r\n", r.Header.Get("X-Request-Id"))
			for err == nil {
				_, err = c.Write(chunk)
				time.Sleep(time.Millisecond)
			}
		}()
	}
}

// awaitEndlessResponse sends reads until the host has begun to forward a response, and returns its body.
func awaitEndlessResponse(t *testing.T, h *daemonProcess, version string) io.ReadCloser {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		conn, err := net.Dial("tcp", h.callerAddress)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = fmt.Fprintf(conn, "GET %s1 HTTP/%s\r\nHost: %s\r\nX-Request-Id: r\r\n%s: 2000\r\nAuthorization: Bearer steady\r\n\r\n", standin.ReadPath, version, standin.CallerHost, deadlineHeader)
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && resp.StatusCode == http.StatusOK {
			return resp.Body
		}
		_ = conn.Close()
	}
	t.Fatal("the host did not begin a response")
	return nil
}
