package entry

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"balsambarrow/internal/retry"
	"balsambarrow/internal/steer"
	"balsambarrow/internal/wire"
)

// runOnHandlers sends the call to its target handlers in order, until a handler
// runs it or until another attempt is not allowed, for example because the call
// could run twice.
func (s *Server) runOnHandlers(ctx context.Context, call *wire.Call) (*wire.Response, *wire.Problem) {
	snap := s.View.Load()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	targets := snap.Steer.Choose(steerRequest(call), time.Now(), rng)
	s.RetryBudgets.RecordRequest(call.Service)
	var problem *wire.Problem
	for i := range targets {
		target := &targets[i]
		if ctx.Err() != nil {
			break
		}
		if !s.takeCapTokens(target, time.Now()) {
			continue
		}
		response, attemptProblem := s.send(ctx, target, call)
		if attemptProblem == nil {
			target.RecordResult(takeQueueingDelay(response), false)
			return response, nil
		}
		target.RecordResult(0, attemptProblem.Type == wire.TypeNoRoom)
		if attemptProblem.Outcome == wire.OutcomeNotRun {
			s.refundCapTokens(target, time.Now())
		}
		problem = attemptProblem.MergeEarlier(problem)
		if !mayRetry(call, attemptProblem, time.Now()) || !s.RetryBudgets.AllowRetryOn(call.Service, attemptProblem) {
			break
		}
	}
	return nil, finalProblem(ctx, problem)
}

// finalProblem returns the problem for a call that no handler ran.
func finalProblem(ctx context.Context, problem *wire.Problem) *wire.Problem {
	switch {
	case problem != nil:
		return problem
	case ctx.Err() != nil:
		return wire.NotRunProblem(wire.TypeDeadline, "the budget was spent before a handler was asked", time.Second)
	}
	return wire.NotRunProblem(wire.TypeNoRoom, "no zone that may serve this has a ready handler", time.Second)
}

// send runs the call at the target: locally if this instance is the handler, and
// otherwise through the relay.
func (s *Server) send(ctx context.Context, target *steer.Target, call *wire.Call) (*wire.Response, *wire.Problem) {
	if problem := s.recheckKey(call); problem != nil {
		return nil, problem
	}
	target.RecordSent()
	member := target.Handler.Member
	if member.Instance == s.View.Load().Self.Instance {
		return s.LocalHandler.Run(ctx, call)
	}
	ctx, span := s.Tracer.Start(ctx, "relay")
	defer span.End()
	return s.Relay.Send(ctx, member.RelayAddress, wire.RoleHandle, call)
}

// mayRetry reports whether a call may be sent to another handler after a problem.
func mayRetry(call *wire.Call, problem *wire.Problem, now time.Time) bool {
	if !call.Body.CanSend() || !retry.HasTime(now, call.Deadline) {
		return false
	}
	switch problem.Type {
	case wire.TypeNoRoom:
		return problem.Outcome == wire.OutcomeNotRun
	case wire.TypeUpstreamFailed, wire.TypeUpstreamShed:
		return problem.Outcome == wire.OutcomeNotRun || call.Safe()
	}
	return false
}

// cancelOnClose returns a function that passes the result of a call through and
// cancels the context of the call when the response body is closed, or immediately
// if there is no response.
func cancelOnClose(cancel context.CancelFunc) func(*wire.Response, *wire.Problem) (*wire.Response, *wire.Problem) {
	return func(response *wire.Response, problem *wire.Problem) (*wire.Response, *wire.Problem) {
		if problem != nil {
			cancel()
			return nil, problem
		}
		response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
		return response, nil
	}
}

// cancelBody calls cancel when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

func encodeJSON(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }

// takeQueueingDelay returns the queueing delay that the handler reported in the
// response header, and removes the header.
func takeQueueingDelay(response *wire.Response) time.Duration {
	ms, err := strconv.ParseInt(response.Header.Get(wire.HeaderQueuedMs), 10, 64)
	response.Header.Del(wire.HeaderQueuedMs)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
