package wire

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// writeStall is how long a caller may take none of an answer before it is cut
// off. A caller that stops reading would hold an upstream's room until its
// deadline; a working one takes some bytes within a few round trips.
const writeStall = 15 * time.Second

const copyBuffer = 32 << 10

// copyBuffers keeps buffers between answers: one of 32 KiB made for each was
// two thirds of all that a request allocated.
var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// Response is the response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Write streams the answer to the caller. An answer whose body breaks off is
// broken off too: net/http then cuts the connection without the final chunk
// or with bytes of the declared length missing, so the caller cannot take a
// part for the whole.
func (a *Response) Write(w http.ResponseWriter) {
	defer func() { _ = a.Body.Close() }()
	CopyEndToEndHeaders(w.Header(), a.Header)
	w.Header().Set(HeaderOutcome, string(OutcomeRan))
	w.WriteHeader(a.Status)
	if err := copyFlushing(w, a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	kept := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(kept)
	buf := kept[:]
	for {
		n, err := body.Read(buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(writeStall))
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
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
