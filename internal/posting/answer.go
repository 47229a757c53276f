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
	// Dropped: it was too large to keep; only Status is known.
	Dropped bool
}

// keptAnswer is an answer as the table holds it. An http.Header takes more
// room than all the rest of a record, so the headers lie in one text, as on
// the wire.
type keptAnswer struct {
	status  int
	dropped bool
	header  string
	body    []byte
}

// pack returns nil for nil.
func pack(a *Response) *keptAnswer {
	if a == nil {
		return nil
	}
	var text strings.Builder
	_ = a.Header.Write(&text) // writing to a Builder does not fail
	return &keptAnswer{status: a.Status, dropped: a.Dropped, header: text.String(), body: bytes.Clone(a.Body)}
}

func (k *keptAnswer) unpack() *Response {
	if k == nil {
		return nil
	}
	a := &Response{Status: k.status, Header: http.Header{}, Body: k.body, Dropped: k.dropped}
	for line := range strings.SplitSeq(k.header, "\r\n") {
		if name, value, ok := strings.Cut(line, ": "); ok {
			a.Header[name] = append(a.Header[name], value)
		}
	}
	return a
}

// size is the bytes that the answer counts with.
func (k *keptAnswer) size() int {
	if k == nil {
		return 0
	}
	return len(k.header) + len(k.body)
}

// drop leaves the status alone.
func (k *keptAnswer) drop() *keptAnswer { return &keptAnswer{status: k.status, dropped: true} }
