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

// runPosting runs a call with a posting id. The call runs here if the id names
// this instance, and otherwise at the named instance. If that instance no longer
// exists, the call does not run.
func (s *Server) runPosting(ctx context.Context, call *wire.Call, header string) (*wire.Response, *wire.Problem) {
	id, err := posting.ParseID(header)
	if err != nil {
		return nil, wire.NotRunProblem(wire.TypeBadRequest, err.Error(), 0)
	}
	if !call.Body.Buffered() {
		return nil, wire.NotRunProblem(wire.TypeTooLarge, "a request with a posting id may bear 64 KiB", 0)
	}
	// The header is missing here if the caller listed it in Connection.
	call.Header.Set(wire.HeaderIdempotencyKey, id.String())
	result := s.Postings.Begin(postingRequest(call, id), time.Now())
	if result.Decision == posting.DecisionOtherInstance {
		callCtx, cancel := call.WithDeadline(ctx)
		return cancelOnClose(cancel)(s.relayToOwner(callCtx, call, id))
	}
	return s.handleResult(ctx, call, id, result)
}

// relayToOwner relays a posting to the instance that its id names, or to the
// instance that imported the records of that instance. The posting never runs
// anywhere else.
func (s *Server) relayToOwner(ctx context.Context, call *wire.Call, id posting.ID) (*wire.Response, *wire.Problem) {
	snap := s.View.Load()
	for _, m := range postingOwners(snap, id.Instance) {
		response, problem := s.Relay.Send(ctx, m.RelayAddress, wire.RolePosting, call)
		if problem == nil || !problem.PeerUnreachable {
			return response, problem
		}
	}
	return nil, unknownOutcomeProblem("the instance that this posting id names is gone or cannot be reached")
}

// postingOwners returns the members that may have the records of an instance's
// postings: the instance itself, then the members that report imported records
// of it.
func postingOwners(snap *view.Snapshot, instance string) []membership.Member {
	var members []membership.Member
	if m, found := snap.Find(instance); found {
		members = append(members, m)
	}
	for _, m := range snap.Members {
		for _, imported := range m.PostingsFrom {
			if imported == instance {
				members = append(members, m)
			}
		}
	}
	return members
}

// unknownOutcomeProblem returns a problem with outcome may-have-run. This outcome
// applies even if the current attempt was not sent, because an earlier attempt
// with the same id may have run at the named instance before it stopped.
func unknownOutcomeProblem(detail string) *wire.Problem {
	return wire.MayHaveRunProblem(wire.TypeOutcomeUnknown, detail)
}

// PostingRunner runs calls that other daemons relayed because their posting id
// names this instance or an instance whose records this one imported.
type PostingRunner struct{ Server *Server }

// Run implements relay.Runner.
func (p PostingRunner) Run(ctx context.Context, call *wire.Call) (*wire.Response, *wire.Problem) {
	id, err := posting.ParseID(call.Header.Get(wire.HeaderIdempotencyKey))
	if err != nil || !call.Body.Buffered() {
		return nil, wire.NotRunProblem(wire.TypeBadRequest, "relay: no posting id, or a body too large for one", 0)
	}
	result := p.Server.Postings.Begin(postingRequest(call, id), time.Now())
	return p.Server.handleResult(ctx, call, id, result)
}

func postingRequest(call *wire.Call, id posting.ID) posting.Request {
	return posting.Request{ID: id, Customer: call.Customer, Digest: call.Digest()}
}

// handleResult runs the posting or returns its stored outcome, depending on the
// result of the table. It waits for a concurrent run of the same posting to end.
func (s *Server) handleResult(ctx context.Context, call *wire.Call, id posting.ID, result posting.BeginResult) (*wire.Response, *wire.Problem) {
	ctx, cancel := call.WithDeadline(ctx)
	defer cancel()
	for result.Decision == posting.DecisionWait {
		select {
		case <-result.Done:
		case <-ctx.Done():
			return nil, wire.MayHaveRunProblem(wire.TypeDeadline, "the posting still runs")
		}
		result = s.Postings.Begin(postingRequest(call, id), time.Now())
	}
	switch result.Decision {
	case posting.DecisionRun:
		return s.runOnce(ctx, call, result.Run)
	case posting.DecisionDone:
		return storedResponse(result)
	}
	return nil, rejection(result)
}

