package wire

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"time"
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

// MaxHeldBody is the largest body held in memory: more than any posting of
// the two deployments; larger ones are uploads, sent once as they come.
const MaxHeldBody = 64 << 10

// ReadBody takes a request's body over. length is -1 where it is not known.
func ReadBody(r io.Reader, length int64) (Body, error) {
	if r == nil || length == 0 {
		return Body{}, nil
	}
	held, err := io.ReadAll(io.LimitReader(r, MaxHeldBody+1))
	if err != nil {
		return Body{}, err
	}
	if len(held) <= MaxHeldBody {
		return Body{held: held, length: int64(len(held))}, nil
	}
	return Body{stream: io.MultiReader(bytes.NewReader(held), r), length: length}, nil
}

// Sendable tells whether the body can be sent (again).
func (b *Body) Sendable() bool { return b.stream == nil || !b.used }

// Reader returns the body for one dispatch, and its length.
func (b *Body) Reader() (io.Reader, int64) {
	b.used = true
	if b.stream != nil {
		return b.stream, b.length
	}
	return bytes.NewReader(b.held), int64(len(b.held))
}

// Answer is what came back for a call from where it ran.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Write streams the answer to the caller. An answer whose body breaks off is
// broken off too: net/http then cuts the connection without the final chunk,
// so the caller cannot take a part for the whole.
func (a *Answer) Write(w http.ResponseWriter) {
	defer func() { _ = a.Body.Close() }()
	CopyHeader(w.Header(), a.Header)
	w.Header().Set(HeaderOutcome, string(OutcomeRan))
	w.WriteHeader(a.Status)
	if err := copyFlushing(w, a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

const copyBuffer = 32 << 10

func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	flusher, _ := w.(http.Flusher)
	buf := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if flusher != nil && err == nil {
				flusher.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// hopByHop headers concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader copies end-to-end headers.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	StripHops(to)
}

// StripHops removes hop-by-hop headers.
func StripHops(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// StripOwn removes every header of this system's own, so that none that a
// caller or an upstream wrote is believed.
func StripOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, "Balsam-") {
			delete(h, name)
		}
	}
}

// WithDeadline bounds a context by the call's deadline.
func (c *Call) WithDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, c.Deadline)
}

// Held is how many bytes of the body are held in memory.
func (b *Body) Held() int { return len(b.held) }
