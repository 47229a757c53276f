package h1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"balsambarrow/internal/header"
)

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the request target (path and query) exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body is the request body, or nil. Length is its size, or -1 if unknown.
	Body   io.Reader
	Length int64
	// Matches reports whether a response belongs to this request; nil accepts every
	// response.
	Matches func(*http.Response) bool
	// NonIdempotent marks a request that must not run twice. It is sent on a reused
	// connection only if the upstream most probably still has that connection open.
	NonIdempotent bool
	// NewConnection requires a connection that has carried no other request. It is for requests whose Matches may also
	// accept a late response to another one, such as an earlier attempt of the same request.
	NewConnection bool
	// Prepare is called once there is a connection, immediately before the request is written. It may
	// change Header. If it returns an error, nothing is sent. Optional.
	Prepare func() error
	// Progress receives what was written of the request. Optional.
	Progress *Progress
}

const (
	// maxInlineBody is the largest body that is written together with the header,
	// before the response is read. It fits any send buffer, so that the write cannot
	// block on an upstream that does not read.
	maxInlineBody = 2 << 10
	// maxStrayResponses is the number of responses to other requests that are
	// skipped on one connection, and maxStrayResponseBytes the size limit of each.
	maxStrayResponses     = 2
	maxStrayResponseBytes = 1 << 20
)

// pastDeadline is a deadline that ends all reads and writes immediately.
var pastDeadline = time.Unix(1, 0)

// Response is the response of an upstream. Its body must be read from the Response
// itself, which must then be closed.
type Response struct {
	*http.Response
	// ConnectTime is how long establishing the connection took; 0: the connection
	// was reused.
	ConnectTime time.Duration
	// Relay is the address of the host through which the connection leads; "" if it leads to the
	// upstream directly.
	Relay string

	pool *Pool
	conn *conn
	// written receives the result of writing the request body; nil if the body was
	// written with the header.
	written <-chan error
	// stop ends the effect of the context on the connection. It returns false if the
	// context had already ended.
	stop func() bool
	// complete is set once the end of the body was read.
	complete bool
}

// Send sends a request and returns the response as soon as its header has arrived.
// The error is an *UnsentError or a *NoResponseError. ctx applies to the complete
// exchange, including the response body: when it ends, the connection is reset, so that
// the upstream stops its work, and receives nothing more of the request.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, address, r)
	if err != nil {
		return nil, err
	}
	if err := prepare(ctx, r); err != nil {
		c.closeOrderly()
		return nil, &UnsentError{Address: address, Cause: err}
	}
	// The callback sets a deadline in the past instead of closing the connection, so
	// that only this goroutine closes it.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	resp, err := p.exchange(c, r)
	if err != nil {
		stop()
		_ = c.Close()
		if p.Paths != nil && ctx.Err() == nil {
			p.recordLost(ctx, c, r.NonIdempotent)
		}
		return nil, err
	}
	resp.stop = stop
	return resp, nil
}

// prepare calls Prepare, unless the context ended while a connection was established.
func prepare(ctx context.Context, r *Request) error {
	if err := ctx.Err(); err != nil || r.Prepare == nil {
		return err
	}
	return r.Prepare()
}

// recordLost reports a connection that has broken without a response. The caller of a
// non-idempotent request, which is not sent again, need not wait.
func (p *Pool) recordLost(ctx context.Context, c *conn, nonIdempotent bool) {
	if nonIdempotent {
		go p.Paths.RecordLost(context.WithoutCancel(ctx), c.remote, c.relayed())
		return
	}
	p.Paths.RecordLost(ctx, c.remote, c.relayed())
}

func (p *Pool) exchange(c *conn, r *Request) (*Response, error) {
	progress := r.Progress
	if progress == nil {
		progress = &Progress{}
	}
	c.requests++
	progress.requests.Store(c.requests)
	var head bytes.Buffer
	writeHead(&head, r)
	if r.Body != nil && r.Length >= 0 && r.Length <= maxInlineBody {
		if _, err := io.CopyN(&head, r.Body, r.Length); err != nil {
			return nil, &UnsentError{Address: c.address, Cause: err}
		}
		r = &Request{Method: r.Method, Matches: r.Matches}
	}
	w := progress.writer(c)
	// The upstream may respond before Write returns.
	sentAt := p.now()
	if n, err := w.Write(head.Bytes()); err != nil {
		if n == 0 {
			return nil, &UnsentError{Address: c.address, Cause: err}
		}
		return nil, &NoResponseError{c.address, c.reused, err}
	}
	resp := &Response{pool: p, conn: c}
	if c.relayed() {
		resp.Relay = c.remote
	}
	if !c.reused {
		resp.ConnectTime = c.roundTrip
	}
	if r.Body != nil {
		resp.written = writeBody(w, r, progress)
	} else {
		progress.complete.Store(true)
	}
	if _, err := c.br.Peek(1); err != nil {
		p.recordNoResponse(c, sentAt, err)
		return nil, &NoResponseError{c.address, c.reused, err}
	}
	httpResponse, err := readResponse(c, r) //nolint:bodyclose // Response.Close ends the connection instead
	if err != nil {
		return nil, &NoResponseError{c.address, c.reused, err}
	}
	resp.Response = httpResponse
	return resp, nil
}

