package front

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// maxBufferedBody is the largest request body that is buffered before it is
// forwarded. A buffered body can be sent again to another upstream, and a slow
// caller does not occupy an upstream while the body arrives.
const maxBufferedBody = 256 << 10

// body is the body of a request, either buffered completely or streamed.
type body struct {
	buffered []byte
	// unread is the part of the body after buffered; nil if buffered is complete.
	unread io.Reader
	length int64
	// sent is set once the body was passed to a connection.
	sent bool
}

func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) (*body, *refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return &body{}, nil
	}
	if maxBytes > 0 {
		if r.ContentLength > maxBytes {
			return nil, denied(http.StatusRequestEntityTooLarge, CauseTooLarge)
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
	}
	buffered, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, denied(http.StatusRequestEntityTooLarge, CauseTooLarge)
	case err != nil && r.Context().Err() != nil:
		return nil, &refusal{cause: CauseCallerLeft}
	case err != nil:
		return nil, denied(http.StatusBadRequest, CauseBadBody)
	case len(buffered) <= maxBufferedBody:
		return &body{buffered: buffered, length: int64(len(buffered))}, nil
	}
	return &body{buffered: buffered, unread: r.Body, length: r.ContentLength}, nil
}

// reader returns a reader of the complete body; nil if the body is empty.
func (b *body) reader() io.Reader {
	b.sent = true
	switch {
	case b.unread != nil:
		return io.MultiReader(bytes.NewReader(b.buffered), b.unread)
	case len(b.buffered) == 0:
		return nil
	}
	return bytes.NewReader(b.buffered)
}

// replayable reports whether the complete body can still be sent.
func (b *body) replayable() bool { return b.unread == nil || !b.sent }
