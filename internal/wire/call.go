package wire

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsambarrow/internal/h1"
)

// Call is an authenticated request that is to run on an upstream.
type Call struct {
	Service  string
	Path     string
	RawQuery string
	Method   string
	// Header holds the caller's headers without its key, hop-by-hop headers and
	// headers of this system.
	Header http.Header
	Body   Body
	// Customer is the customer that owns the key of the request.
	Customer string
	// KeyDigest is the hexadecimal SHA-256 digest of that key.
	KeyDigest string
	Deadline  time.Time
}

// Safe reports whether the method is safe, so that the call may be retried after it
// may have run.
func (c *Call) Safe() bool {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// Body is a request body. It is either buffered in memory, so that it can be sent
// again with each attempt, or a stream that can be sent once.
type Body struct {
	buffer   []byte
	stream   io.Reader
	length   int64
	consumed bool
}

// MaxBufferedBodyBytes is the maximum size of a body that is buffered in memory. It
// is larger than any posting of the two deployments. Larger bodies are uploads,
// which are streamed and sent once.
const MaxBufferedBodyBytes = 64 << 10

// ReadBody buffers the body of a request. If the body exceeds MaxBufferedBodyBytes,
// ReadBody returns a stream that continues to read from r. The length is -1 if it is
// not known.
func ReadBody(r io.Reader, length int64) (Body, error) {
	if r == nil || length == 0 {
		return Body{}, nil
	}
	buffer, err := io.ReadAll(io.LimitReader(r, MaxBufferedBodyBytes+1))
	if err != nil {
		return Body{}, err
	}
	if len(buffer) <= MaxBufferedBodyBytes {
		return Body{buffer: buffer, length: int64(len(buffer))}, nil
	}
	return Body{stream: io.MultiReader(bytes.NewReader(buffer), r), length: length}, nil
}

// Buffered reports whether the complete body is in memory.
func (b *Body) Buffered() bool { return b.stream == nil }

// Length returns the size of the body in bytes, or -1 for a stream of unknown
// length.
func (b *Body) Length() int64 { return b.length }

// CanSend reports whether the body can be sent, or sent again.
func (b *Body) CanSend() bool { return b.stream == nil || !b.consumed }

// Reader returns a reader of the body for one attempt, and the length of the body.
func (b *Body) Reader() (io.Reader, int64) {
	b.consumed = true
	if b.stream != nil {
		return b.stream, b.length
	}
	return bytes.NewReader(b.buffer), int64(len(b.buffer))
}

// SanitizeRequestHeaders removes the headers that must not be forwarded to an
// upstream: the caller's key, hop-by-hop headers, headers of this system, and
// Expect, which the listener has already handled.
//
// The key is removed first and by name. It is removed even if a caller lists
// Authorization in Connection, sends it twice or writes it in unusual case.
func SanitizeRequestHeaders(h http.Header) {
	h.Del("Authorization")
	h.Del("Expect")
	h1.RemoveHopByHop(h)
	RemoveInternalHeaders(h)
}

// CopyEndToEndHeaders copies all headers except hop-by-hop headers.
func CopyEndToEndHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	h1.RemoveHopByHop(to)
}

// internalHeaderPrefix is the prefix of all headers of this system, in lower case.
// Header names are case-insensitive.
const internalHeaderPrefix = "balsam-"

// RemoveInternalHeaders removes all headers of this system, so that headers forged
// by a caller or an upstream have no effect.
func RemoveInternalHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(strings.ToLower(name), internalHeaderPrefix) {
			delete(h, name)
		}
	}
}

// Digest returns a digest of the service, method, path, query and body. Two requests
// with the same posting id must have the same digest. Digest is defined only for
// calls with a buffered body.
func (c *Call) Digest() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{c.Service, c.Method, c.Path, c.RawQuery} {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	_, _ = h.Write(c.Body.buffer)
	return [sha256.Size]byte(h.Sum(nil))
}

// WithDeadline returns a context that ends at the deadline of the call.
func (c *Call) WithDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, c.Deadline)
}

// NewRequest returns an HTTP request for the call. base is the URL without the path
// of the call. Headers that the next hop needs are not set.
func (c *Call) NewRequest(ctx context.Context, base string) (*http.Request, error) {
	url := base + c.Path
	if c.RawQuery != "" {
		url += "?" + c.RawQuery
	}
	body, length := c.Body.Reader()
	req, err := http.NewRequestWithContext(ctx, c.Method, url, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = length
	req.Header = c.Header.Clone()
	return req, nil
}
