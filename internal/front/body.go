package front

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// maxBufferedBody is the largest body that is read before it is sent. It can then be
// sent again, and its upstream does not wait for a slow caller.
const maxBufferedBody = 256 << 10

// body is a request's body: kept whole, or passed on as it comes.
type body struct {
	buffered []byte
	// rest is what comes after kept; nil if kept is all.
	rest   io.Reader
	length int64
	used   bool
}

func readBody(w http.ResponseWriter, r *http.Request, most int64) (*body, *refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return &body{}, nil
	}
	if most > 0 {
		if r.ContentLength > most {
			return nil, denied(http.StatusRequestEntityTooLarge, CauseTooLarge)
		}
		r.Body = http.MaxBytesReader(w, r.Body, most)
	}
	kept, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, denied(http.StatusRequestEntityTooLarge, CauseTooLarge)
	case err != nil && r.Context().Err() != nil:
		return nil, &refusal{cause: CauseCallerLeft}
	case err != nil:
		return nil, denied(http.StatusBadRequest, CauseBadBody)
	case len(kept) <= maxBufferedBody:
		return &body{buffered: kept, length: int64(len(kept))}, nil
	}
	return &body{buffered: kept, rest: r.Body, length: r.ContentLength}, nil
}

// reader returns the body from its beginning; nil if there is none.
func (b *body) reader() io.Reader {
	b.used = true
	switch {
	case b.rest != nil:
		return io.MultiReader(bytes.NewReader(b.buffered), b.rest)
	case len(b.buffered) == 0:
		return nil
	}
	return bytes.NewReader(b.buffered)
}

// repeatable tells whether the body can be sent once more.
func (b *body) repeatable() bool { return b.rest == nil || !b.used }
