package suspect

import (
	"cmp"
	"slices"
	"time"
)

// maxReports is the largest number of suspects in one message.
const maxReports = 64

// Report is what a host knows of a suspect.
type Report struct {
	Fingerprint Fingerprint
	// Ended are the instances of upstreams that ended while the request was in flight there, and
	// Cleared those of them after whose end it was answered.
	Ended, Cleared []uint64
	// LastEndAge is the time since the last end.
	LastEndAge time.Duration
	// Repeated is set if an upstream ended under an attempt that began after an earlier end was known.
	Repeated bool
	// InFlight is the number of attempts of the host, which end after InFlightFor at the latest, and
	// InFlightAt are the upstreams that were chosen for them, as far as known.
	InFlight    int
	InFlightFor time.Duration
	InFlightAt  []uint64
}

// Changes returns the suspects that have changed since the last call, at most as many as fit into a
// message.
func (t *Tracker) Changes(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for f := range t.unreported {
		if len(out) == maxReports {
			break
		}
		delete(t.unreported, f)
		if r := t.records[f]; r != nil {
			out = append(out, t.report(now, f, r))
		}
	}
	return out
}

// Reports returns the suspects that a host which has just started should learn of: those that are
// about to be refused or are refused, the ones with the most ends first.
func (t *Tracker) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == 0 {
		return nil
	}
	var out []Report
	for f, r := range t.records {
		switch {
		case r.expired(now):
			t.remove(f)
		case r.ends() >= MaxEnds-1:
			out = append(out, t.report(now, f, r))
		}
	}
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Or(cmp.Compare(len(b.Ended)-len(b.Cleared), len(a.Ended)-len(a.Cleared)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(len(out), maxReports)]
}

func (t *Tracker) report(now time.Time, f Fingerprint, r *record) Report {
	out := Report{
		Fingerprint: f, Ended: slices.Clone(r.ended), Cleared: slices.Clone(r.cleared), LastEndAge: now.Sub(r.lastEnd), Repeated: r.repeated,
	}
	if own := t.inFlight[f]; own.count > 0 {
		out.InFlight, out.InFlightFor, out.InFlightAt = own.count, own.until.Sub(now), own.at[:min(len(own.at), maxInstances)]
	}
	return out
}

// Apply applies the reports of another host, and returns those that have changed the number of ends.
func (t *Tracker) Apply(now time.Time, from string, reports []Report) []Change {
	if len(reports) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, report := range reports[:min(len(reports), maxReports)] {
		if age := report.LastEndAge; age < 0 || age >= maxRefusal+forgetAfter {
			continue
		}
		r := t.record(now, report.Fingerprint)
		before := r.ends()
		for _, instance := range report.Ended {
			r.addEnd(now.Add(-report.LastEndAge), instance)
		}
		r.clear(report.Cleared)
		r.repeated = (r.repeated || report.Repeated) && r.ends() > 0
		delete(r.peers, from)
		if report.InFlight > 0 && report.InFlightFor > 0 && len(r.peers) < maxPeers {
			r.peers[from] = attempts{report.InFlight, now.Add(report.InFlightFor), report.InFlightAt}
		}
		after := r.ends()
		if after != before {
			changes = append(changes, Change{report.Fingerprint, after})
		}
		if before == 0 && after > 0 && t.inFlight[report.Fingerprint].count > 0 {
			t.changed(report.Fingerprint)
		}
	}
	t.notify()
	return changes
}

// maxPeers is the largest number of other hosts whose attempts at one suspect are counted. A suspect
// is in flight at few, as all hosts bound the sum.
const maxPeers = 32

// Change is a change in the number of upstreams that have ended under a request.
type Change struct {
	Fingerprint Fingerprint
	Ends        int
}
