package entryhost

import (
	"context"
	"net/http"
	"sync"
	"time"
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
)

// Stop ends the daemon within the grace period without interrupting requests. First the
// directory stops naming the host, responses close their connections, and requests are refused
// whose time limit ends after the stop; then the host accepts no new requests and waits for those
// that run.
func (d *Daemon) Stop() {
	began := d.activity.earliestSignal(d.now())
	grace := d.settings.Load().Bounds.Grace.Value()
	stopsAt := began.Add(grace - exitMargin - responseMargin)
	d.stopsAt.Store(&stopsAt)
	d.events.Info("stopping", "grace", grace, "delay", d.now().Sub(began))
	d.callers.StopBegun()
	d.control.send(func(c *control) {
		c.leaving = true
		c.announceToAll(d.now())
	})
	time.Sleep(time.Duration(float64(grace)*acceptFraction) - d.now().Sub(began))
	remaining := grace - exitMargin - d.now().Sub(began)
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	var shutdowns sync.WaitGroup
	for _, server := range d.servers {
		shutdowns.Add(1)
		go func(server *http.Server) {
			defer shutdowns.Done()
			if err := server.Shutdown(ctx); err != nil {
				d.events.Warn("requests still run at the end of the grace", "error", err)
			}
		}(server)
	}
	shutdowns.Wait()
	d.tunnels.Wait(ctx)
	d.logInterrupted(began)
	d.events.Info("stopped", "took", d.now().Sub(began))
	d.cancel()
	d.tasks.Wait()
	if err := d.tracing.Close(ctx); err != nil {
		d.events.Warn("spans not written", "error", err)
	}
}

// logInterrupted logs the requests that the exit of the process interrupts.
func (d *Daemon) logInterrupted(began time.Time) {
	now := d.now()
	for _, r := range d.callers.Running() {
		d.events.Warn("request interrupted by the stop", "id", r.ID, "route", r.Route, "arrived_after", r.Arrived.Sub(began),
			"took", now.Sub(r.Arrived), "time_left", r.Deadline.Sub(now))
	}
}

// stopTime returns when this host stops answering requests; zero while no planned stop has begun.
func (d *Daemon) stopTime() time.Time {
	if at := d.stopsAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
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
	d.tasks.Wait()
}
