package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"balsambarrow/internal/standin"
	"balsambarrow/internal/tcpreset"
)

// bodyKind is how a caller sends the body of a request.
type bodyKind int

const (
	bodyNone bodyKind = iota
	bodyLength
	bodyChunks
	// In pieces: with a pause before the last one.
	bodyLengthInPieces
	bodyChunksInPieces
	bodyChunksTrailer
	// bodyCutChunks ends without the last chunk.
	bodyCutChunks
	bodyExpect
	bodyExpectChunks
	bodyMedium
	bodyMediumChunks
	bodyLong
	bodyLongChunks
	// A host forwards these as they arrive: one ends without the last chunk, and the caller of the other stops in the middle.
	bodyLongCutChunks
	bodyLongStalled
	bodyKinds
)

// String returns the name of the kind.
func (b bodyKind) String() string {
	return [...]string{
		"none", "length", "chunks", "length in pieces", "chunks in pieces", "chunks with trailer", "cut chunks", "expect", "expect chunks",
		"medium", "medium chunks", "long", "long chunks", "long cut chunks", "long stalled",
	}[b]
}

const (
	shortBody  = 900
	mediumBody = 20 << 10
	// piecePause is the pause before the last piece of a body.
	piecePause = 5 * time.Millisecond
	// expectWait is how long a caller waits for the permission to send its body.
	expectWait = 100 * time.Millisecond
	// callerPatience is added to the time limit of a request.
	callerPatience = 5 * time.Second
)

func (b bodyKind) size() int {
	switch b {
	case bodyNone:
		return 0
	case bodyMedium, bodyMediumChunks:
		return mediumBody
	case bodyLong, bodyLongChunks, bodyLongCutChunks, bodyLongStalled:
		return longBody
	}
	return shortBody
}

func (b bodyKind) chunked() bool {
	switch b {
	case bodyChunks, bodyChunksInPieces, bodyChunksTrailer, bodyCutChunks, bodyExpectChunks, bodyMediumChunks, bodyLongChunks, bodyLongCutChunks:
		return true
	}
	return false
}

// incomplete reports whether the end of the body is not sent.
func (b bodyKind) incomplete() bool {
	return b == bodyCutChunks || b == bodyLongCutChunks || b == bodyLongStalled
}

// header returns the header fields of the body.
func (b bodyKind) header() string {
	out := ""
	switch {
	case b.chunked():
		out = "Transfer-Encoding: chunked\r\n"
	case b != bodyNone:
		out = fmt.Sprintf("Content-Length: %d\r\n", b.size())
	}
	switch b {
	case bodyExpect, bodyExpectChunks:
		out += "Expect: 100-continue\r\n"
	case bodyChunksTrailer:
		out += "Trailer: X-Not-Executed\r\n"
	}
	return out
}

// parts returns the body as it is sent, in two parts.
func (b bodyKind) parts() (first, last string) {
	text := strings.Repeat("w", b.size())
	half := len(text) / 2
	if b == bodyLongStalled {
		half = len(text) - shortBody // more than a host holds
	}
	if !b.chunked() {
		return text[:half], text[half:]
	}
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	end := "0\r\n\r\n"
	switch b {
	case bodyCutChunks, bodyLongCutChunks:
		end = ""
	case bodyChunksTrailer:
		end = "0\r\nX-Not-Executed: 1\r\n\r\n"
	}
	return chunk(text[:half]), chunk(text[half:]) + end
}

// rawCaller sends requests byte by byte as their cells say, on one connection as long as the host keeps it.
type rawCaller struct {
	address string
	conn    net.Conn
	br      *bufio.Reader
}

func (w *rawCaller) close() {
	if w.conn != nil {
		tcpreset.Enable(w.conn)
		_ = w.conn.Close()
		w.conn = nil
	}
}

// send sends the request of a cell and records the response.
func (w *rawCaller) send(c *cell) {
	defer close(c.ended)
	status, err := w.exchange(c)
	if err != nil {
		w.close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status, c.err = status, err
}

func (w *rawCaller) exchange(c *cell) (int, error) {
	if w.conn == nil {
		conn, err := net.DialTimeout("tcp", w.address, time.Second)
		if err != nil {
			return 0, err
		}
		w.conn, w.br = conn, bufio.NewReader(conn)
	}
	_ = w.conn.SetDeadline(time.Now().Add(c.limit + callerPatience))
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\nX-Affinity-Key: %s\r\n%s\r\n",
		c.path, c.id, standin.CallerHost, c.id, deadlineHeader, c.limit.Milliseconds(), c.key, c.id, c.body.header())
	early, err := w.sendBody(c, head)
	if err != nil && !errors.Is(err, net.ErrClosed) && c.body.size() <= shortBody {
		return 0, err
	}
	resp := early
	if resp == nil {
		if resp, err = w.readResponse(); err != nil {
			return 0, err
		}
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err == nil && (resp.Close || early != nil || c.body.incomplete()) {
		w.close()
	}
	return resp.StatusCode, err
}

// sendBody sends the header and the body. It returns a response that arrives before the body was asked for.
func (w *rawCaller) sendBody(c *cell, head string) (*http.Response, error) {
	first, last := c.body.parts()
	switch c.body {
	case bodyExpect, bodyExpectChunks:
		if _, err := io.WriteString(w.conn, head); err != nil {
			return nil, err
		}
		_ = w.conn.SetReadDeadline(time.Now().Add(expectWait))
		_, err := w.br.Peek(1)
		_ = w.conn.SetReadDeadline(time.Now().Add(c.limit + callerPatience))
		if err == nil {
			resp, err := http.ReadResponse(w.br, nil)
			if err != nil || resp.StatusCode != http.StatusContinue {
				return resp, err
			}
		}
		_, err = io.WriteString(w.conn, first+last)
		return nil, err
	case bodyLongStalled:
		_, err := io.WriteString(w.conn, head+first)
		return nil, err
	case bodyLengthInPieces, bodyChunksInPieces, bodyCutChunks, bodyLongCutChunks:
		if _, err := io.WriteString(w.conn, head+first); err != nil {
			return nil, err
		}
		time.Sleep(piecePause)
		_, err := io.WriteString(w.conn, last)
		if half, ok := w.conn.(*net.TCPConn); ok && c.body.incomplete() && err == nil {
			err = half.CloseWrite()
		}
		return nil, err
	}
	_, err := io.WriteString(w.conn, head+first+last)
	return nil, err
}

// readResponse returns the final response.
func (w *rawCaller) readResponse() (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(w.br, nil)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}
