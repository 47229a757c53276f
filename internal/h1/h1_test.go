package h1_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/h1"
)

// startUpstream starts an upstream that calls serve for each connection with the
// connection's number, and returns its address.
func startUpstream(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func(n int) {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}(n)
		}
	}()
	return l.Addr().String()
}

// readRequest reads a request including its body; nil on failure.
func readRequest(r *bufio.Reader) *http.Request {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, q.Body)
	return q
}

func newPool() *h1.Pool {
	return h1.NewPool((&net.Dialer{}).DialContext, time.Now)
}

func request(id string) *h1.Request {
	return &h1.Request{
		Method: "GET", Target: "/x?y=%20", Host: "a.example", Header: http.Header{"Id": {id}},
		Matches: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

func responseTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// send sends a request and reads the complete response.
func send(t *testing.T, p *h1.Pool, address string, r *h1.Request) (string, error) {
	resp, err := p.Send(testContext(t), address, r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp)
	resp.Close(10 * time.Second)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	g := NewWithT(t)
	var conns atomic.Int32
	address := startUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		conns.Store(int32(n) + 1)
		for q := readRequest(r); q != nil; q = readRequest(r) {
			_, _ = io.WriteString(c, responseTo(q.Header.Get("Id"), "hello"))
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2", "3"} {
		body, err := send(t, p, address, request(id))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("hello"))
	}
	g.Expect(conns.Load()).To(Equal(int32(1)))
}

// An upstream reads a request, such as a payment, and closes the connection without
// a response. The client must not send the request again, since it might run twice,
// and must not report it as unsent.
func TestCloseAfterRequestIsNoResponseError(t *testing.T) {
	g := NewWithT(t)
	seen := make(chan string, 4)
	address := startUpstream(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if q := readRequest(r); q != nil {
			seen <- q.Header.Get("Id")
		}
	})
	_, err := send(t, newPool(), address, request("1"))
	var noResponse *h1.NoResponseError
	g.Expect(errors.As(err, &noResponse)).To(BeTrue(), "%v", err)
	g.Expect(<-seen).To(Equal("1"))
	g.Consistently(seen, "50ms").ShouldNot(Receive())
}

// An upstream closes an idle connection, and the close has arrived. The next request
// must use a new connection, so that its outcome is known.
func TestConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{}, 4)
	address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if q := readRequest(r); q != nil {
			_, _ = io.WriteString(c, responseTo(q.Header.Get("Id"), "a"))
		}
		_ = c.Close()
		closed <- struct{}{}
	})
	p := newPool()
	for _, id := range []string{"1", "2"} {
		_, err := send(t, p, address, request(id))
		g.Expect(err).NotTo(HaveOccurred())
		<-closed
	}
}

// An upstream sends a second response to an earlier request, either immediately or
// ahead of the next response. The caller of the next request must not receive it.
func TestResponsesToOtherRequestsAreSkipped(t *testing.T) {
	for name, respond := range map[string]func(c net.Conn, id string){
		"immediately after the response": func(c net.Conn, id string) {
			_, _ = io.WriteString(c, responseTo(id, "own")+responseTo(id, "again"))
		},
		"ahead of the next response": func(c net.Conn, id string) {
			if id == "1" {
				_, _ = io.WriteString(c, responseTo(id, "own"))
				return
			}
			_, _ = io.WriteString(c, responseTo("1", "again")+responseTo(id, "own"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for q := readRequest(r); q != nil; q = readRequest(r) {
					respond(c, q.Header.Get("Id"))
				}
			})
			p := newPool()
			for _, id := range []string{"1", "2"} {
				body, err := send(t, p, address, request(id))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("own"))
			}
		})
	}
}

// A truncated or malformed response must result in an error, with either framing of
// the body.
func TestInvalidResponses(t *testing.T) {
	for name, response := range map[string]string{
		"truncated body with a length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 50\r\n\r\nhalf",
		"truncated chunked body":       "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"truncated header":             "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Le",
		"not HTTP":                     "\x16\x03\x01 nonsense\r\n\r\n",
		"response to another request":  responseTo("9", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, response)
			})
			_, err := send(t, newPool(), address, request("1"))
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

