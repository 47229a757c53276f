package tunnel

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (a, b *net.TCPConn) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against an abandoned request that a suspended peer passes on when it wakes up, after the
// caller has been told that the request failed.
func TestAbandonedBytesAreNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	host, peer := tcpPair(t)
	toUpstream, upstream := tcpPair(t)
	_, err := host.Write([]byte("POST / HTTP/1.1\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(host.SetLinger(0)).To(Succeed())
	g.Expect(host.Close()).To(Succeed())
	time.Sleep(50 * time.Millisecond) // the reset arrives while the peer does not run
	join(peer, toUpstream)
	g.Expect(toUpstream.SetLinger(0)).To(Succeed())
	g.Expect(toUpstream.Close()).To(Succeed())
	received, err := io.ReadAll(upstream)
	g.Expect(received).To(BeEmpty())
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}
