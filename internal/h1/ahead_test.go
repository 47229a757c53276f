package h1_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/h1"
)

func TestTheConnectionOpenedAheadIsUsedOnce(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	var dialed atomic.Int32
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		dialed.Add(1)
		return c, err
	}
	a := h1.Preconnect(context.Background(), dial, l.Addr().String())
	g.Eventually(dialed.Load).Should(Equal(int32(1)))
	used := 0
	g.Eventually(func() int32 {
		c, err := a.Dial(context.Background(), "tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		_ = c.Close()
		used++
		return int32(used) - dialed.Load()
	}).Should(BeZero(), "one call took the connection that was open")
	_, err = a.Dial(context.Background(), "tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(dialed.Load()).To(Equal(int32(used + 1)))
}

// Guards against a host that cannot reach the store when it starts, and never tries again.
func TestAFailureAheadIsNotTheCallers(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	a := h1.Preconnect(context.Background(), (&net.Dialer{}).DialContext, "127.0.0.1:1")
	c, err := a.Dial(context.Background(), "tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_ = c.Close()
}
