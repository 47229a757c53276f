package entry

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"balsambarrow/internal/steer"
	"balsambarrow/internal/wire"
)

// steer asks handlers in turn until one runs the call or a second try could
// run it twice.
func (s *Server) steer(ctx context.Context, call *wire.Call) (*wire.Response, *wire.Problem) {
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
		if !s.takeCaps(target, time.Now()) {
			continue
		}
		answer, latest := s.ask(ctx, target, call)
		if latest == nil {
			target.RecordResult(queued(answer), false)
			return answer, nil
		}
		target.RecordResult(0, latest.Type == wire.TypeNoRoom)
		if latest.Outcome == wire.OutcomeNotRun {
			s.refundCaps(target, time.Now())
		}
		problem = latest.MergeEarlier(problem)
		if !another(call, latest) || !s.RetryBudgets.AllowRetryOn(call.Service, latest) {
			break
		}
	}
	return nil, lastProblem(ctx, problem)
}

// lastProblem is the final answer where no handler ran the call.
func lastProblem(ctx context.Context, problem *wire.Problem) *wire.Problem {
	switch {
	case problem != nil:
		return problem
	case ctx.Err() != nil:
		return wire.NotRunProblem(wire.TypeDeadline, "the budget was spent before a handler was asked", time.Second)
	}
	return wire.NotRunProblem(wire.TypeNoRoom, "no zone that may serve this has a ready handler", time.Second)
}

func (s *Server) ask(ctx context.Context, target *steer.Target, call *wire.Call) (*wire.Response, *wire.Problem) {
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

// another tells whether another handler may be asked after a problem.
func another(call *wire.Call, p *wire.Problem) bool {
	if !call.Body.CanSend() {
		return false
	}
	switch p.Type {
	case wire.TypeNoRoom:
		return p.Outcome == wire.OutcomeNotRun
	case wire.TypeUpstreamFailed, wire.TypeUpstreamShed:
		return p.Outcome == wire.OutcomeNotRun || call.Safe()
	}
	return false
}

// bindCancel ends a call's context once its answer has been read, or at once
// where there is none.
func bindCancel(cancel context.CancelFunc) func(*wire.Response, *wire.Problem) (*wire.Response, *wire.Problem) {
	return func(a *wire.Response, p *wire.Problem) (*wire.Response, *wire.Problem) {
		if p != nil {
			cancel()
			return nil, p
		}
		a.Body = &cancelBody{ReadCloser: a.Body, cancel: cancel}
		return a, nil
	}
}

type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

func jsonEncode(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }

// queued takes out of an answer how long it waited at its handler.
func queued(a *wire.Response) time.Duration {
	ms, err := strconv.ParseInt(a.Header.Get(wire.HeaderQueuedMs), 10, 64)
	a.Header.Del(wire.HeaderQueuedMs)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
