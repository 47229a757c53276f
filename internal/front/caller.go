package front

import (
	"context"
	"net"
	"net/http"

	"balsambarrow/internal/h1"
)

type callerConnKey struct{}

// WithCallerConn is used as http.Server.ConnContext. It stores the connection
// of the caller in the context of each request.
func WithCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerDisconnected reports whether the caller of a request has closed its
// connection.
//
// The context of the request is not enough: the server detects a closed
// connection in a separate goroutine. An overloaded host may read a request
// whose caller disconnected long before, and forward it before that goroutine
// has run. Upstreams at full capacity then do work whose result no caller receives.
func callerDisconnected(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, ok := r.Context().Value(callerConnKey{}).(net.Conn)
	return ok && h1.ClosedByPeer(c)
}
