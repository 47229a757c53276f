package h1

import (
	"fmt"
	"io"
)

// chunkWriter encodes a body of unknown length with chunked transfer coding.
type chunkWriter struct{ w io.Writer }

func newChunkWriter(w io.Writer) *chunkWriter { return &chunkWriter{w} }

// Write implements io.Writer.
func (c *chunkWriter) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if _, err := fmt.Fprintf(c.w, "%x\r\n", len(b)); err != nil {
		return 0, err
	}
	n, err := c.w.Write(b)
	if err != nil {
		return n, err
	}
	_, err = io.WriteString(c.w, "\r\n")
	return n, err
}

// Close writes the last chunk. It does not close the underlying writer.
func (c *chunkWriter) Close() error {
	_, err := io.WriteString(c.w, "0\r\n\r\n")
	return err
}