// A response without a length ends when the upstream closes the connection. If the
// connection is reset instead, the response is incomplete and must result in an error.
func TestResponseWithoutLength(t *testing.T) {
	g := NewWithT(t)
	address := startUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it")
		if n == 1 {
			g.Expect(c.(*net.TCPConn).SetLinger(0)).To(Succeed())
			time.Sleep(20 * time.Millisecond)
		}
	})
	body, err := send(t, newPool(), address, request("1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("all of it"))
	_, err = send(t, newPool(), address, request("1"))
	g.Expect(err).To(HaveOccurred())
}

// An upstream refuses a request with a long body before it has read the body, and
// continues to read. If the connection were reused, the upstream would take the next
// request for the rest of that body.
func TestNoReuseAfterEarlyResponse(t *testing.T) {
	g := NewWithT(t)
	second := make(chan int, 1)
	address := startUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, responseTo(q.Header.Get("Id"), "no"))
		if n > 0 {
			second <- n
			return
		}
		time.Sleep(100 * time.Millisecond)
	})
	p := newPool()
	long := request("1")
	long.Method = "POST"
	long.Body, long.Length = bytes.NewReader(make([]byte, 16<<20)), 16<<20
	body, err := send(t, p, address, long)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("no"))
	_, err = send(t, p, address, request("2"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-second).To(Equal(1))
}

func TestRequestBodies(t *testing.T) {
	for name, length := range map[string]int64{"with a length": 5000, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := make(chan string, 1)
			address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(q.Body)
				got <- q.RequestURI + " " + string(body)
				_, _ = io.WriteString(c, responseTo("1", "ok"))
			})
			q := request("1")
			sent := strings.Repeat("a", 5000)
			q.Method, q.Body, q.Length = "POST", strings.NewReader(sent), length
			_, err := send(t, newPool(), address, q)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(<-got).To(Equal("/x?y=%20 " + sent))
		})
	}
}

// The caller disconnects, which cancels the context. The upstream must see its
// connection close, so that it stops its work.
func TestCancelClosesUpstreamConnection(t *testing.T) {
	g := NewWithT(t)
	started, closed := make(chan struct{}), make(chan error, 1)
	address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(started)
		_, err := c.Read(make([]byte, 1))
		closed <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err := newPool().Send(ctx, address, request("1"))
	g.Expect(err).To(HaveOccurred())
	g.Eventually(closed, "5s").Should(Receive(HaveOccurred()))
}

// The connection is refused. The error must state that nothing was sent.
func TestRefusedConnectionIsUnsentError(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	_, err = send(t, newPool(), address, request("1"))
	var unsent *h1.UnsentError
	g.Expect(errors.As(err, &unsent)).To(BeTrue(), "%v", err)
	g.Expect(unsent.DialFailed).To(BeTrue())
}

// ConnectTime serves as an estimate of the round-trip time to the upstream. It must
// be set only in the first response on a connection.
func TestConnectTimeOfNewConnections(t *testing.T) {
	g := NewWithT(t)
	address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for q := readRequest(r); q != nil; q = readRequest(r) {
			_, _ = io.WriteString(c, responseTo(q.Header.Get("Id"), "hello"))
		}
	})
	p := newPool()
	for i, id := range []string{"1", "2", "3"} {
		resp, err := p.Send(testContext(t), address, request(id))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.ConnectTime > 0).To(Equal(i == 0), "request %s", id)
		_, err = io.ReadAll(resp)
		g.Expect(err).NotTo(HaveOccurred())
		resp.Close(10 * time.Second)
	}
}

// fakeClock is a clock that only advance moves.
type fakeClock struct{ at atomic.Int64 }

