package front

import (
	"fmt"
	"strings"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/h1"
	"balsambarrow/internal/suspect"
	"balsambarrow/internal/traffic"
)

// attempts records the attempts of a request at upstreams.
type attempts struct {
	sends int
	// tried are the IDs of the upstreams tried.
	tried []string
	// timeLeft is the time limit that each upstream was told, or the time that was left if nothing was sent.
	timeLeft []time.Duration
	// records describe all attempts.
	records []*attemptRecord
	// execution is what is known after all attempts so far.
	execution Execution
	// pathDown is set if this host had no network path to an upstream.
	pathDown bool
	// relay is the address of the host through which the last response came; "" if it came
	// directly.
	relay string
	// current is the current attempt, and the last one after its end. avoided are the upstreams that it
	// should not be sent to.
	current suspect.Attempt
	avoided []uint64
	// longestQueueing is the longest expected queueing delay of the upstreams tried.
	longestQueueing time.Duration
	// latency is the comparison for the last response; nil if there was none.
	latency *LatencyComparison
}

// attemptRecord is what the log tells about one attempt.
type attemptRecord struct {
	instance, address string
	progress          h1.Progress
	// begun and answered are the times since the arrival of the request; answered is 0 without a response.
	begun, answered time.Duration
	// status is that of the response, and statement what it states about the execution, as it was received.
	status    int
	statement string
	// end is the outcome; "" until the attempt has ended.
	end string
}

// last returns the record of the current attempt, or of the last one.
func (a *attempts) last() *attemptRecord { return a.records[len(a.records)-1] }

// usedAddress reports whether an earlier attempt went to the address of the current one.
func (a *attempts) usedAddress() bool {
	current := a.last()
	for _, r := range a.records[:len(a.records)-1] {
		if r.address == current.address {
			return true
		}
	}
	return false
}

// ends returns the outcomes of all attempts.
func (a *attempts) ends() []string {
	out := make([]string, 0, len(a.records))
	for _, r := range a.records {
		out = append(out, r.end)
	}
	return out
}

// String returns the attempt for the log. What decides about the execution comes first.
func (r *attemptRecord) String() string {
	body := "part"
	if r.progress.Complete() {
		body = "all"
	}
	return fmt.Sprintf("%s/%s/%d/said=%q/on-connection=%d/wrote=%d:%s/from=%v/to=%v/%s",
		r.instance, r.end, r.status, r.statement, r.progress.Requests(), r.progress.Written(), body, r.begun, r.answered, r.address)
}

// logPromise logs what a status rests on that promises that the request did not run, if a part of it was sent.
func (h *Handler) logPromise(q *request, status int, execution Execution) {
	if q.attempts.sends == 0 || !traffic.PromisesNotRun(status) {
		return
	}
	records := make([]string, 0, len(q.attempts.records))
	for _, r := range q.attempts.records {
		records = append(records, r.String())
	}
	var kind catalog.Kind
	if r := h.routeInForce(q); r != nil {
		kind = r.Kind
	}
	h.Log.Info("promised not run", "id", q.ID, "status", status, "execution", execution, "kind", q.route.Kind, "kind_now", kind,
		"attempts", strings.Join(records, " "), "version", q.state.version(), "version_now", h.State().version(), "relay", q.attempts.relay)
}
