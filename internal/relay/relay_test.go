package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/relay"
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/wire"
)

// runner answers with what it was given, and remembers the call.
type runner struct {
	call    *wire.Call
	answer  *wire.Response
	problem *wire.Problem
}

func (r *runner) Run(_ context.Context, call *wire.Call) (*wire.Response, *wire.Problem) {
	r.call = call
	return r.answer, r.problem
}

func serve(t *testing.T, h http.Handler) (address string) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func sendTo(t *testing.T, address string) (*wire.Response, *wire.Problem) {
	t.Helper()
	client := upstream.NewClient(nil)
	t.Cleanup(client.Close)
	call := &wire.Call{
		Service: "posting", Path: "/w%2F1", RawQuery: "a=b", Method: http.MethodPost,
		Header: http.Header{"X-Own": {"1"}}, Customer: "farm", KeyDigest: "d", Deadline: time.Now().Add(20 * time.Second),
	}
	return relay.NewClient(client, "http", "vt-1").Send(context.Background(), address, wire.RolePosting, call)
}

// A posting crosses the relay: the receiver must get the same request for the
// same customer, and the sender the receiver's own refusal word for word.
func TestCallAndRefusalCrossUnchanged(t *testing.T) {
	g := NewWithT(t)
	r := &runner{problem: wire.NotRunProblem(wire.TypeOverRate, "later", 1500*time.Millisecond)}
	address := serve(t, &relay.Server{PostingRunner: r, MaxBodyBytes: 1 << 20})
	_, problem := sendTo(t, address)
	g.Expect(problem).To(Equal(r.problem))
	g.Expect(r.call.Path + "?" + r.call.RawQuery).To(Equal("/w%2F1?a=b"))
	g.Expect(r.call.Service + r.call.Customer + r.call.KeyDigest).To(Equal("postingfarmd"))
	g.Expect(r.call.Header.Get("X-Own")).To(Equal("1"))
	g.Expect(r.call.Header).NotTo(HaveKey(wire.HeaderCustomer))
}

// Something that is not a daemon of this version answers at a peer's address.
// Whatever it says, the request was sent, so it may have run.
func TestWhatProvesNothing(t *testing.T) {
	for name, body := range map[string]string{
		"no problem":     `hello`,
		"no outcome":     `{"type":"no-room","status":503}`,
		"odd outcome":    `{"type":"no-room","status":503,"outcome":"never"}`,
		"ran as problem": `{"type":"x","status":503,"outcome":"ran"}`,
		"odd status":     `{"type":"no-room","status":7,"outcome":"not-run"}`,
		"unreached":      `{"type":"no-room","status":7,"outcome":"not-run","PeerUnreachable":true}`,
		"cut":            `{"type":"no-room","status":503,"outcome":"not-r`,
		"too long":       strings.Repeat(" ", 20<<10) + `{"type":"no-room","status":503,"outcome":"not-run"}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, body)
			}))
			_, problem := sendTo(t, address)
			g.Expect(problem.Outcome).To(Equal(wire.OutcomeMayHaveRun))
			g.Expect(problem.PeerUnreachable).To(BeFalse())
		})
	}
}

// A peer is paused in the middle of a body. The receiver must give up at the
// caller's deadline and not run the part.
func TestPausedPeerIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	r := &runner{}
	address := serve(t, &relay.Server{HandleRunner: r, MaxBodyBytes: 1 << 20})
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /relay/posting/x HTTP/1.1\r\nHost: x\r\n%s: 100\r\nContent-Length: 9\r\n\r\nhalf", wire.HeaderBudgetMs)
	g.Expect(err).NotTo(HaveOccurred())
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Header.Get(wire.HeaderOutcome)).To(Equal(string(wire.OutcomeNotRun)))
	g.Expect(r.call).To(BeNil())
}

// untilDeadline waits until a call's context ends, unless its path is /live:
// then it answers how the context is.
type untilDeadline struct{}

func (untilDeadline) Run(ctx context.Context, call *wire.Call) (*wire.Response, *wire.Problem) {
	if call.Path != "/live" {
		<-ctx.Done()
		return nil, wire.NotRunProblem(wire.TypeDeadline, "no room", 0)
	}
	if ctx.Err() != nil {
		return nil, wire.NotRunProblem(wire.TypeDeadline, ctx.Err().Error(), 0)
	}
	return &wire.Response{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
}

// A call waits at its handler until its deadline and is refused; the next one
// comes on the same connection. A farmer was told at once that there was no
// room before the deadline, again and again, though there was room: the first
// call's bound on reading had ended the connection's context.
func TestDeadlineDoesNotSpoilTheConnection(t *testing.T) {
	for name, body := range map[string]string{"no body": "", "body": "whole"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := serve(t, &relay.Server{HandleRunner: untilDeadline{}, MaxBodyBytes: 1 << 20})
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
			reader := bufio.NewReader(conn)
			ask := func(path string, budgetMs int) *http.Response {
				_, err := fmt.Fprintf(conn, "POST /relay/posting/%s HTTP/1.1\r\nHost: x\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
					path, wire.HeaderBudgetMs, budgetMs, len(body), body)
				g.Expect(err).NotTo(HaveOccurred())
				resp, err := http.ReadResponse(reader, nil)
				g.Expect(err).NotTo(HaveOccurred())
				_, err = io.Copy(io.Discard, resp.Body)
				g.Expect(err).NotTo(HaveOccurred())
				return resp
			}
			for range 20 {
				late := ask("late", 5)
				g.Expect(late.StatusCode).To(Equal(http.StatusGatewayTimeout))
				g.Expect(late.Close).To(BeFalse(), "the connection is to be used again")
				g.Expect(ask("live", 20_000).StatusCode).To(Equal(http.StatusOK))
			}
		})
	}
}
