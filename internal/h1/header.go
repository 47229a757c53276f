package h1

import (
	"bytes"
	"net"
)

const (
	// maxHeaderBytes bounds what is read from the upstream until the header of the response is complete,
	// interim responses included. Upstreams that send more are faulty; net/http bounds the lines of
	// chunks and trailers.
	maxHeaderBytes = 64 << 10
	// maxHeaderLines bounds the lines of such a header: one with many short fields takes far more memory
	// than its bytes.
	maxHeaderLines = 512
)

// headerReader reads from a connection. While a header is read, it fails beyond maxHeaderBytes or
// maxHeaderLines.
type headerReader struct {
	conn net.Conn
	// reading is set while a header is read. left is the number of bytes that it may still take, and
	// lines the number of lines that were read.
	reading     bool
	left, lines int
}

// begin starts the reading of a header, of which some bytes may be buffered already.
func (r *headerReader) begin(buffered int) {
	r.reading, r.left, r.lines = true, maxHeaderBytes-buffered, 0
}

// end ends the reading of a header.
func (r *headerReader) end() { r.reading = false }

// Read implements io.Reader. All bytes of earlier calls belong to the header, since it is not complete.
func (r *headerReader) Read(b []byte) (int, error) {
	if !r.reading {
		return r.conn.Read(b)
	}
	if r.left <= 0 || r.lines > maxHeaderLines {
		return 0, &InvalidResponseError{"header is too long"}
	}
	n, err := r.conn.Read(b[:min(len(b), r.left)])
	r.left -= n
	r.lines += bytes.Count(b[:n], []byte{'\n'})
	return n, err
}
