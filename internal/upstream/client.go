package upstream

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

// Bounds of the connections to upstreams and relay listeners.
const (
	dialTimeout  = time.Second
	idlePerHost  = 8
	idleTime     = 30 * time.Second
	headerBounds = 64 << 10
)

// Dialer opens a connection; tests use it to cut an upstream off.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests to upstreams and to other daemons' relay listeners.
// It never sends a request twice. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client that connects with dial (nil: net.Dialer).
func NewClient(dial Dialer) *Client { return NewTLSClient(dial, nil) }

// NewTLSClient returns a client that calls conf for the TLS configuration of
// each new https connection, so that a changed certificate takes effect with
// the next connection.
func NewTLSClient(dial Dialer, conf func() *tls.Config) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	// HTTP/2 stays off: its transport replays requests by rules of its own
	// (GOAWAY, refused streams), and the guard of Send is written for HTTP/1.
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		Protocols:              &protocols,
		DialContext:            countedDialer(dial),
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTime,
		MaxResponseHeaderBytes: headerBounds,
		DisableCompression:     true,
	}
	if conf != nil {
		transport.DialTLSContext = secureDialer(dial, conf)
	}
	return &Client{transport: transport}
}

func secureDialer(dial Dialer, conf func() *tls.Config) Dialer {
	counted := countedDialer(dial)
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

// Close drops idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send sends a request once and follows no redirect. sent is false only where
// no byte of the request can have reached the other side, nor will.
//
// http.Transport replays a request whose kept-alive connection turned out
// dead if its method is idempotent, if it bears Idempotency-Key, or if it has
// no body: an upstream that had run it before the connection broke would run
// it twice. The body is therefore always set, without GetBody, which the
// transport cannot rewind; see TestSendNeverReplays. A body whose length is
// not declared goes out chunked, so an empty POST does too.
func (c *Client) Send(req *http.Request) (resp *http.Response, sent bool, err error) {
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(emptyBody{})
		req.ContentLength = 0
	}
	req.GetBody = nil
	var use connUse
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { use.begin(info.Conn) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err = c.transport.RoundTrip(req)
	if err != nil {
		return nil, !use.unsent(), err
	}
	return resp, true, nil
}

// emptyBody is a body of no bytes that is not http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