func (c *fakeClock) now() time.Time          { return time.Unix(1000, c.at.Load()) }
func (c *fakeClock) advance(d time.Duration) { c.at.Add(int64(d)) }
func (c *fakeClock) pool() *h1.Pool          { return h1.NewPool((&net.Dialer{}).DialContext, c.now) }
func nonIdempotent(id string) *h1.Request    { r := request(id); r.NonIdempotent = true; return r }
func failed(_ string, err error) bool        { return err != nil }
func succeeded(body string, err error) bool  { return err == nil && body == "ok" }

// startDroppingUpstream starts an upstream that answers the first request of each
// connection and resets the connection at the second one, after a call of
// beforeReset. It stores the number of connections in conns.
func startDroppingUpstream(t *testing.T, conns *atomic.Int32, beforeReset func()) string {
	return startUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		conns.Store(int32(n) + 1)
		if q := readRequest(r); q != nil {
			_, _ = io.WriteString(c, responseTo(q.Header.Get("Id"), "ok"))
		}
		if readRequest(r) != nil {
			beforeReset()
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

// startKeepAliveUpstream starts an upstream that answers every request. It stores
// the number of connections in conns.
func startKeepAliveUpstream(t *testing.T, conns *atomic.Int32) string {
	return startUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		conns.Store(int32(n) + 1)
		for q := readRequest(r); q != nil; q = readRequest(r) {
			_, _ = io.WriteString(c, responseTo(q.Header.Get("Id"), "ok"))
		}
	})
}

