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

// upstream accepts connections and hands each to script with its number.
func upstream(t *testing.T, script func(n int, c net.Conn, r *bufio.Reader)) string {
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
				script(n, c, bufio.NewReader(c))
			}(n)
		}
	}()
	return l.Addr().String()
}

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

func answerTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func bounded(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// send sends and reads the whole answer.
func send(t *testing.T, p *h1.Pool, address string, r *h1.Request) (string, error) {
	reply, err := p.Send(bounded(t), address, r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(reply)
	reply.Close(10 * time.Second)
	return string(body), err
}

func TestConnectionIsKept(t *testing.T) {
	g := NewWithT(t)
	var conns atomic.Int32
	address := upstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		conns.Store(int32(n) + 1)
		for q := readRequest(r); q != nil; q = readRequest(r) {
			_, _ = io.WriteString(c, answerTo(q.Header.Get("Id"), "hello"))
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

// A parent's top-up would be credited twice: an upstream reads the request and
// closes the connection without an answer. The client must not send it again,
// and must not say that it was not sent.
func TestClosedAfterTheRequestIsLost(t *testing.T) {
	g := NewWithT(t)
	seen := make(chan string, 4)
	address := upstream(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if q := readRequest(r); q != nil {
			seen <- q.Header.Get("Id")
		}
	})
	_, err := send(t, newPool(), address, request("1"))
	var lost *h1.NoResponseError
	g.Expect(errors.As(err, &lost)).To(BeTrue(), "%v", err)
	g.Expect(<-seen).To(Equal("1"))
	g.Consistently(seen, "50ms").ShouldNot(Receive())
}

// An upstream closes an idle connection. The close has arrived, so the next
// request must use a new one, and its outcome must not be in doubt.
func TestClosedWhileIdle(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{}, 4)
	address := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if q := readRequest(r); q != nil {
			_, _ = io.WriteString(c, answerTo(q.Header.Get("Id"), "a"))
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

// A lookup gets the answer of another animal: an upstream sends a second answer
// to an earlier request, at once or late, where the next answer is due.
func TestAnswersToOtherRequests(t *testing.T) {
	for name, script := range map[string]func(c net.Conn, id string){
		"right behind the answer": func(c net.Conn, id string) {
			_, _ = io.WriteString(c, answerTo(id, "own")+answerTo(id, "again"))
		},
		"in front of the next answer": func(c net.Conn, id string) {
			if id == "1" {
				_, _ = io.WriteString(c, answerTo(id, "own"))
				return
			}
			_, _ = io.WriteString(c, answerTo("1", "again")+answerTo(id, "own"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for q := readRequest(r); q != nil; q = readRequest(r) {
					script(c, q.Header.Get("Id"))
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

// An answer that ends early must not look whole, however it is framed.
func TestBrokenAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"length, cut short":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 50\r\n\r\nhalf",
		"chunks, cut short":  "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"header, cut short":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Le",
		"bytes of no answer": "\x16\x03\x01 nonsense\r\n\r\n",
		"another's answer":   answerTo("9", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			address := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(c, answer)
			})
			_, err := send(t, newPool(), address, request("1"))
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

// An answer without a length ends with its connection. If that is reset on the
// way, the answer is not whole.
func TestAnswerWithoutLength(t *testing.T) {
	g := NewWithT(t)
	address := upstream(t, func(n int, c net.Conn, r *bufio.Reader) {
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

// An upstream refuses a long request before it has read it, and goes on reading.
// Were the connection used again, the next request would be read as the rest of
// that body.
func TestAnswerBeforeTheBodyWasRead(t *testing.T) {
	g := NewWithT(t)
	second := make(chan int, 1)
	address := upstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answerTo(q.Header.Get("Id"), "no"))
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

func TestBodies(t *testing.T) {
	for name, length := range map[string]int64{"with a length": 5000, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := make(chan string, 1)
			address := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(q.Body)
				got <- q.RequestURI + " " + string(body)
				_, _ = io.WriteString(c, answerTo("1", "ok"))
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

// The caller has left: the upstream must see its connection close, so that it
// stops its work.
func TestCancelReachesTheUpstream(t *testing.T) {
	g := NewWithT(t)
	started, gone := make(chan struct{}), make(chan error, 1)
	address := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		close(started)
		_, err := c.Read(make([]byte, 1))
		gone <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err := newPool().Send(ctx, address, request("1"))
	g.Expect(err).To(HaveOccurred())
	g.Eventually(gone, "5s").Should(Receive(HaveOccurred()))
}

// Nobody listens: nothing was sent, which the error must say.
func TestNobodyListens(t *testing.T) {
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

// How long a connection took is told with the first answer on it: it says how far
// the upstream is, and later answers must not be taken for such.
func TestNewConnectionsAreTold(t *testing.T) {
	g := NewWithT(t)
	address := upstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for q := readRequest(r); q != nil; q = readRequest(r) {
			_, _ = io.WriteString(c, answerTo(q.Header.Get("Id"), "hello"))
		}
	})
	p := newPool()
	for i, id := range []string{"1", "2", "3"} {
		reply, err := p.Send(bounded(t), address, request(id))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.ConnectTime > 0).To(Equal(i == 0), "request %s", id)
		_, err = io.ReadAll(reply)
		g.Expect(err).NotTo(HaveOccurred())
		reply.Close(10 * time.Second)
	}
}

// moved is a clock that a test moves by hand.
type moved struct{ at atomic.Int64 }

func (m *moved) now() time.Time            { return time.Unix(1000, m.at.Load()) }
func (m *moved) advance(d time.Duration)   { m.at.Add(int64(d)) }
func (m *moved) pool() *h1.Pool            { return h1.NewPool((&net.Dialer{}).DialContext, m.now) }
func once(id string) *h1.Request           { r := request(id); r.NonIdempotent = true; return r }
func fails(_ string, err error) bool       { return err != nil }
func succeeds(body string, err error) bool { return err == nil && body == "ok" }

// forgetful answers the first request of each connection and resets it at the
// second, after the work that before does.
func forgetful(t *testing.T, conns *atomic.Int32, before func()) string {
	return upstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		conns.Store(int32(n) + 1)
		if q := readRequest(r); q != nil {
			_, _ = io.WriteString(c, answerTo(q.Header.Get("Id"), "ok"))
		}
		if readRequest(r) != nil {
			before()
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

func faithful(t *testing.T, conns *atomic.Int32) string {
	return upstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		conns.Store(int32(n) + 1)
		for q := readRequest(r); q != nil; q = readRequest(r) {
			_, _ = io.WriteString(c, answerTo(q.Header.Get("Id"), "ok"))
		}
	})
}

// Parents top up at an upstream of another region every few seconds. Each time a
// new connection was made, which took as long as the way there and back, and the
// answer was late by that; the upstream keeps connections for ten seconds and says
// so.
func TestPostingsUseKeptConnections(t *testing.T) {
	g := NewWithT(t)
	var conns atomic.Int32
	address, clock := faithful(t, &conns), &moved{}
	p := clock.pool()
	for _, id := range []string{"1", "2", "3"} {
		g.Expect(succeeds(send(t, p, address, once(id)))).To(BeTrue())
		clock.advance(4 * time.Second)
	}
	g.Expect(conns.Load()).To(Equal(int32(1)))
	clock.advance(4 * time.Second)
	g.Expect(succeeds(send(t, p, address, once("4")))).To(BeTrue())
	g.Expect(conns.Load()).To(Equal(int32(2)), "eight seconds are too close to its close")
	var running [2]*h1.Response
	for i := range running {
		var err error
		running[i], err = p.Send(bounded(t), address, request("5"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(conns.Load()).To(Equal(int32(2)), "reads use both")
}

// Upstreams forget connections that rested for a second. Two lookups are reset and
// asked again; the postings after them must not meet forgotten connections, at any
// upstream, until a while has passed.
func TestPostingsAvoidForgottenConnections(t *testing.T) {
	g := NewWithT(t)
	var badConns, conns atomic.Int32
	clock := &moved{}
	bad := []string{forgetful(t, &badConns, func() {}), forgetful(t, &badConns, func() {})}
	good, p := faithful(t, &conns), clock.pool()
	for _, address := range append(bad, good) {
		g.Expect(succeeds(send(t, p, address, request("1")))).To(BeTrue())
	}
	clock.advance(time.Second)
	for _, address := range bad {
		g.Expect(fails(send(t, p, address, request("2")))).To(BeTrue())
	}
	g.Expect(succeeds(send(t, p, good, once("3")))).To(BeTrue())
	g.Expect(conns.Load()).To(Equal(int32(2)), "the connection that rested is not used")
	clock.advance(200 * time.Millisecond)
	g.Expect(succeeds(send(t, p, good, once("4")))).To(BeTrue())
	g.Expect(conns.Load()).To(Equal(int32(2)), "one that rested for a fifth of it is")
	clock.advance(time.Minute)
	g.Expect(succeeds(send(t, p, good, once("5")))).To(BeTrue())
	clock.advance(time.Second)
	g.Expect(succeeds(send(t, p, good, once("6")))).To(BeTrue())
	g.Expect(conns.Load()).To(Equal(int32(3)), "after a minute it is forgotten itself")
}

// One upstream drops its connections, because it has started again. Postings to it
// go on new connections, and those to the others on the ones that are there.
func TestOneForgetfulUpstreamIsNotAll(t *testing.T) {
	g := NewWithT(t)
	var badConns, conns atomic.Int32
	clock := &moved{}
	bad, good, p := forgetful(t, &badConns, func() {}), faithful(t, &conns), clock.pool()
	g.Expect(succeeds(send(t, p, bad, request("1")))).To(BeTrue())
	g.Expect(succeeds(send(t, p, good, once("2")))).To(BeTrue())
	clock.advance(time.Second)
	g.Expect(fails(send(t, p, bad, request("3")))).To(BeTrue())
	g.Expect(succeeds(send(t, p, bad, request("4")))).To(BeTrue())
	clock.advance(time.Second)
	g.Expect(succeeds(send(t, p, bad, once("5")))).To(BeTrue())
	g.Expect(badConns.Load()).To(Equal(int32(3)))
	g.Expect(succeeds(send(t, p, good, once("6")))).To(BeTrue())
	g.Expect(conns.Load()).To(Equal(int32(1)))
}

// Upstreams run lookups and lose the answers by resets, after the work or at once,
// on connections that rested and on busy ones. That says nothing about connections
// that rest.
func TestLostAnswersAreNoForgottenConnections(t *testing.T) {
	for name, c := range map[string]struct {
		work time.Duration
		// rests of the connections that are reset, one upstream each.
		rests []time.Duration
	}{
		"after the work":             {50 * time.Millisecond, []time.Duration{time.Second, time.Second}},
		"at once, also on busy ones": {0, []time.Duration{10 * time.Millisecond, time.Second, time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var badConns, conns atomic.Int32
			clock := &moved{}
			good, p := faithful(t, &conns), clock.pool()
			g.Expect(succeeds(send(t, p, good, once("1")))).To(BeTrue())
			for _, rest := range c.rests {
				bad := forgetful(t, &badConns, func() { clock.advance(c.work) })
				g.Expect(succeeds(send(t, p, bad, request("2")))).To(BeTrue())
				clock.advance(rest)
				g.Expect(fails(send(t, p, bad, request("3")))).To(BeTrue())
			}
			g.Expect(succeeds(send(t, p, good, once("4")))).To(BeTrue())
			g.Expect(conns.Load()).To(Equal(int32(1)))
		})
	}
}
