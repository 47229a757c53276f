package h1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/h1"
)

// Guards against an abandoned request that a partition holds back and delivers when it heals.
func TestAbandonedRequestResetsItsConnection(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	received, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			ended <- err
			return
		}
		close(received)
		_, err = io.Copy(io.Discard, reader)
		ended <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	pool := (&fakeClock{}).pool()
	_, err = pool.Send(ctx, l.Addr().String(), &h1.Request{Method: http.MethodGet, Target: "/", Host: "x", Header: http.Header{}})
	g.Expect(err).To(HaveOccurred())
	g.Expect(<-ended).To(MatchError(syscall.ECONNRESET))
}

// stalledUpstream accepts one connection, reads the header of a request, sends the given
// response, and reads on only once resume is closed. ended receives how the connection ended.
func stalledUpstream(t *testing.T, response string) (address string, headerRead, resume chan struct{}, ended chan error) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	headerRead, resume, ended = make(chan struct{}), make(chan struct{}), make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			ended <- err
			return
		}
		if _, err := io.WriteString(conn, response); err != nil {
			ended <- err
			return
		}
		close(headerRead)
		<-resume
		_, err = io.Copy(io.Discard, reader)
		ended <- err
	}()
	return l.Addr().String(), headerRead, resume, ended
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// Guards against the rest of an abandoned request that waits in a send buffer and reaches the
// upstream after the caller has been told that the request failed.
func TestAbandonedRequestIsNotDeliveredLater(t *testing.T) {
	const body = 64 << 20
	for name, c := range map[string]struct {
		response string
		// receives is set if Send returns a response.
		receives bool
	}{
		"before the response":               {"", false},
		"before the end of the response":    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", true},
		"after a response before the body":  {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		"after a response that ends midway": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\npart", true},
		"after bytes that are no response":  {"no HTTP\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address, headerRead, resume, ended := stalledUpstream(t, c.response)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if !c.receives {
				go func() {
					<-headerRead
					cancel()
				}()
			}
			resp, err := h1.NewPool((&net.Dialer{}).DialContext, time.Now).Send(ctx, address, &h1.Request{
				Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{}, Body: io.LimitReader(zeros{}, body), Length: body,
			})
			if c.receives {
				g.Expect(err).NotTo(HaveOccurred())
				if resp.ContentLength == 2 {
					_, _ = io.ReadAll(resp)
				} else {
					cancel()
				}
				resp.Close(0)
			} else {
				g.Expect(err).To(HaveOccurred())
			}
			close(resume)
			g.Expect(<-ended).To(MatchError(syscall.ECONNRESET))
		})
	}
}

// Guards against connections that are reset although their requests have been answered, which
// upstreams report as failures, and against new connections in place of reusable ones.
func TestAnsweredRequestKeepsItsConnection(t *testing.T) {
	g := NewWithT(t)
	connections, ended := make(chan int, 4), make(chan error, 4)
	address := startUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		connections <- n
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				ended <- err
				return
			}
			_, _ = io.WriteString(c, responseTo(q.Header.Get("Id"), "ok"))
		}
	})
	pool := newPool()
	for range 3 {
		_, err := send(t, pool, address, request("a"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	pool.CloseIdle(address)
	g.Expect(<-ended).To(MatchError(io.EOF))
	g.Expect(connections).To(HaveLen(1))
}
