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

// fakeRunner records the call and returns a fixed response or problem.
type fakeRunner struct {
	call     *wire.Call
	response *wire.Response
	problem  *wire.Problem
}

func (r *fakeRunner) Run(_ context.Context, call *wire.Call) (*wire.Response, *wire.Problem) {
	r.call = call
	return r.response, r.problem
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

// A posting is relayed. The receiver must get the same request with the same
// customer, and the sender must get the receiver's problem unchanged.
func TestCallAndRejectionArriveUnchanged(t *testing.T) {
	g := NewWithT(t)
	r := &fakeRunner{problem: wire.NotRunProblem(wire.TypeOverRate, "later", 1500*time.Millisecond)}
	address := serve(t, &relay.Server{PostingRunner: r, MaxBodyBytes: 1 << 20})
	_, problem := sendTo(t, address)
	g.Expect(problem).To(Equal(r.problem))
	g.Expect(r.call.Path + "?" + r.call.RawQuery).To(Equal("/w%2F1?a=b"))
	g.Expect(r.call.Service + r.call.Customer + r.call.KeyDigest).To(Equal("postingfarmd"))
	g.Expect(r.call.Header.Get("X-Own")).To(Equal("1"))
	g.Expect(r.call.Header).NotTo(HaveKey(wire.HeaderCustomer))
}

// A server that is not a daemon of this version responds at a peer's address. The
// request was sent, so the problem must be may-have-run for any response that is
// not a valid problem.
func TestInvalidResponsesMayHaveRun(t *testing.T) {
	for name, body := range map[string]string{
		"no problem":       `hello`,
		"no outcome":       `{"type":"no-room","status":503}`,
		"unknown outcome":  `{"type":"no-room","status":503,"outcome":"never"}`,
		"ran as problem":   `{"type":"x","status":503,"outcome":"ran"}`,
		"invalid status":   `{"type":"no-room","status":7,"outcome":"not-run"}`,
		"peer unreachable": `{"type":"no-room","status":7,"outcome":"not-run","PeerUnreachable":true}`,
		"truncated":        `{"type":"no-room","status":503,"outcome":"not-r`,
		"too long":         strings.Repeat(" ", 20<<10) + `{"type":"no-room","status":503,"outcome":"not-run"}`,
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

// A peer is paused while it sends a body. The receiver must reject the request at
// the caller's deadline and must not run it with the incomplete body.
func TestIncompleteBodyTimesOut(t *testing.T) {
	g := NewWithT(t)
	r := &fakeRunner{}
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

// deadlineRunner waits until the context of a call ends. For the path /live, it
// responds immediately, with a problem if the context has already ended.
type deadlineRunner struct{}

func (deadlineRunner) Run(ctx context.Context, call *wire.Call) (*wire.Response, *wire.Problem) {
	if call.Path != "/live" {
		<-ctx.Done()
		return nil, wire.NotRunProblem(wire.TypeDeadline, "no room", 0)
	}
	if ctx.Err() != nil {
		return nil, wire.NotRunProblem(wire.TypeDeadline, ctx.Err().Error(), 0)
	}
	return &wire.Response{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
}

// A call waits at its handler until its deadline and is rejected, and the next call
// arrives on the same connection. The read deadline of the first call must not
// cancel the context of the connection. If it does, later calls are immediately
// rejected for lack of room before the deadline, although there is room.
func TestConnectionIsReusableAfterDeadline(t *testing.T) {
	for name, body := range map[string]string{"no body": "", "body": "complete"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := serve(t, &relay.Server{HandleRunner: deadlineRunner{}, MaxBodyBytes: 1 << 20})
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
			reader := bufio.NewReader(conn)
			request := func(path string, budgetMs int) *http.Response {
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
				expired := request("late", 5)
				g.Expect(expired.StatusCode).To(Equal(http.StatusGatewayTimeout))
				g.Expect(expired.Close).To(BeFalse(), "the connection must stay reusable")
				g.Expect(request("live", 20_000).StatusCode).To(Equal(http.StatusOK))
			}
		})
	}
}
