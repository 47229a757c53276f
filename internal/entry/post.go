package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/posting"
	"balsambarrow/internal/view"
	"balsambarrow/internal/wire"
)

// post runs a call that bears a posting id: here if the id names this
// instance, at the named instance otherwise, nowhere if that one is gone.
func (s *Server) post(ctx context.Context, call *wire.Call, header string) (*wire.Response, *wire.Problem) {
	id, err := posting.ParseID(header)
	if err != nil {
		return nil, wire.NotRunProblem(wire.TypeBadRequest, err.Error(), 0)
	}
	if !call.Body.Buffered() {
		return nil, wire.NotRunProblem(wire.TypeTooLarge, "a request with a posting id may bear 64 KiB", 0)
	}
	// A caller may have listed the header in Connection, which removed it.
	call.Header.Set(wire.HeaderIdempotencyKey, id.String())
	found := s.Postings.Begin(request(call, id), time.Now())
	if found.Decision == posting.DecisionOtherInstance {
		bounded, cancel := call.WithDeadline(ctx)
		return bindCancel(cancel)(s.askOwner(bounded, call, id))
	}
	return s.conclude(ctx, call, id, found)
}

// askOwner relays a posting to the instance that its id names, or to the one
// that took its memory over. It is never run anywhere else.
func (s *Server) askOwner(ctx context.Context, call *wire.Call, id posting.ID) (*wire.Response, *wire.Problem) {
	snap := s.View.Load()
	for _, m := range owners(snap, id.Instance) {
		answer, problem := s.Relay.Send(ctx, m.RelayAddress, wire.RolePosting, call)
		if problem == nil || !problem.PeerUnreachable {
			return answer, problem
		}
	}
	return nil, unknownOutcome("the instance that this posting id names is gone or cannot be reached")
}

// owners lists who may know of an instance's postings: itself, then those
// that say they answer for it.
func owners(snap *view.Snapshot, instance string) []membership.Member {
	var owners []membership.Member
	if m, known := snap.Find(instance); known {
		owners = append(owners, m)
	}
	for _, m := range snap.Members {
		for _, other := range m.PostingsFrom {
			if other == instance {
				owners = append(owners, m)
			}
		}
	}
	return owners
}

// unknownOutcome is may-have-run even where this try was not sent: an earlier
// one with the same id may have run at the instance that is gone.
func unknownOutcome(detail string) *wire.Problem {
	return wire.MayHaveRunProblem(wire.TypeOutcomeUnknown, detail)
}

// PostingRunner runs calls that other daemons passed on because their posting
// id names this instance, or one that it answers for.
type PostingRunner struct{ Server *Server }

// Run implements relay.Runner.
func (p PostingRunner) Run(ctx context.Context, call *wire.Call) (*wire.Response, *wire.Problem) {
	id, err := posting.ParseID(call.Header.Get(wire.HeaderIdempotencyKey))
	if err != nil || !call.Body.Buffered() {
		return nil, wire.NotRunProblem(wire.TypeBadRequest, "relay: no posting id, or a body too large for one", 0)
	}
	found := p.Server.Postings.Begin(request(call, id), time.Now())
	return p.Server.conclude(ctx, call, id, found)
}

func request(call *wire.Call, id posting.ID) posting.Request {
	return posting.Request{ID: id, Customer: call.Customer, Digest: call.Digest()}
}

// conclude acts on what the table found, waiting for a run that is under way.
func (s *Server) conclude(ctx context.Context, call *wire.Call, id posting.ID, found posting.BeginResult) (*wire.Response, *wire.Problem) {
	ctx, cancel := call.WithDeadline(ctx)
	defer cancel()
	for found.Decision == posting.DecisionWait {
		select {
		case <-found.Done:
		case <-ctx.Done():
			return nil, wire.MayHaveRunProblem(wire.TypeDeadline, "the posting still runs")
		}
		found = s.Postings.Begin(request(call, id), time.Now())
	}
	switch found.Decision {
	case posting.DecisionRun:
		return s.runOnce(ctx, call, found.Run)
	case posting.DecisionDone:
		return remembered(found)
	}
	return nil, refusal(found)
}

