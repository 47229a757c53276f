// Package wire defines the HTTP interface of the callers' and relay listeners: its
// headers, outcomes and problem types, which are the contract with callers, and the
// calls and responses that daemons exchange.
package wire

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"balsambarrow/internal/traffic"
)

// Headers that callers send or receive.
const (
	HeaderOutcome        = "Balsam-Outcome"
	HeaderTimeoutMs      = "Balsam-Timeout-Ms"
	HeaderCustomer       = "Balsam-Customer"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HeaderShed is the header by which an upstream declares in a 503 response that it
// ran no part of the request. Its value is ShedNotRun. A 503 response without the
// header does not prove that the request did not run.
const (
	HeaderShed = "Balsam-Shed"
	ShedNotRun = "not-run"
)

// Headers between daemons, used on the relay listener only. They are removed from
// requests of callers.
const (
	// HeaderKeyDigest is the SHA-256 digest of the caller's key. With it, the
	// handler can reject a key that was withdrawn after authentication. The key
	// itself is never sent.
	HeaderKeyDigest = "Balsam-Key-Digest"
	// HeaderRole is the role of the receiver, one of the Role constants.
	HeaderRole = "Balsam-Role"
	// HeaderBudgetMs is the remaining time budget of the caller at the time of
	// sending.
	HeaderBudgetMs = "Balsam-Budget-Ms"
	// HeaderQueuedMs is the queueing delay of the request at the handler. The
	// entry host removes it from the response.
	HeaderQueuedMs = "Balsam-Queued-Ms"
	// HeaderFrom is the instance of the sending daemon.
	HeaderFrom = "Balsam-From"
)

// Roles of the receiver of a relayed request.
const (
	// RoleHandle means that the receiver runs the request on an upstream of its
	// own zone.
	RoleHandle = "handle"
	// RolePosting means that the posting id names the receiver's instance,
	// which admits the request and runs it once.
	RolePosting = "posting"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// Outcomes.
const (
	// OutcomeRan means that an upstream ran the request and returned the
	// response.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that no upstream has run or will run any part of the
	// request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeMayHaveRun means that an upstream may have run the request.
	OutcomeMayHaveRun Outcome = "may-have-run"
)

// Problem is an error response in the format of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Outcome is OutcomeRan only for TypeAnswerNotKept.
	Outcome Outcome `json:"outcome"`
	// RetryAfterMs is the time after which a retry can succeed; 0 if unknown.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// PeerUnreachable reports that this daemon could not send the request to
	// the peer. It is not encoded, so the problem in a response of a peer never
	// sets it.
	PeerUnreachable bool `json:"-"`
}

// MergeEarlier returns the problem p of the latest attempt of a request, with the
// outcome of all attempts. If an earlier attempt may have run, the request may have
// run, even if the latest attempt was rejected.
func (p *Problem) MergeEarlier(earlier *Problem) *Problem {
	if earlier == nil || earlier.Outcome != OutcomeMayHaveRun || p.Outcome == OutcomeMayHaveRun {
		return p
	}
	merged := *p
	merged.Outcome = OutcomeMayHaveRun
	return &merged
}

// Truthful returns the problem with a status that agrees with its outcome: 502, without a retry delay, in place of
// one that promises that a request has not run which may have.
func (p *Problem) Truthful() *Problem {
	if p.Outcome == OutcomeNotRun || !traffic.PromisesNotRun(p.Status) {
		return p
	}
	out := *p
	out.Status, out.RetryAfterMs = http.StatusBadGateway, 0
	return &out
}

// Error implements the error interface.
func (p *Problem) Error() string { return p.Type + ": " + p.Detail }

// Problem types.
const (
	TypeBadRequest      = "bad-request"
	TypeUnknownKey      = "unknown-key"
	TypeForbidden       = "forbidden"
	TypeUnknownService  = "unknown-service"
	TypeOverRate        = "over-rate"
	TypeNoRoom          = "no-room"
	TypeNoConfiguration = "no-configuration"
	TypeDeadline        = "deadline"
	TypeUpstreamFailed  = "upstream-failed"
	TypeOutcomeUnknown  = "outcome-unknown"
	TypeStalePostingID  = "stale-posting-id"
	TypeTooLarge        = "too-large"
	// TypeUpstreamShed means that an upstream responded with status 503.
	TypeUpstreamShed = "upstream-shed"
	// TypePostingIDReused means that the posting id was used before with
	// another request.
	TypePostingIDReused = "posting-id-reused"
	// TypeAnswerNotKept means that the posting ran and its response was too
	// large to store.
	TypeAnswerNotKept = "answer-not-kept"
)

var statusByType = map[string]int{
	TypeBadRequest:      http.StatusBadRequest,
	TypeUnknownKey:      http.StatusUnauthorized,
	TypeForbidden:       http.StatusForbidden,
	TypeUnknownService:  http.StatusNotFound,
	TypeOverRate:        http.StatusTooManyRequests,
	TypeNoRoom:          http.StatusServiceUnavailable,
	TypeNoConfiguration: http.StatusServiceUnavailable,
	TypeDeadline:        http.StatusGatewayTimeout,
	TypeUpstreamFailed:  http.StatusBadGateway,
	TypeOutcomeUnknown:  http.StatusConflict,
	TypeStalePostingID:  http.StatusConflict,
	TypeTooLarge:        http.StatusRequestEntityTooLarge,
	TypeUpstreamShed:    http.StatusServiceUnavailable,
	TypePostingIDReused: http.StatusUnprocessableEntity,
	TypeAnswerNotKept:   http.StatusConflict,
}

// NotRunProblem returns a problem for a request that has certainly not run.
func NotRunProblem(problemType, detail string, retryAfter time.Duration) *Problem {
	return &Problem{
		Type: problemType, Status: statusByType[problemType], Detail: detail,
		Outcome: OutcomeNotRun, RetryAfterMs: ceilMilliseconds(retryAfter),
	}
}

// MayHaveRunProblem returns a problem for a request that may have run.
func MayHaveRunProblem(problemType, detail string) *Problem {
	return &Problem{Type: problemType, Status: statusByType[problemType], Detail: detail, Outcome: OutcomeMayHaveRun}
}

// ceilMilliseconds converts d to milliseconds and rounds up, because a caller that
// retries a fraction of a millisecond too early would be rejected again.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// Write writes the problem as the response.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfterMs > 0 {
		h.Set("Retry-After", strconv.FormatInt((p.RetryAfterMs+999)/1000, 10))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