// recordNoResponse updates the idle limits if a reused connection was closed without
// a byte of a response, and sooner than the upstream can have processed the request.
func (p *Pool) recordNoResponse(c *conn, sentAt time.Time, err error) {
	var netErr net.Error
	if !c.reused || c.relayed() || errors.As(err, &netErr) && netErr.Timeout() {
		return
	}
	if now := p.now(); now.Sub(sentAt) < c.roundTrip+resetMargin {
		p.idleLimits.recordReset(now, c.address, c.idleTime)
	}
}

func writeHead(b *bytes.Buffer, r *Request) {
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(b)
	switch {
	case r.Body == nil:
	case r.Length >= 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
}

// writeBody writes the body in the background while the response is read: an
// upstream may refuse a request before it has read the body, and may then never
// read it.
func writeBody(to io.Writer, r *Request, progress *Progress) <-chan error {
	done := make(chan error, 1)
	go func() {
		err := copyBody(to, r)
		progress.complete.Store(err == nil)
		done <- err
	}()
	return done
}

func copyBody(to io.Writer, r *Request) error {
	if r.Length >= 0 {
		_, err := io.CopyN(to, r.Body, r.Length)
		return err
	}
	w := newChunkWriter(to)
	if _, err := io.Copy(w, r.Body); err != nil {
		return err
	}
	return w.Close()
}

// readResponse returns the response that belongs to the request, and skips
// responses to other requests: a faulty upstream may send a second response to an
// earlier request late, ahead of the response to this one.
func readResponse(c *conn, r *Request) (*http.Response, error) {
	httpRequest := &http.Request{Method: r.Method}
	for stray := 0; ; {
		resp, err := readHeader(c, httpRequest)
		if err != nil {
			return nil, err
		}
		if r.Matches == nil || r.Matches(resp) {
			return resp, nil
		}
		if stray++; stray > maxStrayResponses || resp.Close {
			return nil, &InvalidResponseError{"response to another request"}
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayResponseBytes))
		if err != nil {
			return nil, err
		}
		if n == maxStrayResponseBytes {
			return nil, &InvalidResponseError{"response to another request is too long"}
		}
	}
}

// readHeader reads the header of a response, and skips interim responses before it.
func readHeader(c *conn, r *http.Request) (*http.Response, error) {
	c.header.begin(c.br.Buffered())
	defer c.header.end()
	for {
		resp, err := http.ReadResponse(c.br, r)
		if err != nil {
			return nil, err
		}
		if err := header.CheckResponse(resp); err != nil {
			return nil, &InvalidResponseError{err.Error()}
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, &InvalidResponseError{"unexpected protocol switch"}
		case resp.StatusCode >= http.StatusOK:
			header.CheckTrailer(resp)
			return resp, nil
		}
	}
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	var invalid *header.NameError
	switch {
	case errors.Is(err, io.EOF):
		r.complete = true
	case errors.As(err, &invalid):
		return n, &InvalidResponseError{invalid.Error()}
	}
	return n, err
}

// Close returns the connection to the pool, or closes it if it cannot be reused. If the
// exchange is not finished, the connection is reset.
// keepAlive is the idle timeout that the upstream has announced; 0: unknown.
func (r *Response) Close(keepAlive time.Duration) {
	canceled := !r.stop()
	switch {
	case canceled || !r.finished():
		_ = r.conn.Close()
	case r.Response.Close || r.conn.br.Buffered() > 0:
		r.conn.closeOrderly()
	default:
		r.pool.release(r.conn, keepAlive)
	}
}

// finished reports whether the response was read completely and the request body was sent
// completely. An upstream that responded early continues to read the body, and would take
// the next request for the rest of that body.
func (r *Response) finished() bool {
	if !r.complete {
		return false
	}
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}
