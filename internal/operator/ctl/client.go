package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/operator"
)

// Timing of calls.
const (
	// requestTimeout is above what a daemon takes to settle a write with a
	// slow store: two reads and three writes of 2 s.
	requestTimeout = 15 * time.Second
	// askTries and askPause: how a change of unknown outcome is asked for.
	askTries = 5
	askPause = 400 * time.Millisecond
)

// ErrUnreachable says that no daemon answered.
var ErrUnreachable = errors.New("balsamctl: daemon unreachable")

// APIError is an error response of the operators' API.
type APIError struct {
	Status  int
	Failure operator.Failure
}

func (e *APIError) Error() string {
	text := fmt.Sprintf("%s: %s", e.Failure.Type, e.Failure.Detail)
	if e.Failure.CurrentVersion > 0 {
		text += fmt.Sprintf("\ncurrent version: %d", e.Failure.CurrentVersion)
	}
	for _, path := range e.Failure.Conflicts {
		text += "\nalso written since: " + path
	}
	for _, f := range e.Failure.Faults {
		text += "\n" + f.String()
	}
	return text
}

func (e *APIError) exitCode() int {
	switch e.Failure.Type {
	case operator.FailureStaleVersion:
		return ExitStale
	case operator.FailureInvalidConfig, operator.FailureBadRequest, operator.FailureReusedChangeID, operator.FailureTooLarge, operator.FailureNoSuchChange:
		return ExitRefused
	case operator.FailureNotApplied, operator.FailureUnavailable:
		return ExitUnavailable
	case operator.FailureOutcomeUnknown:
		return ExitUnknown
	}
	return ExitFailed
}

// OutcomeUnknownError reports that a change may or may not have taken effect.
type OutcomeUnknownError struct{ ChangeID string }

func (e *OutcomeUnknownError) Error() string {
	return "outcome-unknown: the change may have taken effect\nask:          balsamctl config change " + e.ChangeID +
		"\nsubmit again: the same command with --change-id " + e.ChangeID + ", which applies it once at most"
}

// Client talks to the operators' API of the first daemon that answers.
type Client struct {
	bases []*sling.Sling
}

// NewClient returns a client of the operators' listeners at addresses.
func NewClient(addresses ...string) *Client {
	client := &http.Client{Timeout: requestTimeout}
	c := &Client{}
	for _, address := range addresses {
		c.bases = append(c.bases, sling.New().Client(client).Base("http://"+address))
	}
	return c
}

// Config reads the configuration.
func (c *Client) Config() (operator.ConfigResponse, error) {
	var a operator.ConfigResponse
	return a, c.get("/v1/config", &a)
}

// Changes reads the recent changes.
func (c *Client) Changes() (operator.ChangesResponse, error) {
	var a operator.ChangesResponse
	return a, c.get("/v1/changes", &a)
}

// Change looks a recent change up.
func (c *Client) Change(id string) (config.Change, error) {
	var a config.Change
	return a, c.get("/v1/changes/"+url.PathEscape(id), &a)
}

// Fleet reads the fleet's status as the daemon sees it.
func (c *Client) Fleet() (operator.FleetResponse, error) {
	var a operator.FleetResponse
	return a, c.get("/v1/fleet", &a)
}

// Explain asks where a customer's request goes.
func (c *Client) Explain(service, customer, from string) (operator.Explanation, error) {
	var a operator.Explanation
	query := url.Values{"service": {service}, "customer": {customer}, "from": {from}}
	return a, c.get("/v1/explain?"+query.Encode(), &a)
}

// Patch submits a merge patch against base under a new change id.
func (c *Client) Patch(base uint64, merge []byte) (operator.ConfigResponse, error) {
	return c.Submit(base, merge, uuid.NewString())
}

// Submit submits a merge patch against base. Every daemon may be tried in
// turn, since a change id takes effect once at most. The error is an
// *OutcomeUnknownError if the outcome could not be determined.
func (c *Client) Submit(base uint64, merge []byte, id string) (operator.ConfigResponse, error) {
	doubt := false
	err := ErrUnreachable
	for _, daemon := range c.bases {
		var a operator.ConfigResponse
		s := daemon.New().Patch("/v1/config").
			Set(operator.HeaderIfMatch, strconv.Quote(strconv.FormatUint(base, 10))).
			Set(operator.HeaderChangeID, id).
			Body(bytes.NewReader(merge))
		if err = receive(s, &a); err == nil {
			return a, nil
		}
		var refused *APIError
		switch {
		case !errors.As(err, &refused):
			doubt = doubt || !neverSent(err)
		case refused.exitCode() == ExitUnknown:
			doubt = true
		case refused.exitCode() != ExitUnavailable:
			return a, err
		}
	}
	if !doubt {
		return operator.ConfigResponse{}, err
	}
	return c.settle(base, id)
}

// settle finds out what has become of a change. A change based on a version
// that is no longer current and that is not among the recent ones was refused.
func (c *Client) settle(base uint64, id string) (operator.ConfigResponse, error) {
	for try := range askTries {
		if try > 0 {
			time.Sleep(askPause)
		}
		change, err := c.Change(id)
		if err == nil {
			return operator.ConfigResponse{Version: change.Version}, nil
		}
		var refused *APIError
		if errors.As(err, &refused) && refused.Failure.Type == operator.FailureNoSuchChange && refused.Failure.CurrentVersion > base {
			refused.Failure.Type, refused.Failure.Detail = operator.FailureStaleVersion, "another change was made first"
			return operator.ConfigResponse{}, refused
		}
	}
	return operator.ConfigResponse{}, &OutcomeUnknownError{ChangeID: id}
}

// get asks the daemons in turn until one can answer.
func (c *Client) get(path string, into any) error {
	err := ErrUnreachable
	for _, daemon := range c.bases {
		err = receive(daemon.New().Get(path), into)
		var refused *APIError
		if err == nil || (errors.As(err, &refused) && refused.exitCode() != ExitUnavailable) {
			return err
		}
	}
	return err
}

// callError is a call that got no answer.
type callError struct{ cause error }

func (e *callError) Error() string { return ErrUnreachable.Error() + ": " + e.cause.Error() }

// Is makes a callError an ErrUnreachable.
func (e *callError) Is(target error) bool { return target == ErrUnreachable }

func receive(s *sling.Sling, into any) error {
	var failure json.RawMessage
	resp, err := s.Receive(into, &failure) //nolint:bodyclose // sling closes it
	if err != nil {
		return &callError{err}
	}
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	refused := &APIError{Status: resp.StatusCode}
	_ = json.Unmarshal(failure, &refused.Failure)
	return refused
}
