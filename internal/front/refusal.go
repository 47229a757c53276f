package front

import (
	"net/http"
	"time"
)

// Cause is the reason why the entry host answered a request itself. It appears
// in logs, in metrics and in the body of the response.
type Cause string

// Causes.
const (
	CauseNoConfiguration      Cause = "no-configuration"
	CauseStandby              Cause = "standing-by"
	CauseStopping             Cause = "stopping"
	CauseConfigurationStale   Cause = "configuration-behind"
	CauseNoRoute              Cause = "no-route"
	CauseNoKey                Cause = "no-key"
	CauseUnknownKey           Cause = "unknown-key"
	CauseKeysStale            Cause = "keys-not-confirmed"
	CauseTooLarge             Cause = "body-too-large"
	CauseHeaderTooLarge       Cause = "header-too-large"
	CauseBadBody              Cause = "body-broken"
	CauseOverRate             Cause = "over-rate"
	CauseNoUpstream           Cause = "no-upstream"
	CauseOverloaded           Cause = "overloaded"
	CauseUpstreamsShed        Cause = "upstreams-shed"
	CauseUpstreamsUnreachable Cause = "upstreams-unreachable"
	CausePathDown             Cause = "path-down"
	CauseResponseLost         Cause = "answer-lost"
	CauseTimeout              Cause = "timeout"
	CauseCallerLeft           Cause = "caller-left"
	CauseMemoryFull           Cause = "memory-full"
	CauseBodyStalled          Cause = "body-stalled"
	CauseEndsUpstreams        Cause = "ends-upstreams"
)

// refusal is an error response that the entry host generates itself.
type refusal struct {
	status int
	cause  Cause
	// retryAfter is when the caller should retry; 0: no retry is suggested.
	retryAfter time.Duration
	// reason is the placement error, for the log; nil if cause is sufficient.
	reason error
}

// Retry delays sent to callers where no better estimate is available.
const (
	// retrySoon is for conditions that end within one or two heartbeats, or
	// where another host can serve the request immediately.
	retrySoon = 150 * time.Millisecond
	// retryElsewhere is for hosts that stop: the others can serve the request at once.
	retryElsewhere = 10 * time.Millisecond
	// retryCold is for upstreams that are cold or have crashed: they need seconds
	// to recover.
	retryCold = 400 * time.Millisecond
)

func unavailable(cause Cause, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, cause: cause, retryAfter: retryAfter}
}

func denied(status int, cause Cause) *refusal { return &refusal{status: status, cause: cause} }

// withReason adds the error behind the refusal, for the log.
func (f *refusal) withReason(err error) *refusal {
	f.reason = err
	return f
}
