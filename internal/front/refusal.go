package front

import (
	"net/http"
	"time"
)

// Cause says why a request was not answered by an upstream. It stands in logs,
// metrics and the body of the answer.
type Cause string

// Causes.
const (
	CauseNoConfiguration      Cause = "no-configuration"
	CauseStandby              Cause = "standing-by"
	CauseConfigurationStale   Cause = "configuration-behind"
	CauseNoRoute              Cause = "no-route"
	CauseNoKey                Cause = "no-key"
	CauseUnknownKey           Cause = "unknown-key"
	CauseKeysStale            Cause = "keys-not-confirmed"
	CauseTooLarge             Cause = "body-too-large"
	CauseBadBody              Cause = "body-broken"
	CauseOverRate             Cause = "over-rate"
	CauseNoUpstream           Cause = "no-upstream"
	CauseOverloaded           Cause = "overloaded"
	CauseUpstreamsShed        Cause = "upstreams-shed"
	CauseUpstreamsUnreachable Cause = "upstreams-unreachable"
	CauseResponseLost         Cause = "answer-lost"
	CauseTimeout              Cause = "timeout"
	CauseCallerLeft           Cause = "caller-left"
)

// refusal is an answer of the entry host's own.
type refusal struct {
	status int
	cause  Cause
	// retryAfter is set where the caller is asked to return.
	retryAfter time.Duration
	// reason is what the choice of an upstream went by; nil where the cause says all.
	reason error
}

// How long callers are told to stay away, where no better figure is known.
const (
	// retrySoon: the condition ends within a heartbeat or two, or another host
	// serves the request at once.
	retrySoon = 150 * time.Millisecond
	// retryCold: cold or crashed upstreams take seconds.
	retryCold = 400 * time.Millisecond
)

func unavailable(cause Cause, comeBack time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, cause: cause, retryAfter: comeBack}
}

func denied(status int, cause Cause) *refusal { return &refusal{status: status, cause: cause} }

// withReason adds what the decision went by, for the log.
func (f *refusal) withReason(why error) *refusal {
	f.reason = why
	return f
}