// refusal is the problem of a posting that neither runs nor is known.
func refusal(found posting.BeginResult) *wire.Problem {
	switch found.Decision {
	case posting.DecisionStaleEpoch:
		return wire.MayHaveRunProblem(wire.TypeStalePostingID, "the posting id is older than is remembered")
	case posting.DecisionFutureEpoch:
		return wire.NotRunProblem(wire.TypeStalePostingID, "the posting id's prefix was not given out", 0)
	case posting.DecisionClosed:
		return wire.NotRunProblem(wire.TypeStalePostingID, "the named instance has stopped and did not run it; take a new prefix", 0)
	case posting.DecisionIDReused:
		return wire.NotRunProblem(wire.TypePostingIDReused, "the posting id came before with another request", 0)
	case posting.DecisionTableFull:
		return wire.NotRunProblem(wire.TypeNoRoom, "no more postings can be remembered here", found.RetryAfter)
	}
	return unknownOutcome("the posting id names an instance that is not known here")
}

// runOnce is reached once per id unless the call certainly did not run. The
// run does not end with the caller's connection: its outcome is kept for when
// the caller asks again.
func (s *Server) runOnce(ctx context.Context, call *wire.Call, run *posting.Run) (*wire.Response, *wire.Problem) {
	// A panic on the way must not leave askers waiting for a run that has
	// ended. After an end by the lines below this one changes nothing.
	defer run.Finish(posting.StateUnknown, nil)
	ctx, cancel := call.WithDeadline(context.WithoutCancel(ctx))
	answer, problem := bindCancel(cancel)(s.admit(ctx, call))
	if problem != nil {
		if problem.Outcome == wire.OutcomeNotRun {
			run.FinishNotRun()
		}
		return nil, problem
	}
	return keep(answer, run)
}

// keep reads an answer as far as one may be kept. A larger one is passed on
// as it comes: it ran, but only that is remembered.
func keep(answer *wire.Response, run *posting.Run) (*wire.Response, *wire.Problem) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, posting.MaxStoredResponseBytes+1))
	if err != nil {
		_ = answer.Body.Close()
		return nil, wire.MayHaveRunProblem(wire.TypeOutcomeUnknown, "the upstream's answer broke off")
	}
	header := http.Header{}
	wire.CopyEndToEndHeaders(header, answer.Header)
	run.Finish(posting.StateRan, &posting.Response{Status: answer.Status, Header: header, Body: body})
	if len(body) <= posting.MaxStoredResponseBytes {
		_ = answer.Body.Close()
		answer.Body = io.NopCloser(bytes.NewReader(body))
		return answer, nil
	}
	rest := answer.Body
	answer.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(body), rest), Closer: rest}
	return answer, nil
}

type joinedBody struct {
	io.Reader
	io.Closer
}

// remembered is the answer to a repeated asking for a posting that ended.
func remembered(found posting.BeginResult) (*wire.Response, *wire.Problem) {
	switch {
	case found.State != posting.StateRan || found.Response == nil:
		return nil, unknownOutcome("the posting was dispatched; how it ended is not known")
	case found.Response.Dropped:
		return notKept(found.Response), nil
	}
	kept := found.Response
	return &wire.Response{
		Status: kept.Status, Header: kept.Header.Clone(),
		Body: io.NopCloser(bytes.NewReader(kept.Body)),
	}, nil
}

// notKept says that a posting ran where its answer is not there to be sent
// again. It is an answer and not a refusal: the outcome is ran.
func notKept(kept *posting.Response) *wire.Response {
	p := wire.Problem{
		Type: wire.TypeAnswerNotKept, Status: http.StatusConflict, Outcome: wire.OutcomeRan,
		Detail: "the posting ran and was answered with status " + strconv.Itoa(kept.Status) + "; that answer was not kept",
	}
	body, _ := json.Marshal(p) // strings and integers only
	return &wire.Response{
		Status: p.Status, Header: http.Header{"Content-Type": {"application/problem+json"}},
		Body: io.NopCloser(bytes.NewReader(body)),
	}
}
