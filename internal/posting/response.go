package posting

import (
	"bytes"
	"net/http"
	"strings"
)

// Response is the response of an upstream to a posting.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Dropped reports that the response was too large to store. Header and
	// Body are then empty.
	Dropped bool
}

// storedResponse is the compact form of a Response in the table. The headers are
// stored as one string in wire format, because an http.Header takes more memory
// than the rest of a record.
type storedResponse struct {
	status  int
	dropped bool
	header  string
	body    []byte
}

// newStoredResponse returns nil if r is nil.
func newStoredResponse(r *Response) *storedResponse {
	if r == nil {
		return nil
	}
	var text strings.Builder
	_ = r.Header.Write(&text) // writing to a Builder does not fail
	return &storedResponse{status: r.Status, dropped: r.Dropped, header: text.String(), body: bytes.Clone(r.Body)}
}

func (s *storedResponse) response() *Response {
	if s == nil {
		return nil
	}
	r := &Response{Status: s.status, Header: http.Header{}, Body: s.body, Dropped: s.dropped}
	for line := range strings.SplitSeq(s.header, "\r\n") {
		if name, value, ok := strings.Cut(line, ": "); ok {
			r.Header[name] = append(r.Header[name], value)
		}
	}
	return r
}

// size returns the number of bytes that count toward the limits.
func (s *storedResponse) size() int {
	if s == nil {
		return 0
	}
	return len(s.header) + len(s.body)
}

// withoutBody returns a stored response that has only the status.
func (s *storedResponse) withoutBody() *storedResponse {
	return &storedResponse{status: s.status, dropped: true}
}
