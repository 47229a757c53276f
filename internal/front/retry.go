package front

import "balsambarrow/internal/retry"

// maxUnreachable is the number of unreachable upstreams after which a further
// upstream is still tried. Unreachable upstreams do not count as attempts of the
// route, since they received nothing of the request.
const maxUnreachable = 2

// RetryDecision is the decision whether a request is sent to another upstream after an
// attempt that did not answer it.
type RetryDecision string

// Retry decisions.
const (
	RetryAllowed RetryDecision = "allowed"
	// RetryBodyGone: the body of the request is not held any more.
	RetryBodyGone RetryDecision = "body-gone"
	// RetryNoTime: the time left is shorter than any recent answer to a request of the route.
	RetryNoTime RetryDecision = "no-time"
	// RetryUnreachable: too many upstreams were unreachable.
	RetryUnreachable RetryDecision = "unreachable"
	// RetryNotIdempotent: the request may have run, and must not run twice.
	RetryNotIdempotent RetryDecision = "not-idempotent"
	// RetryMaxAttempts: the route allows no further attempt.
	RetryMaxAttempts RetryDecision = "max-attempts"
	// RetryNoBudget: the retry budget of the service is exhausted.
	RetryNoBudget RetryDecision = "no-budget"
)

// checkRetry decides whether the request may be sent to another upstream after an
// attempt that did not answer it. It returns nil if so, else the refusal to send.
func (h *Handler) checkRetry(q *request, end outcome, unreachable int) *refusal {
	decision := h.decideRetry(q, end, unreachable)
	h.recordRetry(q, end.String(), decision)
	if decision == RetryAllowed {
		return nil
	}
	return h.unservedRefusal(q)
}

// recordRetry logs and counts a decision; after is what it follows.
func (h *Handler) recordRetry(q *request, after string, decision RetryDecision) {
	h.ObserveRetry(decision)
	now := h.Now()
	budget := h.RetryBudget.State(now, q.service)
	h.Log.Info("retry", "id", q.ID, "service", q.service, "after", after, "decision", string(decision), "sends", q.attempts.sends,
		"time_left", q.deadline.Sub(now), "budget_requests", budget.Requests, "budget_retries", budget.Retries,
		"budget_slack", budget.Slack, "budget_hosts", budget.Hosts, "budget_wait", budget.Wait)
}

func (h *Handler) decideRetry(q *request, end outcome, unreachable int) RetryDecision {
	switch {
	case !q.body.replayable():
		return RetryBodyGone
	case q.deadline.Sub(h.Now()) < max(retry.MinTime, h.latencies.shortestAttempt(h.Now(), q.route.Name)):
		return RetryNoTime
	case end == outcomeUnsent && unreachable > maxUnreachable:
		return RetryUnreachable
	case end == outcomeUnsent:
		return RetryAllowed
	case end != outcomeShed && !h.idempotent(q):
		return RetryNotIdempotent
	case q.attempts.sends >= q.route.MaxAttempts:
		return RetryMaxAttempts
	case h.RetryBudget.Exhausted(h.Now(), q.service):
		return RetryNoBudget
	}
	return RetryAllowed
}

// allowSend takes the retry from the budget if an upstream has already received the request. The
// request may have waited for room since checkRetry, and another version may be in force.
func (h *Handler) allowSend(q *request) bool {
	if q.attempts.execution == MayHaveRun && !h.idempotent(q) {
		h.recordRetry(q, "wait", RetryNotIdempotent)
		return false
	}
	if q.attempts.sends == 0 || h.RetryBudget.AllowRetry(h.Now(), q.service) {
		return true
	}
	h.recordRetry(q, "wait", RetryNoBudget)
	return false
}
