package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"storj.io/drpc/drpcmux"
)

// postingServer reports the number of postings in each received table.
type postingServer struct {
	DRPCHandoverUnimplementedServer
	postings chan int
}

func (s *postingServer) TakePostings(_ context.Context, in *PostingTable) (*HandoverReply, error) {
	s.postings <- len(in.Postings)
	return &HandoverReply{Taken: true}, nil
}

func serve(t *testing.T, idleTimeout time.Duration) (address string, s *postingServer) {
	t.Helper()
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s = &postingServer{postings: make(chan int, 8)}
	mux := drpcmux.New()
	g.Expect(DRPCRegisterHandover(mux, s)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = Serve(ctx, mux, newListenerWithTimeout(l, idleTimeout))
	}()
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		<-done
	})
	return l.Addr().String(), s
}

// A faulty or malicious peer sends a message that exceeds the size limit, or
// bytes that are not a message. Only its own connection may be closed; other
// peers must still be served.
func TestInvalidMessagesEndOnlyTheirConnection(t *testing.T) {
	g := NewWithT(t)
	address, s := serve(t, time.Minute)
	conns := NewConns(nil, nil)
	defer func() { _ = conns.Close() }()
	client := NewDRPCHandoverClient(conns.Conn(context.Background(), address))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := client.TakePostings(ctx, &PostingTable{Postings: []*Posting{{Body: make([]byte, MaxMessageBytes+1)}}})
	g.Expect(err).To(HaveOccurred())

	raw, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = raw.Close() }()
	_, _ = raw.Write([]byte("GET / HTTP/1.1\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"))

	g.Expect(s.postings).To(BeEmpty())
	_, err = client.TakePostings(ctx, &PostingTable{Postings: []*Posting{{Id: "x"}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-s.postings).To(Equal(1))
}

// A client connects to the peers listener and sends nothing. The connection
// must not stay open permanently.
func TestIdleConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, 50*time.Millisecond)
	raw, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = raw.Close() }()
	_ = raw.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err = raw.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
}

// The fleet's certificate authority is replaced. Connections that were
// authenticated with the old one must not remain in use.
func TestCloseConnsClosesAcceptedConnections(t *testing.T) {
	g := NewWithT(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l := NewListener(raw)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = client.Close() }()
	_, err = l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	l.CloseConns()
	_ = client.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err = client.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
}
