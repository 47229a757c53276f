package front

import (
	"net/http"

	"balsambarrow/internal/traffic"
)

// Execution is what the host knows about whether a request has run, over all attempts at upstreams.
type Execution int

// Values of Execution.
const (
	// NotSent: no upstream has received any part of the request.
	NotSent Execution = iota
	// NotRun: each upstream that has received the request has stated that it did not run it.
	NotRun
	// MayHaveRun: an upstream has run the request, may have run it, or may still run it.
	MayHaveRun
)

// String returns the value for logs and metrics.
func (e Execution) String() string {
	return [...]string{NotSent: "not-sent", NotRun: "not-run", MayHaveRun: "may-have-run"}[e]
}

// PromisesNotRun reports whether the status of the response promises that the request has not run. The promise is
// true unless Execution is MayHaveRun.
func (o Observation) PromisesNotRun() bool { return traffic.PromisesNotRun(o.Status) }

// impliesNotRun reports whether a status of the host itself says that the request did not run.
func impliesNotRun(status int) bool {
	return traffic.PromisesNotRun(status) || status == http.StatusUnauthorized
}

// truthful returns the refusal with a status that agrees with the attempts: 502 in place of one that denies that
// the request may have run.
func (a *attempts) truthful(f *refusal) *refusal {
	if a.execution != MayHaveRun || !impliesNotRun(f.status) {
		return f
	}
	return &refusal{status: http.StatusBadGateway, cause: f.cause, reason: f.reason}
}

// withdrawPromise replaces the status of a response by 502 if it promises that the request has not run, while the
// upstream does not state that: the caller may repeat a request that must not run twice. Requests that may
// run twice keep the response as it is.
func (h *Handler) withdrawPromise(q *request, resp *response) {
	if resp.notRun || h.idempotent(q) || !traffic.PromisesNotRun(resp.status) {
		return
	}
	h.Log.Info("promise of upstream withdrawn", "id", q.ID, "status", resp.status, "tried", q.attempts.tried)
	resp.status = http.StatusBadGateway
	h.Codec.ReplaceStatus(resp.header)
}

// executionAfter returns what the end of an attempt that was sent says about the execution.
func executionAfter(end outcome) Execution {
	if end == outcomeShed {
		return NotRun
	}
	return MayHaveRun
}
