package front

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// keptBody is the largest body that is read before it is sent. It can then be
// sent again, and its upstream does not wait for a slow caller. Ten megabytes
// of memory hold forty such bodies.
const keptBody = 256 << 10

// body is a request's body: kept whole, or passed on as it comes.
type body struct {
	kept []byte
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
	kept, err := io.ReadAll(io.LimitReader(r.Body, keptBody+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, denied(http.StatusRequestEntityTooLarge, CauseTooLarge)
	case err != nil && r.Context().Err() != nil:
		return nil, &refusal{cause: CauseLeft}
	case err != nil:
		return nil, denied(http.StatusBadRequest, CauseBadBody)
	case len(kept) <= keptBody:
		return &body{kept: kept, length: int64(len(kept))}, nil
	}
	return &body{kept: kept, rest: r.Body, length: r.ContentLength}, nil
}

// reader returns the body from its beginning; nil if there is none.
func (b *body) reader() io.Reader {
	b.used = true
	switch {
	case b.rest != nil:
		return io.MultiReader(bytes.NewReader(b.kept), b.rest)
	case len(b.kept) == 0:
		return nil
	}
	return bytes.NewReader(b.kept)
}

// repeatable tells whether the body can be sent once more.
func (b *body) repeatable() bool { return b.rest == nil || !b.used }
