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

// Timeouts and retries of requests.
const (
	// requestTimeout exceeds the longest time that a daemon needs to complete a
	// write to a slow store: two reads and three writes of 2 s each.
	requestTimeout = 15 * time.Second
	// A change of unknown outcome is looked up by its id up to
	// outcomeQueryAttempts times, outcomeQueryInterval apart.
	outcomeQueryAttempts = 5
	outcomeQueryInterval = 400 * time.Millisecond
)

// ErrUnreachable reports that no daemon responded.
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
	return "outcome-unknown: the change may have taken effect\ncheck:        balsamctl config change " + e.ChangeID +
		"\nsubmit again: the same command with --change-id " + e.ChangeID + ", which applies the change at most once"
}

// Client is a client of the operators' API. It sends a request to its daemons in
// turn until one responds.
type Client struct {
	daemons []*sling.Sling
}

// NewClient returns a client of the daemons whose operators' listeners are at
// addresses.
func NewClient(addresses ...string) *Client {
	client := &http.Client{Timeout: requestTimeout}
	c := &Client{}
	for _, address := range addresses {
		c.daemons = append(c.daemons, sling.New().Client(client).Base("http://"+address))
	}
	return c
}

// Config returns the stored configuration.
func (c *Client) Config() (operator.ConfigResponse, error) {
	var response operator.ConfigResponse
	return response, c.get("/v1/config", &response)
}

// Changes returns the recent changes.
func (c *Client) Changes() (operator.ChangesResponse, error) {
	var response operator.ChangesResponse
	return response, c.get("/v1/changes", &response)
}

// Change returns the recent change with an id.
func (c *Client) Change(id string) (config.Change, error) {
	var response config.Change
	return response, c.get("/v1/changes/"+url.PathEscape(id), &response)
}

// Fleet returns the status of the fleet as seen by the responding daemon.
func (c *Client) Fleet() (operator.FleetResponse, error) {
	var response operator.FleetResponse
	return response, c.get("/v1/fleet", &response)
}

// Explain returns how a customer's request that enters in the zone from would be
// routed.
func (c *Client) Explain(service, customer, from string) (operator.Explanation, error) {
	var response operator.Explanation
	query := url.Values{"service": {service}, "customer": {customer}, "from": {from}}
	return response, c.get("/v1/explain?"+query.Encode(), &response)
}

// Patch submits a merge patch that is based on version base, under a new change
// id.
func (c *Client) Patch(base uint64, merge []byte) (operator.ConfigResponse, error) {
	return c.Submit(base, merge, uuid.NewString())
}

// Submit submits a merge patch that is based on version base, under the change id
// id. The patch may safely be sent to several daemons in turn, since a change id
// is applied at most once. The error is an *OutcomeUnknownError if the outcome
// could not be determined.
func (c *Client) Submit(base uint64, merge []byte, id string) (operator.ConfigResponse, error) {
	mayBeApplied := false
	err := ErrUnreachable
	for _, daemon := range c.daemons {
		var response operator.ConfigResponse
		s := daemon.New().Patch("/v1/config").
			Set(operator.HeaderIfMatch, strconv.Quote(strconv.FormatUint(base, 10))).
			Set(operator.HeaderChangeID, id).
			Body(bytes.NewReader(merge))
		if err = doRequest(s, &response); err == nil {
			return response, nil
		}
		var apiErr *APIError
		switch {
		case !errors.As(err, &apiErr):
			mayBeApplied = mayBeApplied || !isDialError(err)
		case apiErr.exitCode() == ExitUnknown:
			mayBeApplied = true
		case apiErr.exitCode() != ExitUnavailable:
			return response, err
		}
	}
	if !mayBeApplied {
		return operator.ConfigResponse{}, err
	}
	return c.resolveOutcome(base, id)
}

// resolveOutcome looks up whether a change was applied. If the stored version is
// above the change's base and the change is not among the recent changes, the
// change was rejected as stale.
func (c *Client) resolveOutcome(base uint64, id string) (operator.ConfigResponse, error) {
	for attempt := range outcomeQueryAttempts {
		if attempt > 0 {
			time.Sleep(outcomeQueryInterval)
		}
		change, err := c.Change(id)
		if err == nil {
			return operator.ConfigResponse{Version: change.Version}, nil
		}
		var apiErr *APIError
		if errors.As(err, &apiErr) && apiErr.Failure.Type == operator.FailureNoSuchChange && apiErr.Failure.CurrentVersion > base {
			apiErr.Failure.Type, apiErr.Failure.Detail = operator.FailureStaleVersion, "another change was made first"
			return operator.ConfigResponse{}, apiErr
		}
	}
	return operator.ConfigResponse{}, &OutcomeUnknownError{ChangeID: id}
}

// get sends a GET request to the daemons in turn until one of them can serve it.
func (c *Client) get(path string, result any) error {
	err := ErrUnreachable
	for _, daemon := range c.daemons {
		err = doRequest(daemon.New().Get(path), result)
		var apiErr *APIError
		if err == nil || (errors.As(err, &apiErr) && apiErr.exitCode() != ExitUnavailable) {
			return err
		}
	}
	return err
}

// transportError reports a request that received no valid HTTP response.
type transportError struct{ cause error }

func (e *transportError) Error() string { return ErrUnreachable.Error() + ": " + e.cause.Error() }

// Is makes errors.Is(err, ErrUnreachable) true for a transportError.
func (e *transportError) Is(target error) bool { return target == ErrUnreachable }

func doRequest(s *sling.Sling, result any) error {
	var failure json.RawMessage
	resp, err := s.Receive(result, &failure) //nolint:bodyclose // sling closes it
	if err != nil {
		return &transportError{err}
	}
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	apiErr := &APIError{Status: resp.StatusCode}
	_ = json.Unmarshal(failure, &apiErr.Failure)
	return apiErr
}
