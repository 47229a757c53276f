package entryhost

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"balsambarrow/internal/place"
)

const (
	// endDialTimeout bounds how long a caller waits until it is known whether its upstream has ended.
	// It covers two round trips to the farthest region.
	endDialTimeout = 250 * time.Millisecond
	// restartRegistered is the time within which an upstream that has restarted is registered again.
	restartRegistered = 3 * time.Second
	// maxLostResponses is the number of lost responses for which a restart is awaited.
	maxLostResponses = 256
)

// lostResponse is a response that did not arrive. ended is called if the upstream turns out to have ended.
type lostResponse struct {
	choice place.Choice
	at     time.Time
	ended  func(instance uint64)
}

// upstreamEnds finds out whether the upstreams of lost responses have ended: a new connection is refused,
// or another instance is registered in their place. A stop that was announced does not count. It is safe
// for concurrent use.
type upstreamEnds struct {
	d *Daemon

	mu sync.Mutex
	// checks are the running checks by the instance of the upstream.
	checks map[uint64]*endCheck
	// unclear are lost responses of upstreams that accept connections and may have restarted, oldest first.
	unclear []lostResponse
}

type endCheck struct {
	done  chan struct{}
	ended bool
}

func newUpstreamEnds(d *Daemon) *upstreamEnds {
	return &upstreamEnds{d: d, checks: map[uint64]*endCheck{}}
}

// observeLost calls ended if the upstream that did not answer has ended, now or as soon as that is known.
// It returns once a new connection was refused or accepted, or ctx has ended.
func (e *upstreamEnds) observeLost(ctx context.Context, c place.Choice, ended func(instance uint64)) {
	state, instance := e.d.table.Instance(c)
	switch {
	case state == place.InstanceReplaced:
		ended(instance)
		return
	case state == place.InstanceLeaving || e.d.links.LinksDown():
		return
	}
	lost := lostResponse{c, e.d.now(), ended}
	check := e.check(instance, lost)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		<-check.done
		if check.ended {
			ended(instance)
			return
		}
		e.awaitRestart(lost)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
}

// check returns the running check of an instance, and starts one if there is none.
func (e *upstreamEnds) check(instance uint64, lost lostResponse) *endCheck {
	e.mu.Lock()
	defer e.mu.Unlock()
	if running := e.checks[instance]; running != nil {
		return running
	}
	check := &endCheck{done: make(chan struct{})}
	e.checks[instance] = check
	e.d.spawn(func(ctx context.Context) {
		check.ended = e.refusesConnections(ctx, lost)
		e.mu.Lock()
		delete(e.checks, instance)
		e.mu.Unlock()
		close(check.done)
	})
	return check
}

// refusesConnections reports whether an upstream refuses new connections, unless this host has lost
// its links to all upstreams. An upstream with too many connections refuses new ones, too, but keeps
// those that are open.
func (e *upstreamEnds) refusesConnections(ctx context.Context, lost lostResponse) bool {
	dialCtx, cancel := context.WithTimeout(ctx, endDialTimeout)
	defer cancel()
	conn, err := e.d.dialUpstream(dialCtx, "tcp", lost.choice.Address)
	if err == nil {
		// It replaces the connection that was lost.
		e.d.upstreamConns.Add(conn, lost.choice.Address)
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) || e.d.upstreamConns.HasOpenIdle(lost.choice.Address) {
		return false
	}
	e.d.links.CheckLinks(dialCtx, lost.at)
	return !e.d.links.LinksDown()
}

func (e *upstreamEnds) awaitRestart(lost lostResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.unclear) == maxLostResponses {
		e.unclear = e.unclear[1:]
	}
	e.unclear = append(e.unclear, lost)
}

// registrationsChanged looks for upstreams that have restarted since they did not answer.
func (e *upstreamEnds) registrationsChanged(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.unclear[:0]
	for _, lost := range e.unclear {
		if now.Sub(lost.at) >= restartRegistered {
			continue
		}
		state, instance := e.d.table.Instance(lost.choice)
		successor, found := e.d.table.Locate(lost.choice.Address)
		if state == place.InstanceReplaced || found && successor.ID != lost.choice.ID {
			go lost.ended(instance)
			continue
		}
		kept = append(kept, lost)
	}
	clear(e.unclear[len(kept):])
	e.unclear = kept
}
