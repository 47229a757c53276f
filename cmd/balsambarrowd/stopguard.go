package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// startGuardFraction is the fraction of the grace after which a process exits that is told to
	// stop before its daemon is created.
	startGuardFraction = 0.5
	// lineTimeout bounds how long the exit waits for its last line to be written.
	lineTimeout = 50 * time.Millisecond
)

// stopGuard ends the process before the end of the grace period, whatever the planned stop still
// waits for.
type stopGuard struct {
	grace time.Duration
	out   io.Writer
	exit  func(code int)

	mu sync.Mutex
	// daemon is nil until it is created.
	daemon stoppable
	// timer is set to the exit at the first signal, at signaledAt.
	timer      *time.Timer
	signaledAt time.Time
}

// stoppable is the part of entryhost.Daemon that the guard uses.
type stoppable interface {
	StopState() (phase string, tasks []string)
	TimeToExit() time.Duration
}

func newStopGuard(grace time.Duration) *stopGuard {
	return &stopGuard{grace: grace, out: os.Stderr, exit: os.Exit}
}

// created sets the daemon. If the signal came before, the daemon has the rest of the grace: it may
// have accepted requests since.
func (g *stopGuard) created(d stoppable) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.daemon = d
	if g.timer != nil {
		g.timer.Reset(d.TimeToExit() - time.Since(g.signaledAt))
	}
}

// signaled starts the guard's timer at the first signal.
func (g *stopGuard) signaled() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil {
		return
	}
	left := time.Duration(float64(g.grace) * startGuardFraction)
	if g.daemon != nil {
		left = g.daemon.TimeToExit()
	}
	g.signaledAt, g.timer = time.Now(), time.AfterFunc(left, g.expire)
}

// expire writes what the stop waits for, and ends the process.
func (g *stopGuard) expire() {
	g.mu.Lock()
	d := g.daemon
	g.mu.Unlock()
	phase, tasks := "start", []string(nil)
	if d != nil {
		phase, tasks = d.StopState()
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = fmt.Fprintf(g.out, "level=warn msg=\"exit before the end of the grace\" phase=%s tasks=%s\n", phase, strings.Join(tasks, ","))
	}()
	select {
	case <-written:
	case <-time.After(lineTimeout):
	}
	g.exit(exitFailed)
}
