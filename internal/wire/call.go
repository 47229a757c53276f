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

// Call is one admitted request on its way to an upstream.
type Call struct {
	Service  string
	Path     string
	RawQuery string
	Method   string
	// Header is the caller's, without its key and without hop-by-hop headers.
	Header http.Header
	Body   Body
	// Customer whose key came with the request.
	Customer string
	// KeyDigest is the hexadecimal SHA-256 of that key.
	KeyDigest string
	Deadline  time.Time
}

// Safe tells whether the method may be tried again after it may have run.
func (c *Call) Safe() bool {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// Body is a request body: held in memory, so that another dispatch can send
// it again, or a stream that can be sent once.
type Body struct {
	held   []byte
	stream io.Reader
	length int64
	used   bool
}

// MaxBufferedBodyBytes is the largest body held in memory: more than any posting of
// the two deployments; larger ones are uploads, sent once as they come.
const MaxBufferedBodyBytes = 64 << 10

// ReadBody takes a request's body over. length is -1 where it is not known.
func ReadBody(r io.Reader, length int64) (Body, error) {
	if r == nil || length == 0 {
		return Body{}, nil
	}
	held, err := io.ReadAll(io.LimitReader(r, MaxBufferedBodyBytes+1))
	if err != nil {
		return Body{}, err
	}
	if len(held) <= MaxBufferedBodyBytes {
		return Body{held: held, length: int64(len(held))}, nil
	}
	return Body{stream: io.MultiReader(bytes.NewReader(held), r), length: length}, nil
}

// Buffered tells whether the whole body is in memory.
func (b *Body) Buffered() bool { return b.stream == nil }

// Length is the body's size in bytes; -1 where a stream's is not known.
func (b *Body) Length() int64 { return b.length }

// CanSend tells whether the body can be sent (again).
func (b *Body) CanSend() bool { return b.stream == nil || !b.used }

// Reader returns the body for one dispatch, and its length.
func (b *Body) Reader() (io.Reader, int64) {
	b.used = true
	if b.stream != nil {
		return b.stream, b.length
	}
	return bytes.NewReader(b.held), int64(len(b.held))
}

// SanitizeRequestHeaders removes from a caller's headers what must not reach an
// upstream: its key, hop-by-hop headers, this system's own, and Expect, which
// the listener has answered already.
//
// The key goes first and by name: a caller may list Authorization in
// Connection, send it twice or in an odd case, and it is gone all the same.
func SanitizeRequestHeaders(h http.Header) {
	h.Del("Authorization")
	h.Del("Expect")
	h1.RemoveHopByHop(h)
	RemoveInternalHeaders(h)
}

// CopyEndToEndHeaders copies end-to-end headers.
func CopyEndToEndHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	h1.RemoveHopByHop(to)
}

// ownPrefix begins the names of this system's headers, in any case.
const ownPrefix = "balsam-"

// RemoveInternalHeaders removes every header of this system's own, so that none that a
// caller or an upstream wrote is believed.
func RemoveInternalHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(strings.ToLower(name), ownPrefix) {
			delete(h, name)
		}
	}
}

// Digest identifies the request: service, method, path, query and body. Two
// requests with the same posting id must have the same digest. It is defined
// for held bodies only.
func (c *Call) Digest() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{c.Service, c.Method, c.Path, c.RawQuery} {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	_, _ = h.Write(c.Body.held)
	return [sha256.Size]byte(h.Sum(nil))
}

// WithDeadline bounds a context by the call's deadline.
func (c *Call) WithDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, c.Deadline)
}

// NewRequest makes the call's request to base, a URL without the call's path. The
// caller of it adds what the next hop needs.
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
