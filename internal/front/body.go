package front

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"balsambarrow/internal/memory"
)

const (
	// maxBufferedBody is the largest request body that is buffered before it is
	// forwarded. A buffered body can be sent again to another upstream, and a slow
	// caller does not occupy an upstream while the body arrives.
	maxBufferedBody = 256 << 10
	// initialBodyBuffer is the size of the first buffer of a body of unknown length.
	initialBodyBuffer = 4 << 10
	// streamingBytes are the bytes that a body holds beyond the buffered ones while it is forwarded
	// as it arrives: the kernel's receive buffer and the copy buffer.
	streamingBytes = 128 << 10
)

// body is the body of a request, either buffered completely or streamed.
type body struct {
	buffered []byte
	// unread is the part of the body after buffered; nil if buffered is complete.
	unread io.Reader
	length int64
	// sent is set once the body was passed to a connection.
	sent bool
	// guard watches the caller while the body arrives; nil if nothing is watched.
	guard *bodyGuard
}

// readBody admits the request by its bytes, and reads its body up to maxBufferedBody.
func (h *Handler) readBody(w http.ResponseWriter, q *request, maxBytes int64) *refusal {
	r := q.http
	q.body = &body{}
	hasBody := r.Body != nil && r.Body != http.NoBody
	if hasBody && maxBytes > 0 {
		if r.ContentLength > maxBytes {
			return denied(http.StatusRequestEntityTooLarge, CauseTooLarge)
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
	}
	if refused := h.admitBytes(q, hasBody); refused != nil || !hasBody {
		return refused
	}
	source := h.guardBody(q)
	buffered, err := readUpTo(source, make([]byte, 0, firstBuffer(r.ContentLength, initialBodyBuffer, maxBufferedBody)), maxBufferedBody+1, q.growBody)
	if err == nil && len(buffered) > maxBufferedBody {
		err = q.growBody(streamingBytes)
	}
	if err != nil {
		return h.bodyRefusal(q, err)
	}
	q.body.buffered, q.body.length = buffered, int64(len(buffered))
	if len(buffered) <= maxBufferedBody {
		q.body.guard.stop()
		return nil
	}
	q.body.unread, q.body.length = source, r.ContentLength
	q.body.guard.startStreaming()
	return nil
}

// bodyRefusal returns the refusal of a request whose body could not be read. Nothing of it was sent
// to an upstream.
func (h *Handler) bodyRefusal(q *request, err error) *refusal {
	var tooLarge *http.MaxBytesError
	var full *memory.FullError
	switch {
	case q.body.guard.stalled():
		return denied(http.StatusRequestTimeout, CauseBodyStalled)
	case errors.As(err, &full):
		return h.memoryRefusal(q, full)
	case errors.As(err, &tooLarge):
		return denied(http.StatusRequestEntityTooLarge, CauseTooLarge)
	case q.http.Context().Err() != nil:
		return &refusal{cause: CauseCallerLeft}
	}
	return denied(http.StatusBadRequest, CauseBadBody)
}

// firstBuffer returns the size of the buffer for a body of the given length, -1 if it is unknown.
// One byte more than the length lets the end be read without growth.
func firstBuffer(length, unknown, limit int64) int64 {
	if length < 0 {
		return unknown
	}
	return min(length, limit) + 1
}

// readUpTo appends to buf what it reads, until the end or until limit bytes are read. It calls grow
// with the number of bytes by which it is about to extend the buffer; an error of grow ends it.
func readUpTo(r io.Reader, buf []byte, limit int, grow func(bytes int64) error) ([]byte, error) {
	for len(buf) < limit {
		if len(buf) == cap(buf) {
			size := min(2*cap(buf), limit)
			if err := grow(int64(size - cap(buf))); err != nil {
				return buf, err
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// complete reports whether the body was read completely.
func (b *body) complete() bool {
	if b.unread == nil {
		return b.buffered != nil
	}
	return b.guard != nil && b.guard.complete.Load()
}

// bytes returns the number of bytes that an upstream holds of the body.
func (b *body) bytes() int {
	switch {
	case b.unread == nil:
		return len(b.buffered)
	case b.length < 0:
		return memory.UnknownBody
	}
	return int(b.length)
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
