package entry

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"time"

	"balsambarrow/internal/steer"
	"balsambarrow/internal/wire"
)

// steer asks handlers in turn until one runs the call or a second try could
// run it twice.
func (s *Server) steer(ctx context.Context, call *wire.Call) (*wire.Answer, *wire.Problem) {
	snap := s.View.Load()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	targets := steer.Choose(snap.Config, snap.Ready, call.Customer, call.Service, snap.Self.Zone, rng)
	problem := wire.Refuse(wire.TypeNoRoom, "no zone that may serve this has a ready handler", time.Second)
	for _, target := range targets[:min(len(targets), maxTargets)] {
		if ctx.Err() != nil {
			break
		}
		var answer *wire.Answer
		answer, problem = s.ask(ctx, target, call)
		if problem == nil {
			return answer, nil
		}
		if !another(call, problem) {
			break
		}
	}
	return nil, problem
}

func (s *Server) ask(ctx context.Context, target steer.Target, call *wire.Call) (*wire.Answer, *wire.Problem) {
	if problem := s.recheckKey(call); problem != nil {
		return nil, problem
	}
	if target.Member.Instance == s.View.Load().Self.Instance {
		return s.Local.Run(ctx, call)
	}
	ctx, span := s.Tracer.Start(ctx, "relay")
	defer span.End()
	return s.Relay.Send(ctx, target.Member.Relay, wire.RoleHandle, call)
}

// another tells whether another handler may be asked after a problem.
func another(call *wire.Call, p *wire.Problem) bool {
	if !call.Body.Sendable() {
		return false
	}
	switch p.Type {
	case wire.TypeNoRoom:
		return p.Outcome == wire.OutcomeNotRun
	case wire.TypeUpstreamFailed:
		return p.Outcome == wire.OutcomeNotRun || call.Safe()
	}
	return false
}

// bindCancel ends a call's context once its answer has been read, or at once
// where there is none.
func bindCancel(cancel context.CancelFunc) func(*wire.Answer, *wire.Problem) (*wire.Answer, *wire.Problem) {
	return func(a *wire.Answer, p *wire.Problem) (*wire.Answer, *wire.Problem) {
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
