package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"balsambarrow/internal/standin"
)

// request is one attempt of a caller.
type request struct {
	id, method, path, key string
	limit                 time.Duration
	body                  string
}

// answer is what a caller got. status is 0 if the connection ended without a complete answer.
type answer struct {
	status int
	body   string
	err    error
	sentAt time.Time
	took   time.Duration
}

// connection is a connection of a caller to an entry host.
type connection struct {
	net.Conn
	br *bufio.Reader
	// served is the number of answers so far, and closing is set once the host has announced that it
	// closes the connection.
	served  int
	closing bool
}

func connect(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, br: bufio.NewReader(c)}, nil
}

// send sends a request and waits for its answer until its time limit.
func (c *connection) send(r request) answer {
	a := answer{sentAt: time.Now()}
	defer func() { a.took = time.Since(a.sentAt) }()
	_ = c.SetDeadline(a.sentAt.Add(r.limit))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, standin.CallerHost, r.id, r.limit.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	if r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	if _, a.err = io.WriteString(c, b.String()); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.body = resp.StatusCode, string(body)
	a.took = time.Since(a.sentAt)
	c.served++
	c.closing = c.closing || resp.Close
	return a
}

// sendOnce sends a request on a connection of its own.
func sendOnce(address string, r request) answer {
	c, err := connect(address)
	if err != nil {
		return answer{err: err, sentAt: time.Now()}
	}
	defer func() { _ = c.Close() }()
	return c.send(r)
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprint(a.status)
}

// result returns the status, or "no answer".
func (a answer) result() string {
	if a.err != nil {
		return "no answer"
	}
	return fmt.Sprint(a.status)
}
