package h1_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/h1"
)

func TestPreconnectedConnectionIsUsedOnce(t *testing.T) {
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
	d := h1.Preconnect(context.Background(), dial, l.Addr().String())
	g.Eventually(dialed.Load).Should(Equal(int32(1)))
	used := 0
	g.Eventually(func() int32 {
		c, err := d.Dial(context.Background(), "tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		_ = c.Close()
		used++
		return int32(used) - dialed.Load()
	}).Should(BeZero(), "one call used the preconnected connection")
	_, err = d.Dial(context.Background(), "tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(dialed.Load()).To(Equal(int32(used + 1)))
}

// The store is unreachable when a host starts. Dial must then open a connection
// itself, and not return the error of the preconnect.
func TestFailedPreconnectIsNotReturned(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	d := h1.Preconnect(context.Background(), (&net.Dialer{}).DialContext, "127.0.0.1:1")
	c, err := d.Dial(context.Background(), "tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_ = c.Close()
}
