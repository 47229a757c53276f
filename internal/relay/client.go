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
	// maxProblemBytes bounds a peer's refusal.
	maxProblemBytes = 16 << 10
	maxStatus       = 599
)

// ErrInvalidResponse reports a response of a peer that has no valid outcome.
var ErrInvalidResponse = errors.New("relay: answer without outcome")

// Client passes calls to other daemons. It is safe for concurrent use.
type Client struct {
	client *upstream.Client
	scheme string
	self   string
}

// NewClient returns a relay client that sends as instance self; scheme is
// http or https.
func NewClient(client *upstream.Client, scheme, self string) *Client {
	return &Client{client: client, scheme: scheme, self: self}
}

// Send passes a call to the relay listener at address, which acts by role.
// The problem is the peer's own refusal, or says what may be concluded where
// the peer did not answer.
func (c *Client) Send(ctx context.Context, address, role string, call *wire.Call) (*wire.Response, *wire.Problem) {
	req, err := c.request(ctx, address, role, call)
	if err != nil {
		return nil, wire.NotRunProblem(wire.TypeBadRequest, err.Error(), 0)
	}
	resp, sent, err := c.client.Send(req) //nolint:bodyclose // the answer's reader closes it
	if err != nil {
		return nil, lost(ctx, sent, err)
	}
	if wire.Outcome(resp.Header.Get(wire.HeaderOutcome)) == wire.OutcomeRan {
		return &wire.Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
	}
	return nil, readProblem(resp)
}

func (c *Client) request(ctx context.Context, address, role string, call *wire.Call) (*http.Request, error) {
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

// lost tells what may be concluded from a peer that did not answer.
func lost(ctx context.Context, sent bool, err error) *wire.Problem {
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
	if err != nil || !believable(p) {
		return wire.MayHaveRunProblem(wire.TypeUpstreamFailed, ErrInvalidResponse.Error())
	}
	return p
}

// believable tells whether a problem is one that a daemon writes. Anything
// else proves nothing: passing on a not-run that nobody vouched for, or a
// status that net/http panics on, would be worse than a doubt.
func believable(p *wire.Problem) bool {
	if p.Status < http.StatusBadRequest || p.Status > maxStatus || p.RetryAfterMs < 0 {
		return false
	}
	return p.Outcome == wire.OutcomeNotRun || p.Outcome == wire.OutcomeMayHaveRun
}
