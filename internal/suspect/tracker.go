package suspect

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// maxRecords is the largest number of suspects that are kept.
const maxRecords = 512

// RefusedError reports that a request is refused because upstreams have ended under it.
type RefusedError struct {
	Fingerprint Fingerprint
	Ends        int
	// RetryAfter is when the request is tried again.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("suspect: %d upstreams have ended under request %v", e.Ends, e.Fingerprint)
}

// BusyError reports that a suspect is in flight at as many upstreams as may end under it.
type BusyError struct {
	Fingerprint Fingerprint
	Ends        int
	InFlight    int
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("suspect: %d upstreams have ended under request %v, which is in flight at %d", e.Ends, e.Fingerprint, e.InFlight)
}

// Attempt is one attempt to send a request to an upstream. Each must be ended by Tracker.Done.
type Attempt struct {
	fingerprint Fingerprint
	// repeat is set if the request was a suspect when the attempt began.
	repeat bool
	// instance is the upstream of a repeat; 0 until it is chosen.
	instance uint64
}

// Tracker tracks the suspects of all hosts. It is safe for concurrent use.
type Tracker struct {
	// onChange is called after each change that other hosts should learn of at once.
	onChange func()

	mu      sync.Mutex
	records map[Fingerprint]*record
	// inFlight holds the attempts of this host.
	inFlight map[Fingerprint]attempts
	trusted  map[Fingerprint]bool
	// unreported are the suspects whose state has changed since Changes.
	unreported map[Fingerprint]bool
	// updated is closed and replaced at each change that may let a suspect be sent.
	updated chan struct{}
}

// NewTracker returns a tracker without suspects. onChange is called after each change that other
// hosts should learn of at once; it must not block.
func NewTracker(onChange func()) *Tracker {
	return &Tracker{
		onChange: onChange, records: map[Fingerprint]*record{}, inFlight: map[Fingerprint]attempts{},
		unreported: map[Fingerprint]bool{}, updated: make(chan struct{}),
	}
}

// SetTrusted sets the requests that operators exempt: they are never refused.
func (t *Tracker) SetTrusted(trusted []Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trusted = map[Fingerprint]bool{}
	for _, f := range trusted {
		t.trusted[f] = true
	}
	t.notify()
}

// Begin begins an attempt that ends by until. The error is a *RefusedError or a *BusyError.
func (t *Tracker) Begin(now time.Time, f Fingerprint, until time.Time) (Attempt, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	suspect := r != nil && r.ends() > 0 && !r.expired(now)
	if suspect && !t.trusted[f] {
		allowed, refusedFor := r.maxInFlight(now)
		inFlight := t.inFlight[f].count + r.peerCount(now)
		switch {
		case refusedFor > 0:
			return Attempt{}, &RefusedError{f, r.ends(), refusedFor}
		case inFlight >= allowed:
			return Attempt{}, &BusyError{f, r.ends(), inFlight}
		}
	}
	own := t.inFlight[f]
	own.count++
	if until.After(own.until) {
		own.until = until
	}
	t.inFlight[f] = own
	if suspect {
		t.changed(f)
	}
	return Attempt{fingerprint: f, repeat: suspect}, nil
}

// Occupied returns the upstreams at which other suspects are in flight, if the request is a suspect.
// If one of them ends, that would count against both.
func (t *Tracker) Occupied(now time.Time, a Attempt) []uint64 {
	if !a.repeat {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []uint64
	for f, r := range t.records {
		if f == a.fingerprint || r.ends() == 0 {
			continue
		}
		out = append(out, t.inFlight[f].at...)
		for _, p := range r.peers {
			if now.Before(p.until) {
				out = append(out, p.at...)
			}
		}
	}
	return out
}

// Placed records the upstream that was chosen for an attempt.
func (t *Tracker) Placed(a *Attempt, instance uint64) {
	if !a.repeat {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	a.instance = instance
	own := t.inFlight[a.fingerprint]
	own.at = append(slices.Clone(own.at), instance)
	t.inFlight[a.fingerprint] = own
	t.changed(a.fingerprint)
}

// without returns a copy of a list without one occurrence of an element.
func without(list []uint64, element uint64) []uint64 {
	i := slices.Index(list, element)
	if i < 0 {
		return list
	}
	return slices.Delete(slices.Clone(list), i, i+1)
}

// UpstreamEnded records that an upstream ended during an attempt, which may have been ended already. It
// returns the number of upstreams that have ended under the request, and for how long it is refused.
func (t *Tracker) UpstreamEnded(now time.Time, a Attempt, instance uint64) (ends int, refusedFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(now, a.fingerprint)
	r.repeated = r.repeated || a.repeat && r.ends() > 0
	r.addEnd(now, instance)
	t.changed(a.fingerprint)
	_, refusedFor = r.maxInFlight(now)
	return r.ends(), refusedFor
}

// Done ends an attempt. answered is set if the upstream has answered, even with a failure.
func (t *Tracker) Done(now time.Time, a Attempt, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := a.fingerprint
	own := t.inFlight[f]
	if own.count--; own.count > 0 {
		own.at = without(own.at, a.instance)
		t.inFlight[f] = own
	} else {
		delete(t.inFlight, f)
	}
	r := t.records[f]
	if r == nil || r.ends() == 0 && !a.repeat {
		return
	}
	if answered {
		r.clear(r.ended)
	}
	t.changed(f)
}

// Updated returns a channel that is closed at the next change that may let a suspect be sent.
func (t *Tracker) Updated() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.updated
}

// record returns the record of a suspect, and creates it if there is none or it has expired.
func (t *Tracker) record(now time.Time, f Fingerprint) *record {
	r := t.records[f]
	if r == nil || r.expired(now) {
		t.remove(f)
		t.makeRoom(now)
		r = &record{peers: map[string]attempts{}}
		t.records[f] = r
	}
	return r
}

// makeRoom removes expired records, or else the one with the fewest ends, the oldest of these.
func (t *Tracker) makeRoom(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	var least Fingerprint
	var found *record
	for f, r := range t.records {
		if r.expired(now) {
			t.remove(f)
			continue
		}
		if found == nil || r.ends() < found.ends() || r.ends() == found.ends() && r.lastEnd.Before(found.lastEnd) {
			least, found = f, r
		}
	}
	if len(t.records) >= maxRecords {
		t.remove(least)
	}
}

func (t *Tracker) remove(f Fingerprint) {
	delete(t.records, f)
	delete(t.unreported, f)
}

// changed records a change of a suspect.
func (t *Tracker) changed(f Fingerprint) {
	t.unreported[f] = true
	t.notify()
	t.onChange()
}

func (t *Tracker) notify() {
	close(t.updated)
	t.updated = make(chan struct{})
}

// Stats are numbers of suspects.
type Stats struct {
	// Suspects are the requests under which upstreams have ended since they were last answered, and
	// Refused those of them that are refused.
	Suspects, Refused int
}

// Stats returns the numbers of suspects.
func (t *Tracker) Stats(now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s Stats
	for _, r := range t.records {
		if r.expired(now) || r.ends() == 0 {
			continue
		}
		s.Suspects++
		if _, left := r.maxInFlight(now); left > 0 {
			s.Refused++
		}
	}
	return s
}