// rejection returns the problem for a posting that does not run now and has no
// stored outcome.
func rejection(result posting.BeginResult) *wire.Problem {
	switch result.Decision {
	case posting.DecisionStaleEpoch:
		return wire.MayHaveRunProblem(wire.TypeStalePostingID, "the posting id is older than is remembered")
	case posting.DecisionFutureEpoch:
		return wire.NotRunProblem(wire.TypeStalePostingID, "the posting id's prefix was not given out", 0)
	case posting.DecisionClosed:
		return wire.NotRunProblem(wire.TypeStalePostingID, "the named instance has stopped and did not run it; take a new prefix", 0)
	case posting.DecisionIDReused:
		return wire.NotRunProblem(wire.TypePostingIDReused, "the posting id came before with another request", 0)
	case posting.DecisionTableFull:
		return wire.NotRunProblem(wire.TypeNoRoom, "no more postings can be remembered here", result.RetryAfter)
	}
	return unknownOutcomeProblem("the posting id names an instance that is not known here")
}

// runOnce runs a posting. It is called once per id, or again if the posting
// certainly did not run. The run continues when the caller disconnects, and its
// outcome is stored for retries.
func (s *Server) runOnce(ctx context.Context, call *wire.Call, run *posting.Run) (*wire.Response, *wire.Problem) {
	// Concurrent requests for the posting must not wait forever if the run
	// panics. If the run has already been ended below, this call has no effect.
	defer run.Finish(posting.StateUnknown, nil)
	ctx, cancel := call.WithDeadline(context.WithoutCancel(ctx))
	response, problem := cancelOnClose(cancel)(s.admit(ctx, call))
	if problem != nil {
		if problem.Outcome == wire.OutcomeNotRun {
			run.FinishNotRun()
		}
		return nil, problem
	}
	return storeResponse(response, run)
}

// storeResponse reads a response up to the size limit of stored responses and
// stores it. A larger response is streamed to the caller, and only the fact that
// the posting ran and its status are stored.
func storeResponse(response *wire.Response, run *posting.Run) (*wire.Response, *wire.Problem) {
	body, err := io.ReadAll(io.LimitReader(response.Body, posting.MaxStoredResponseBytes+1))
	if err != nil {
		_ = response.Body.Close()
		return nil, wire.MayHaveRunProblem(wire.TypeOutcomeUnknown, "the upstream's answer broke off")
	}
	header := http.Header{}
	wire.CopyEndToEndHeaders(header, response.Header)
	run.Finish(posting.StateRan, &posting.Response{Status: response.Status, Header: header, Body: body})
	if len(body) <= posting.MaxStoredResponseBytes {
		_ = response.Body.Close()
		response.Body = io.NopCloser(bytes.NewReader(body))
		return response, nil
	}
	rest := response.Body
	response.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(body), rest), Closer: rest}
	return response, nil
}

// joinedBody reads the buffered start and then the rest of a body, and closes the
// underlying body.
type joinedBody struct {
	io.Reader
	io.Closer
}

// storedResponse returns the response to a retry of a posting that has ended.
func storedResponse(result posting.BeginResult) (*wire.Response, *wire.Problem) {
	switch {
	case result.State != posting.StateRan || result.Response == nil:
		return nil, unknownOutcomeProblem("the posting was dispatched; how it ended is not known")
	case result.Response.Dropped:
		return notStoredResponse(result.Response), nil
	}
	stored := result.Response
	return &wire.Response{
		Status: stored.Status, Header: stored.Header.Clone(),
		Body: io.NopCloser(bytes.NewReader(stored.Body)),
	}, nil
}

// notStoredResponse reports that a posting ran but its response was not stored
// and cannot be sent again. It returns a response and not a problem, because the
// outcome is ran.
func notStoredResponse(stored *posting.Response) *wire.Response {
	p := wire.Problem{
		Type: wire.TypeAnswerNotKept, Status: http.StatusConflict, Outcome: wire.OutcomeRan,
		Detail: "the posting ran and was answered with status " + strconv.Itoa(stored.Status) + "; that answer was not kept",
	}
	body, _ := json.Marshal(p) // cannot fail: strings and integers only
	return &wire.Response{
		Status: p.Status, Header: http.Header{"Content-Type": {"application/problem+json"}},
		Body: io.NopCloser(bytes.NewReader(body)),
	}
}
