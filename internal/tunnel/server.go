package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"balsambarrow/internal/tcpreset"
	"balsambarrow/internal/wire"
)

const (
	// serverDialTimeout bounds the connection of a Server to an upstream of its own region.
	serverDialTimeout = 300 * time.Millisecond
	// maxTunnels bounds the descriptors and buffers that tunnels use.
	maxTunnels = 512
	copyBuffer = 16 << 10
)

// Server opens tunnels to upstreams for other entry hosts. It implements http.Handler.
type Server struct {
	// Dial opens a direct connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IsPeer reports whether an instance is an entry host with the given IP address. It keeps
	// callers from reaching upstreams without a key.
	IsPeer func(instance string, from netip.Addr) bool
	// LinksDown reports whether this host itself reaches no upstreams. CheckLinks finds that out
	// after a failure.
	LinksDown  func() bool
	CheckLinks func(ctx context.Context, failure time.Time)
	Now        func() time.Time
	// Stopping reports whether a planned stop of this host has begun, which would interrupt the
	// requests in tunnels that are opened later.
	Stopping func() bool
	// Accepts reports whether a ready upstream is registered at an address.
	Accepts func(address string) bool

	mu      sync.Mutex
	tunnels map[net.Conn]net.Conn
	// idle is closed while there are no tunnels.
	idle chan struct{}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	switch {
	case r.Method != http.MethodConnect:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	case err != nil || !s.IsPeer(r.Header.Get(wire.HeaderFrom), from.Addr()):
		w.WriteHeader(http.StatusForbidden)
		return
	case !s.Accepts(r.Host):
		w.WriteHeader(http.StatusNotFound)
		return
	case s.Count() >= maxTunnels || s.LinksDown() || s.Stopping():
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	upstream, status := s.connect(r.Context(), r.Host)
	if upstream == nil {
		w.WriteHeader(status)
		return
	}
	defer func() { _ = upstream.Close() }()
	peer, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer func() { _ = peer.Close() }()
	// Both connections end with a reset unless their streams end in order, so that an abandoned
	// request ends at the upstream and a truncated response does not look complete.
	tcpreset.Enable(peer)
	tcpreset.Enable(upstream)
	if buffered.Reader.Buffered() > 0 {
		return // a peer sends nothing before the response
	}
	if _, err := io.WriteString(peer, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return
	}
	s.add(peer, upstream)
	defer s.remove(peer)
	join(peer, upstream)
}

// connect connects to an upstream. If that fails, it returns the status of the response:
// StatusBadGateway only if this host has not lost its own links.
func (s *Server) connect(ctx context.Context, address string) (net.Conn, int) {
	began := s.Now()
	dialCtx, cancel := context.WithTimeout(ctx, serverDialTimeout)
	defer cancel()
	upstream, err := s.Dial(dialCtx, "tcp", address)
	if err == nil {
		return upstream, http.StatusOK
	}
	s.CheckLinks(ctx, began)
	if s.LinksDown() {
		return nil, http.StatusServiceUnavailable
	}
	return nil, http.StatusBadGateway
}

// join copies in both directions until both streams have ended, or one of them has failed.
func join(peer, upstream net.Conn) {
	a, b := tcpreset.NewConn(peer), tcpreset.NewConn(upstream)
	failed := make(chan bool, 2)
	for _, p := range []struct{ to, from *tcpreset.Conn }{{b, a}, {a, b}} {
		go func() { failed <- copyStream(p.to, p.from) != nil }()
	}
	for range 2 {
		if <-failed {
			return
		}
	}
	tcpreset.Disable(peer)
	tcpreset.Disable(upstream)
}

// copyStream copies until the end of a stream, and passes on the end. Bytes that arrived before a
// reset are dropped: they belong to an abandoned request or to a truncated response.
func copyStream(to, from *tcpreset.Conn) error {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if failure := from.Failure(); failure != nil {
				return failure
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return to.CloseWrite()
		case err != nil:
			return err
		}
	}
}

func (s *Server) add(peer, upstream net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.tunnels) == 0 {
		s.tunnels, s.idle = map[net.Conn]net.Conn{}, make(chan struct{})
	}
	s.tunnels[peer] = upstream
}

func (s *Server) remove(peer net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, peer)
	if len(s.tunnels) == 0 {
		close(s.idle)
	}
}

// Count returns the number of open tunnels.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tunnels)
}

// Wait waits until there are no tunnels, or until ctx ends.
func (s *Server) Wait(ctx context.Context) {
	s.mu.Lock()
	idle := s.idle
	s.mu.Unlock()
	if idle == nil {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// Close resets all tunnels.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for peer, upstream := range s.tunnels {
		_ = peer.Close()
		_ = upstream.Close()
	}
}
