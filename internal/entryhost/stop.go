package entryhost

import (
	"context"
	"sync"
	"time"

	"balsambarrow/internal/front"
	"balsambarrow/internal/h1"
)

const (
	// acceptFraction is the fraction of the grace period in which the host still accepts
	// requests while callers move to other hosts: callers cache a response of the directory for
	// two seconds, some for longer. The rest is for requests that still run.
	acceptFraction = 0.55
	// exitMargin is the part of the grace period that is left when the daemon stops waiting for
	// requests. It covers the call that ends the lease, which runs into its timeout if the
	// store is unresponsive, and the exit of the process. The platform kills the process at the
	// end of the grace period.
	exitMargin = storeRetryDelay + 150*time.Millisecond
	// responseMargin is the time between the latest time limit of a request that is accepted and
	// the moment when the daemon stops waiting for requests. Responses are sent in it.
	responseMargin = 100 * time.Millisecond
	// exitReserve is the part of the grace period that is left when the daemon stops waiting for
	// anything. The process exits in it.
	exitReserve = 100 * time.Millisecond
	// unusedCheckInterval is the time between two checks for connections without a request.
	unusedCheckInterval = 5 * time.Millisecond
	// shortestUnscaledGrace is the grace period below which the margins shrink in proportion, so that
	// requests have five sixths of any grace.
	shortestUnscaledGrace = 6 * (exitMargin + responseMargin)
)

// stopSchedule is when the phases of a planned stop end, as times since its signal.
type stopSchedule struct {
	// accept is until when requests are accepted, answer until when they are answered, and wait
	// until when the daemon waits for those that still run. The process exits at exit.
	accept, answer, wait, exit time.Duration
}

func newStopSchedule(grace time.Duration) stopSchedule {
	scale := min(float64(grace)/float64(shortestUnscaledGrace), 1)
	margin := func(d time.Duration) time.Duration { return time.Duration(float64(d) * scale) }
	return stopSchedule{
		accept: time.Duration(float64(grace) * acceptFraction),
		answer: grace - margin(exitMargin+responseMargin),
		wait:   grace - margin(exitMargin),
		exit:   grace - margin(exitReserve),
	}
}

// Stop ends the daemon within the grace period without interrupting requests. First the
// directory stops naming the host, responses close their connections, and requests are refused
// whose time limit ends after the stop; then the host reads what has arrived, accepts no new requests
// and waits for those that run.
func (d *Daemon) Stop() {
	began := d.activity.earliestSignal(d.now())
	grace := d.settings.Load().Bounds.Grace.Value()
	schedule := newStopSchedule(grace)
	d.plannedStop.Store(&front.Stop{At: began.Add(schedule.answer), LearnedBy: began.Add(directoryTTL)})
	d.events.Info("stopping", "grace", grace, "delay", d.now().Sub(began))
	end, cancelEnd := context.WithTimeout(context.Background(), began.Add(schedule.exit).Sub(d.now()))
	defer cancelEnd()
	d.callers.StopBegun()
	// The queue of the control thread may be full.
	go d.control.send(func(c *control) {
		c.leaving = true
		c.announceToAll(d.now())
	})
	d.setStopPhase("callers")
	time.Sleep(began.Add(schedule.accept).Sub(d.now()))
	ctx, cancel := context.WithTimeout(context.Background(), began.Add(schedule.wait).Sub(d.now()))
	defer cancel()
	d.setStopPhase("requests")
	d.shutDownServers(ctx)
	d.setStopPhase("tunnels")
	d.tunnels.Wait(ctx)
	d.logInterrupted(began)
	d.events.Info("stopped", "took", d.now().Sub(began))
	d.cancel()
	d.setStopPhase("tasks")
	if running := d.tasks.wait(end); len(running) > 0 {
		d.events.Warn("tasks still run at the end of the grace", "tasks", running)
	}
	d.setStopPhase("spans")
	if err := d.tracing.Close(end); err != nil {
		d.events.Warn("spans not written", "error", err)
	}
	d.setStopPhase("exit")
}

// shutDownServers closes the listeners and waits until no request runs, or until ctx ends.
func (d *Daemon) shutDownServers(ctx context.Context) {
	var shutdowns sync.WaitGroup
	for _, server := range d.servers {
		shutdowns.Go(func() {
			if server == d.callersServer {
				d.endCallers(ctx)
			}
			if err := server.Shutdown(ctx); err != nil {
				d.events.Warn("requests still run at the end of the grace", "error", err)
			}
		})
	}
	shutdowns.Wait()
}

// endCallers closes the listener of callers and their connections, and returns when all are closed, or when ctx ends. Requests
// that have arrived are answered first, also if the host reads them late: closing a listener resets the connections that wait to
// be accepted, and http.Server.Shutdown drops requests that are read after its call.
func (d *Daemon) endCallers(ctx context.Context) {
	tick := time.NewTicker(unusedCheckInterval)
	defer tick.Stop()
	l, accepted := d.listeners[d.addresses.Callers], false
	for !accepted || d.callerConns.count() > 0 {
		if !accepted && !h1.HasPendingConnection(l) {
			_ = l.Close()
			<-d.callersAccepted
			accepted = true
		}
		d.callerConns.endUnused()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (d *Daemon) setStopPhase(phase string) { d.stopPhase.Store(&phase) }

// StopState names what a planned stop waits for, "start" if it has not begun, and the tasks that
// run.
func (d *Daemon) StopState() (phase string, tasks []string) {
	phase = "start"
	if p := d.stopPhase.Load(); p != nil {
		phase = *p
	}
	return phase, d.tasks.names()
}

// TimeToExit returns the time until the process has to exit after a signal that is handled now.
func (d *Daemon) TimeToExit() time.Duration {
	now := d.now()
	return d.activity.earliestSignal(now).Add(newStopSchedule(d.settings.Load().Bounds.Grace.Value()).exit).Sub(now)
}

// logInterrupted logs the requests that the exit of the process interrupts.
func (d *Daemon) logInterrupted(began time.Time) {
	now := d.now()
	for _, r := range d.callers.Running() {
		d.events.Warn("request interrupted by the stop", "id", r.ID, "route", r.Route, "arrived_after", r.Arrived.Sub(began),
			"took", now.Sub(r.Arrived), "time_left", r.Deadline.Sub(now))
	}
}

// currentStop returns the planned stop; the zero value while none has begun.
func (d *Daemon) currentStop() front.Stop {
	if stop := d.plannedStop.Load(); stop != nil {
		return *stop
	}
	return front.Stop{}
}

// Kill ends the daemon at once, as a crash does.
func (d *Daemon) Kill() {
	d.cancel()
	d.tunnels.Close()
	for _, server := range d.servers {
		if err := server.Close(); err != nil {
			d.events.Debug("listener not closed", "error", err)
		}
	}
	d.tasks.wait(context.Background())
}