// Postings go to an upstream in another region every few seconds. The upstream
// announces that it keeps connections for ten seconds. If each posting opened a new
// connection, its response would be late by one round trip.
func TestPostingsReuseIdleConnections(t *testing.T) {
	g := NewWithT(t)
	var conns atomic.Int32
	address, clock := startKeepAliveUpstream(t, &conns), &fakeClock{}
	p := clock.pool()
	for _, id := range []string{"1", "2", "3"} {
		g.Expect(succeeded(send(t, p, address, nonIdempotent(id)))).To(BeTrue())
		clock.advance(4 * time.Second)
	}
	g.Expect(conns.Load()).To(Equal(int32(1)))
	clock.advance(4 * time.Second)
	g.Expect(succeeded(send(t, p, address, nonIdempotent("4")))).To(BeTrue())
	g.Expect(conns.Load()).To(Equal(int32(2)), "an idle time of eight seconds is too close to the idle timeout")
	var running [2]*h1.Response
	for i := range running {
		var err error
		running[i], err = p.Send(testContext(t), address, request("5"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(conns.Load()).To(Equal(int32(2)), "reads use both connections")
}

// Two upstreams drop connections that were idle for a second, and reset the lookups
// sent on them. For limitTTL, postings must not use connections, to any upstream,
// that were idle for long enough to have been dropped.
func TestPostingsAvoidDroppedConnections(t *testing.T) {
	g := NewWithT(t)
	var droppingConns, conns atomic.Int32
	clock := &fakeClock{}
	dropping := []string{startDroppingUpstream(t, &droppingConns, func() {}), startDroppingUpstream(t, &droppingConns, func() {})}
	healthy, p := startKeepAliveUpstream(t, &conns), clock.pool()
	for _, address := range append(dropping, healthy) {
		g.Expect(succeeded(send(t, p, address, request("1")))).To(BeTrue())
	}
	clock.advance(time.Second)
	for _, address := range dropping {
		g.Expect(failed(send(t, p, address, request("2")))).To(BeTrue())
	}
	g.Expect(succeeded(send(t, p, healthy, nonIdempotent("3")))).To(BeTrue())
	g.Expect(conns.Load()).To(Equal(int32(2)), "the connection that was idle for a second is not reused")
	clock.advance(200 * time.Millisecond)
	g.Expect(succeeded(send(t, p, healthy, nonIdempotent("4")))).To(BeTrue())
	g.Expect(conns.Load()).To(Equal(int32(2)), "a connection that was idle for a fifth of that is reused")
	clock.advance(time.Minute)
	g.Expect(succeeded(send(t, p, healthy, nonIdempotent("5")))).To(BeTrue())
	clock.advance(time.Second)
	g.Expect(succeeded(send(t, p, healthy, nonIdempotent("6")))).To(BeTrue())
	g.Expect(conns.Load()).To(Equal(int32(3)), "the limit has expired after a minute")
}

// Guards against postings that open new connections long after the host's own links, not the
// upstreams, have reset connections.
func TestForgottenResetsDoNotLimitIdleTime(t *testing.T) {
	g := NewWithT(t)
	var droppingConns, conns atomic.Int32
	clock := &fakeClock{}
	healthy, p := startKeepAliveUpstream(t, &conns), clock.pool()
	g.Expect(succeeded(send(t, p, healthy, nonIdempotent("1")))).To(BeTrue())
	for range 2 {
		dropping := startDroppingUpstream(t, &droppingConns, func() {})
		g.Expect(succeeded(send(t, p, dropping, request("2")))).To(BeTrue())
		clock.advance(time.Second)
		g.Expect(failed(send(t, p, dropping, request("3")))).To(BeTrue())
	}
	p.ForgetResets()
	g.Expect(succeeded(send(t, p, healthy, nonIdempotent("4")))).To(BeTrue())
	g.Expect(conns.Load()).To(Equal(int32(1)))
}

// One upstream drops its connections because it has restarted. Only postings to this
// upstream must use new connections; those to others reuse idle connections.
func TestOneDroppingUpstreamDoesNotAffectOthers(t *testing.T) {
	g := NewWithT(t)
	var droppingConns, conns atomic.Int32
	clock := &fakeClock{}
	dropping, healthy, p := startDroppingUpstream(t, &droppingConns, func() {}), startKeepAliveUpstream(t, &conns), clock.pool()
	g.Expect(succeeded(send(t, p, dropping, request("1")))).To(BeTrue())
	g.Expect(succeeded(send(t, p, healthy, nonIdempotent("2")))).To(BeTrue())
	clock.advance(time.Second)
	g.Expect(failed(send(t, p, dropping, request("3")))).To(BeTrue())
	g.Expect(succeeded(send(t, p, dropping, request("4")))).To(BeTrue())
	clock.advance(time.Second)
	g.Expect(succeeded(send(t, p, dropping, nonIdempotent("5")))).To(BeTrue())
	g.Expect(droppingConns.Load()).To(Equal(int32(3)))
	g.Expect(succeeded(send(t, p, healthy, nonIdempotent("6")))).To(BeTrue())
	g.Expect(conns.Load()).To(Equal(int32(1)))
}

// Upstreams lose responses: they reset connections after they have processed the
// request, or immediately but also on busy connections. Such resets must not limit
// the idle time of connections.
func TestLostResponsesDoNotLimitIdleTime(t *testing.T) {
	for name, c := range map[string]struct {
		processing time.Duration
		// idleTimes of the connections that are reset, one upstream each.
		idleTimes []time.Duration
	}{
		"after processing":               {50 * time.Millisecond, []time.Duration{time.Second, time.Second}},
		"immediately, also on busy ones": {0, []time.Duration{10 * time.Millisecond, time.Second, time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var droppingConns, conns atomic.Int32
			clock := &fakeClock{}
			healthy, p := startKeepAliveUpstream(t, &conns), clock.pool()
			g.Expect(succeeded(send(t, p, healthy, nonIdempotent("1")))).To(BeTrue())
			for _, idleTime := range c.idleTimes {
				dropping := startDroppingUpstream(t, &droppingConns, func() { clock.advance(c.processing) })
				g.Expect(succeeded(send(t, p, dropping, request("2")))).To(BeTrue())
				clock.advance(idleTime)
				g.Expect(failed(send(t, p, dropping, request("3")))).To(BeTrue())
			}
			g.Expect(succeeded(send(t, p, healthy, nonIdempotent("4")))).To(BeTrue())
			g.Expect(conns.Load()).To(Equal(int32(1)))
		})
	}
}
