package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"balsambarrow/internal/entryhost"
)

const (
	// startGuardFraction is the fraction of the grace after which a process exits that is told to
	// stop while it starts.
	startGuardFraction = 0.5
	// lineTimeout bounds how long the exit waits for its last line to be written.
	lineTimeout = 50 * time.Millisecond
)

// stopGuard ends the process before the end of the grace period, whatever the planned stop still
// waits for.
type stopGuard struct {
	grace  time.Duration
	daemon atomic.Pointer[entryhost.Daemon]
	once   sync.Once
	out    io.Writer
	exit   func(code int)
}

func newStopGuard(grace time.Duration) *stopGuard {
	return &stopGuard{grace: grace, out: os.Stderr, exit: os.Exit}
}

// signaled starts the guard's timer at the first signal.
func (g *stopGuard) signaled() {
	g.once.Do(func() {
		left := time.Duration(float64(g.grace) * startGuardFraction)
		if d := g.daemon.Load(); d != nil {
			left = d.TimeToExit()
		}
		time.AfterFunc(left, g.expire)
	})
}

// expire writes what the stop waits for, and ends the process.
func (g *stopGuard) expire() {
	phase, tasks := "start", []string(nil)
	if d := g.daemon.Load(); d != nil {
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
