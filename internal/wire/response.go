package wire

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// writeIdleTimeout is the maximum time in which a caller accepts no bytes of a
// response before its connection is closed. A caller that stops reading would
// occupy capacity of an upstream until its deadline. A caller that is working
// accepts some bytes within a few round trips.
const writeIdleTimeout = 15 * time.Second

const copyBufferBytes = 32 << 10

// copyBuffers reuses the copy buffers of responses. Allocating a buffer of 32 KiB
// per response was two thirds of the memory that a request allocated.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// Response is the response of an upstream to a call, or a stored one.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Write streams the response to the caller. If reading the body fails, Write panics
// with http.ErrAbortHandler. net/http then closes the connection without the final
// chunk or before the declared length, so the caller can detect the truncation.
func (r *Response) Write(w http.ResponseWriter) {
	defer func() { _ = r.Body.Close() }()
	CopyEndToEndHeaders(w.Header(), r.Header)
	w.Header().Set(HeaderOutcome, string(OutcomeRan))
	w.WriteHeader(r.Status)
	if err := copyAndFlush(w, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyAndFlush copies the body to w and flushes after each read, so that the caller
// receives a slow response as it arrives.
func copyAndFlush(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	pooled := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(pooled)
	buf := pooled[:]
	for {
		n, err := body.Read(buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(writeIdleTimeout))
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if n > 0 {
			_ = control.Flush()
		}
	}
}
