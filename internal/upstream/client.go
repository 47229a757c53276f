package upstream

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"balsambarrow/internal/header"
)

// Limits of the connections to upstreams and relay listeners.
const (
	dialTimeout    = time.Second
	maxIdlePerHost = 8
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 64 << 10
)

// Dialer opens a connection. Tests replace it to simulate an unreachable
// upstream.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests to upstreams and to the relay listeners of other
// daemons. It never sends a request twice. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client that connects with dial, or with a net.Dialer if
// dial is nil.
func NewClient(dial Dialer) *Client { return NewTLSClient(dial, nil) }

// NewTLSClient returns a client that calls conf for the TLS configuration of
// each new https connection, so that a changed certificate takes effect with
// the next connection.
func NewTLSClient(dial Dialer, conf func() *tls.Config) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	// HTTP/2 is disabled: its transport retries requests under its own rules
	// (GOAWAY, refused streams), and Send prevents replays only for HTTP/1.
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		Protocols:              &protocols,
		DialContext:            countingDialer(dial),
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	if conf != nil {
		transport.DialTLSContext = tlsDialer(dial, conf)
	}
	return &Client{transport: transport}
}

func tlsDialer(dial Dialer, conf func() *tls.Config) Dialer {
	counted := countingDialer(dial)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := counted(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(raw, conf())
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		return conn, nil
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send sends a request once and does not follow redirects. sent is false only
// if no byte of the request has reached or can still reach the other side.
//
// http.Transport resends a request whose kept-alive connection turns out to
// be closed if its method is idempotent, if it has an Idempotency-Key header,
// or if it has no body. An upstream that had run the request before the
// connection broke would then run it twice. Send therefore always sets a body
// without GetBody, which the transport cannot rewind; see
// TestSendNeverReplays. A body without a declared length is sent chunked, and
// so is an empty POST.
func (c *Client) Send(req *http.Request) (resp *http.Response, sent bool, err error) {
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(emptyBody{})
		req.ContentLength = 0
	}
	req.GetBody = nil
	var use connUse
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { use.start(info.Conn) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err = c.transport.RoundTrip(req)
	if err != nil {
		return nil, !use.sealIfUnsent(), err
	}
	if err := header.CheckResponse(resp); err != nil {
		_ = resp.Body.Close()
		return nil, true, err
	}
	header.CheckTrailer(resp)
	if resp.Body == http.NoBody {
		use.finish()
	} else {
		resp.Body = responseBody{resp.Body, &use}
	}
	return resp, true, nil
}

// emptyBody is an empty body that differs from http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
