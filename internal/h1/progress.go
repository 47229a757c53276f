package h1

import (
	"io"
	"sync/atomic"
)

// Progress is what was written of a request, and on which connection. It is safe for concurrent use; the zero value is
// that of a request without a connection.
type Progress struct {
	requests atomic.Int64
	written  atomic.Int64
	complete atomic.Bool
}

// Requests returns the number of requests that the connection has carried, this one included; 0: there was no connection.
func (p *Progress) Requests() int64 { return p.requests.Load() }

// Written returns the number of bytes that were written, with the header.
func (p *Progress) Written() int64 { return p.written.Load() }

// Complete reports whether the header and the body were written completely.
func (p *Progress) Complete() bool { return p.complete.Load() }

// writer returns a writer that counts what it passes on to w.
func (p *Progress) writer(w io.Writer) io.Writer { return progressWriter{w, p} }

type progressWriter struct {
	w        io.Writer
	progress *Progress
}

// Write implements io.Writer.
func (w progressWriter) Write(b []byte) (int, error) {
	n, err := w.w.Write(b)
	w.progress.written.Add(int64(n))
	return n, err
}
