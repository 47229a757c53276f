package h1

import "net"

// maxHeaderBytes bounds what is read from the upstream until the header of the response is complete,
// interim responses included. Upstreams that send more are faulty; net/http bounds the lines of
// chunks and trailers.
const maxHeaderBytes = 64 << 10

// headerReader reads from a connection. While a header is read, it fails beyond maxHeaderBytes.
type headerReader struct {
	conn net.Conn
	// reading is set while a header is read, and left is the number of bytes that it may still take.
	reading bool
	left    int
}

// begin starts the reading of a header, of which some bytes may be buffered already.
func (r *headerReader) begin(buffered int) { r.reading, r.left = true, maxHeaderBytes-buffered }

// end ends the reading of a header.
func (r *headerReader) end() { r.reading = false }

// Read implements io.Reader.
func (r *headerReader) Read(b []byte) (int, error) {
	if !r.reading {
		return r.conn.Read(b)
	}
	if r.left <= 0 {
		return 0, &InvalidResponseError{"header is too long"}
	}
	n, err := r.conn.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}
