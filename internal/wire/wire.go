// Package wire holds the names that cross the callers' and relay listeners:
// headers, outcomes and problem types. They are the contract with callers.
package wire

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Headers that callers see.
const (
	HeaderOutcome        = "Balsam-Outcome"
	HeaderTimeoutMs      = "Balsam-Timeout-Ms"
	HeaderCustomer       = "Balsam-Customer"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HeaderShed is what an upstream may set on a 503 to declare that nothing of
// the request ran; the value is ShedNotRun. Without it a 503 proves nothing.
const (
	HeaderShed = "Balsam-Shed"
	ShedNotRun = "not-run"
)

// Headers between daemons, on the relay listener only. Whatever a caller
// sends under these names is dropped.
const (
	// HeaderKeyDigest is the SHA-256 of the caller's key, never the key, so
	// that the handler can refuse a key withdrawn meanwhile.
	HeaderKeyDigest = "Balsam-Key-Digest"
	// HeaderRole says what the receiver is to do; see the Role constants.
	HeaderRole = "Balsam-Role"
	// HeaderBudgetMs is what is left of the caller's budget when sent.
	HeaderBudgetMs = "Balsam-Budget-Ms"
	// HeaderQueuedMs is how long an answered request waited at the handler.
	// The entry host takes it out of the answer.
	HeaderQueuedMs = "Balsam-Queued-Ms"
	// HeaderFrom names the sending daemon's instance.
	HeaderFrom = "Balsam-From"
)

// Role of a relayed request's receiver.
const (
	// RoleHandle: run it on an upstream of the receiver's own zone.
	RoleHandle = "handle"
	// RolePosting: the receiver's instance is named by the posting id; it
	// admits and runs the request once.
	RolePosting = "posting"
)

// Outcome is what a caller may conclude about its request.
type Outcome string

// Outcomes.
const (
	// OutcomeRan: an upstream ran it and this is its answer.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun: no upstream has run any of it, nor will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeMayHaveRun: an upstream may have run it.
	OutcomeMayHaveRun Outcome = "may-have-run"
)

// Problem is a refusal in the form of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Outcome is OutcomeRan for TypeAnswerNotKept alone.
	Outcome Outcome `json:"outcome"`
	// RetryAfterMs is when coming back makes sense; 0: not known.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// PeerUnreachable: this daemon could not send the request to the peer at all.
	// It does not travel: a peer's own problem never bears it.
	PeerUnreachable bool `json:"-"`
}

// MergeEarlier returns p as the answer to a request that had met earlier problems.
// A doubt stays: when a first attempt may have run, a second one that was
// refused does not make the request not-run.
func (p *Problem) MergeEarlier(earlier *Problem) *Problem {
	if earlier == nil || earlier.Outcome != OutcomeMayHaveRun || p.Outcome == OutcomeMayHaveRun {
		return p
	}
	doubted := *p
	doubted.Outcome = OutcomeMayHaveRun
	return &doubted
}

// Error makes Problem an error, so that a refusal travels as one.
func (p *Problem) Error() string { return p.Type + ": " + p.Detail }

// Types of problem.
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
	// TypeUpstreamShed: an upstream answered 503.
	TypeUpstreamShed = "upstream-shed"
	// TypePostingIDReused: the posting id came before with another request.
	TypePostingIDReused = "posting-id-reused"
	// TypeAnswerNotKept: the posting ran; its answer was too large to keep.
	TypeAnswerNotKept = "answer-not-kept"
)

var statusOf = map[string]int{
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

// NotRunProblem returns a problem whose request has certainly not run.
func NotRunProblem(kind, detail string, retryAfter time.Duration) *Problem {
	return &Problem{
		Type: kind, Status: statusOf[kind], Detail: detail,
		Outcome: OutcomeNotRun, RetryAfterMs: milliseconds(retryAfter),
	}
}

// MayHaveRunProblem returns a problem whose request may have run.
func MayHaveRunProblem(kind, detail string) *Problem {
	return &Problem{Type: kind, Status: statusOf[kind], Detail: detail, Outcome: OutcomeMayHaveRun}
}

// milliseconds rounds up: a caller who comes back a fraction early is refused
// a second time.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// Write sends the problem as the answer.
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
