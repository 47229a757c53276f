package h1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

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
