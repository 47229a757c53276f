package relay

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/telemetry"
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/wire"
)

const (
	// maxProblemBytes limits the size of a problem in a peer's response.
	maxProblemBytes = 16 << 10
	maxHTTPStatus   = 599
)

// ErrInvalidResponse reports a response of a peer that has no valid outcome.
var ErrInvalidResponse = errors.New("relay: answer without outcome")

// Client sends calls to other daemons. It is safe for concurrent use.
type Client struct {
	client *upstream.Client
	scheme string
	self   string
}

// NewClient returns a relay client that identifies itself as the instance self.
// The scheme is http or https.
func NewClient(client *upstream.Client, scheme, self string) *Client {
	return &Client{client: client, scheme: scheme, self: self}
}

// Send sends a call to the relay listener at address, which handles it according
// to role. The problem is the one that the peer returned. If the peer did not
// respond, the problem tells whether the call may have run.
func (c *Client) Send(ctx context.Context, address, role string, call *wire.Call) (*wire.Response, *wire.Problem) {
	req, err := c.newRequest(ctx, address, role, call)
	if err != nil {
		return nil, wire.NotRunProblem(wire.TypeBadRequest, err.Error(), 0)
	}
	resp, sent, err := c.client.Send(req) //nolint:bodyclose // the reader of the response closes it
	if err != nil {
		return nil, noResponseProblem(ctx, sent, err)
	}
	if wire.Outcome(resp.Header.Get(wire.HeaderOutcome)) == wire.OutcomeRan {
		return &wire.Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
	}
	return nil, readProblem(resp)
}

func (c *Client) newRequest(ctx context.Context, address, role string, call *wire.Call) (*http.Request, error) {
	req, err := call.NewRequest(ctx, c.scheme+"://"+address+"/relay/"+call.Service)
	if err != nil {
		return nil, err
	}
	req.Header.Set(wire.HeaderRole, role)
	req.Header.Set(wire.HeaderFrom, c.self)
	req.Header.Set(wire.HeaderCustomer, call.Customer)
	req.Header.Set(wire.HeaderKeyDigest, call.KeyDigest)
	req.Header.Set(wire.HeaderBudgetMs, strconv.FormatInt(time.Until(call.Deadline).Milliseconds(), 10))
	telemetry.Inject(ctx, req.Header)
	return req, nil
}

// noResponseProblem returns the problem for a call to a peer that did not respond.
func noResponseProblem(ctx context.Context, sent bool, err error) *wire.Problem {
	if !sent {
		p := wire.NotRunProblem(wire.TypeNoRoom, "peer unreachable", time.Second)
		p.PeerUnreachable = true
		return p
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return wire.MayHaveRunProblem(wire.TypeDeadline, "no answer before the deadline")
	}
	return wire.MayHaveRunProblem(wire.TypeUpstreamFailed, "connection to peer broke: "+err.Error())
}

func readProblem(resp *http.Response) *wire.Problem {
	defer func() { _ = resp.Body.Close() }()
	p := &wire.Problem{}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(p)
	if err != nil || !isValidProblem(p) {
		return wire.MayHaveRunProblem(wire.TypeUpstreamFailed, ErrInvalidResponse.Error())
	}
	return p
}

// isValidProblem reports whether a daemon could have written the problem. Any
// other response does not prove that the call did not run, so the client reports
// may-have-run. Forwarding an unproven not-run, or a status on which net/http
// panics, would be worse.
func isValidProblem(p *wire.Problem) bool {
	if p.Status < http.StatusBadRequest || p.Status > maxHTTPStatus || p.RetryAfterMs < 0 {
		return false
	}
	return p.Outcome == wire.OutcomeNotRun || p.Outcome == wire.OutcomeMayHaveRun
}
