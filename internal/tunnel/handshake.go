package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/header"
	"balsambarrow/internal/wire"
)

// pastDeadline is a deadline that ends all reads and writes immediately.
var pastDeadline = time.Unix(1, 0)

// maxHandshakeBytes bounds the response of a peer to the request for a tunnel.
const maxHandshakeBytes = 8 << 10

// errEarlyBytes reports bytes on a tunnel before the first request.
var errEarlyBytes = errors.New("tunnel: bytes before the first request")

// open asks a peer to connect to an upstream, and returns the connection to the peer, which then
// leads to the upstream. The error is a *RefusedError if the peer has responded.
func open(ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error), self string, peer Peer, address string) (net.Conn, error) {
	c, err := dial(ctx, "tcp", peer.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	err = requestTunnel(c, self, peer, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

func requestTunnel(c net.Conn, self string, peer Peer, address string) error {
	head := "CONNECT " + address + " HTTP/1.1\r\nHost: " + address + "\r\n" + wire.HeaderFrom + ": " + self + "\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	br := bufio.NewReader(io.LimitReader(c, maxHandshakeBytes))
	resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if err := header.CheckResponse(resp); err != nil {
		return err
	}
	switch {
	case resp.StatusCode != http.StatusOK:
		return &RefusedError{Peer: peer.Instance, Address: address, Status: resp.StatusCode}
	case br.Buffered() > 0:
		return errEarlyBytes
	}
	return nil
}
