package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsambarrow/internal/standin"
	"balsambarrow/internal/tcpreset"
)

// connEnd is what an upstream does with a connection after a reply.
type connEnd int

const (
	endKeep connEnd = iota
	endClose
	endReset
	// endSilent keeps the connection and replies nothing.
	endSilent
)

// reply is how an upstream replies to one attempt; status 0: not at all.
type reply struct {
	status int
	// statement is the value of the header that says that the request did not run; "": no such header.
	statement string
	// early is set if the reply is sent before the body is read.
	early   bool
	chunked bool
	// copies are sent after the reply.
	copies int
	end    connEnd
	// long is set if the body exceeds what a host holds of a response.
	long bool
}

// String describes the reply, status and statement first.
func (r reply) String() string {
	return fmt.Sprintf("%d said=%q early=%v chunked=%v copies=%d end=%d long=%v", r.status, r.statement, r.early, r.chunked, r.copies, r.end, r.long)
}

// invitesAnother reports whether a host might send the request again after the reply.
func (r reply) invitesAnother() bool {
	return r.status == http.StatusMisdirectedRequest || r.statement != ""
}

// runs reports whether the upstream has run the request. By its protocol it has not only if it states so, with a status
// that does not count as run, or if it is not the instance that was meant.
func (r reply) runs() bool {
	switch r.status {
	case http.StatusMisdirectedRequest:
		return false
	case http.StatusInternalServerError, http.StatusGatewayTimeout:
		return true
	}
	return r.statement != "1"
}

// text returns the response to a request.
func (r reply) text(id string) string {
	head := fmt.Sprintf("HTTP/1.1 %d x\r\nX-Request-Id: %s\r\nX-Response-Signature: s\r\n", r.status, id)
	if r.statement != "" {
		head += "X-Not-Executed: " + r.statement + "\r\n"
	}
	if r.end == endClose {
		head += "Connection: close\r\n"
	}
	body := "answer"
	if r.long {
		body = strings.Repeat("a", longResponse)
	}
	if r.chunked {
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// longResponse exceeds what a host holds of a response before it forwards it, in bytes.
const longResponse = 1_200_000

// addUpstream starts an upstream that replies to each cell as the cell says.
func (m *matrix) addUpstream(id, service, zone string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c, id)
		}
	}()
	m.tasks.Go(func() {
		p := standin.PlatformUpstream{ID: id, Slots: 1000}
		for sequence := 1; ; sequence++ {
			m.c.store.Put("servers/"+id, p.RegistryEntry(service, l.Addr().String(), zone, "ready", sequence))
			if sleepUntil(m.stop, time.Second) {
				return
			}
		}
	})
}

// serve serves one connection.
func (m *matrix) serve(c net.Conn, instance string) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		answer, number := reply{status: http.StatusOK}, 0
		cell := m.find(id)
		if cell != nil {
			answer, number = cell.begin(instance)
		}
		if !answer.early {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		if cell != nil {
			cell.awaitReply(r, number)
		}
		if answer.status > 0 {
			_, _ = io.WriteString(c, strings.Repeat(answer.text(id), 1+answer.copies))
		}
		switch answer.end {
		case endClose:
			return
		case endReset:
			tcpreset.Enable(c)
			return
		case endSilent:
			_, _ = io.Copy(io.Discard, br)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// begin records an attempt, and returns its reply and its number.
func (c *cell) begin(instance string) (reply, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := c.attempts
	c.attempts++
	if number == 0 {
		close(c.arrived)
	}
	answer := c.replies[min(number, len(c.replies)-1)]
	if answer.runs() {
		c.runs = append(c.runs, fmt.Sprintf("attempt %d at %s: %v", number+1, instance, answer))
	}
	return answer, number
}

// awaitReply waits until the reply to an attempt is due.
func (c *cell) awaitReply(r *http.Request, number int) {
	if c.held != nil && number == 0 {
		<-c.held
	}
	if c.late == nil || number != c.lateAt {
		return
	}
	if ms, err := strconv.Atoi(r.Header.Get(deadlineHeader)); err == nil {
		time.Sleep(time.Duration(ms)*time.Millisecond + *c.late)
	}
}
