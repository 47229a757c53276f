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
)

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the path and query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body to send; nil: none. Length is its size, or -1 if it is not known.
	Body   io.Reader
	Length int64
	// Matches tells whether an answer is that of this request.
	Matches func(*http.Response) bool
	// NonIdempotent says that the request must not run twice: it goes on a connection that
	// the upstream has certainly not forgotten, as far as that can be known.
	NonIdempotent bool
}

const (
	// shortBody is written before the answer is read. It fits any send
	// buffer, so that the write cannot wait for an upstream that does not
	// read.
	shortBody = 2 << 10
	// maxStray bounds the answers to other requests that are passed over on
	// one connection, and maxStrayBytes each of them.
	maxStray      = 2
	maxStrayBytes = 1 << 20
)

// past is a deadline that ends all reads and writes at once.
var past = time.Unix(1, 0)

// Response is an upstream's answer. Its body must be read, and then Close called.
type Response struct {
	*http.Response
	// ConnectTime is how long the connection took to be made; 0: it was there.
	ConnectTime time.Duration

	pool *Pool
	conn *conn
	// written receives the result of writing the body.
	written <-chan error
	stop    func() bool
	// whole says that the end of the body was seen.
	whole bool
}

// Send sends a request and returns its answer once its header is there. The
// error is an *UnsentError or a *NoResponseError. ctx bounds the whole exchange: when
// it ends, the connection is closed, so that the upstream stops its work.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.take(ctx, address, r.NonIdempotent)
	if err != nil {
		return nil, err
	}
	// The deadline is in the past, not a close, so that this goroutine alone
	// closes the connection.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	reply, err := p.exchange(c, r)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	reply.stop = stop
	return reply, nil
}

func (p *Pool) exchange(c *conn, r *Request) (*Response, error) {
	var head bytes.Buffer
	writeHead(&head, r)
	if r.Body != nil && r.Length >= 0 && r.Length <= shortBody {
		if _, err := io.CopyN(&head, r.Body, r.Length); err != nil {
			return nil, &UnsentError{Address: c.address, Cause: err}
		}
		r = &Request{Method: r.Method, Matches: r.Matches}
	}
	if n, err := c.Write(head.Bytes()); err != nil {
		if n == 0 {
			return nil, &UnsentError{Address: c.address, Cause: err}
		}
		return nil, &NoResponseError{c.address, c.kept, err}
	}
	reply := &Response{pool: p, conn: c}
	if !c.kept {
		reply.ConnectTime = c.roundTrip
	}
	if r.Body != nil {
		reply.written = writeBody(c, r)
	}
	sent := p.now()
	if _, err := c.br.Peek(1); err != nil {
		p.noteUnanswered(c, sent, err)
		return nil, &NoResponseError{c.address, c.kept, err}
	}
	resp, err := readAnswer(c, r) //nolint:bodyclose // Response.Close ends the connection instead
	if err != nil {
		return nil, &NoResponseError{c.address, c.kept, err}
	}
	reply.Response = resp
	return reply, nil
}

// noteUnanswered learns from a kept connection that was closed without a byte of
// an answer, sooner than any work could have been done.
func (p *Pool) noteUnanswered(c *conn, sent time.Time, err error) {
	var failure net.Error
	if !c.kept || errors.As(err, &failure) && failure.Timeout() {
		return
	}
	if now := p.now(); now.Sub(sent) < c.roundTrip+bounceMargin {
		p.rests.reset(now, c.address, c.rested)
	}
}

func writeHead(b *bytes.Buffer, r *Request) {
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// A bytes.Buffer takes every write.
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

// writeBody writes a long body beside the reading of the answer: an upstream
// may refuse a request before it has read the body, and may then never read it.
func writeBody(c *conn, r *Request) <-chan error {
	done := make(chan error, 1)
	go func() {
		if r.Length >= 0 {
			_, err := io.CopyN(c, r.Body, r.Length)
			done <- err
			return
		}
		w := newChunkWriter(c)
		_, err := io.Copy(w, r.Body)
		if err == nil {
			err = w.Close()
		}
		done <- err
	}()
	return done
}

// readAnswer reads answers until one belongs to the request. A faulty upstream
// sends a second answer to an earlier request late, in front of this one's.
func readAnswer(c *conn, r *Request) (*http.Response, error) {
	asked := &http.Request{Method: r.Method}
	for stray := 0; ; {
		resp, err := http.ReadResponse(c.br, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, &InvalidResponseError{"switches protocols"}
			}
			continue
		}
		if r.Matches == nil || r.Matches(resp) {
			return resp, nil
		}
		if stray++; stray > maxStray || resp.Close {
			return nil, &InvalidResponseError{"answers another request"}
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if err != nil {
			return nil, err
		}
		if n == maxStrayBytes {
			return nil, &InvalidResponseError{"answers another request at length"}
		}
	}
}

// Read reads the body. io.EOF says that it is whole.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if errors.Is(err, io.EOF) {
		r.whole = true
	}
	return n, err
}

// Close gives the connection back, or closes it if it cannot be used again.
// keepFor is how long the upstream says that it keeps it.
func (r *Response) Close(keepFor time.Duration) {
	ended := !r.stop()
	if ended || !r.reusable() {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.conn, keepFor)
}

// reusable tells whether the next request may use the connection: the answer
// was read to its end, nothing follows it, and the whole body went out. An
// upstream that answered before it read the body goes on reading it: another
// request would be taken for the rest of the body.
func (r *Response) reusable() bool {
	if !r.whole || r.Response.Close || r.conn.br.Buffered() > 0 {
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
