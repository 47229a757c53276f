package front

import (
	"context"
	"net"
	"net/http"

	"balsambarrow/internal/h1"
)

type callerKey struct{}

// WithCallerConn is a server's ConnContext: requests then know their connection.
func WithCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// callerGone tells whether the caller of a request has closed its connection.
//
// The failure it guards against: a host that is behind with its work reads a
// request whose caller has given up long before, and sends it on before the
// server has noticed the close, which it looks for beside the handler. Upstreams
// that are full then work for nobody.
func callerGone(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, ok := r.Context().Value(callerKey{}).(net.Conn)
	return ok && h1.ClosedByPeer(c)
}
