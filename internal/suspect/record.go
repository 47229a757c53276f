package suspect

import (
	"slices"
	"time"
)

const (
	// MaxEnds is the number of upstreams that may end under a request before it is refused.
	MaxEnds = 3
	// firstRefusal is how long a request is refused after MaxEnds. Each further end doubles the time,
	// up to maxRefusal.
	firstRefusal = time.Minute
	maxRefusal   = time.Hour
	// forgetAfter is how long after its last end, and after the end of a refusal, a suspect is
	// forgotten.
	forgetAfter = 10 * time.Minute
	// maxInstances is the largest number of ended upstreams that are kept for one suspect.
	maxInstances = 16
)

// record is what is known of a suspect.
type record struct {
	// ended are the instances of upstreams that ended while the request was in flight there, and
	// cleared are those of them after whose end it was answered.
	ended, cleared []uint64
	lastEnd        time.Time
	// repeated is set once an upstream has ended under an attempt that began after an earlier end was
	// known. Without it, the ends may have one cause besides the request, such as the failure of a zone.
	repeated bool
	// peers holds the attempts of other hosts, by their instance.
	peers map[string]attempts
}

// attempts are the attempts of one host that have begun and not ended. The last of them ends by until.
type attempts struct {
	count int
	until time.Time
	// at are the upstreams that were chosen for them, as far as known. It is never modified.
	at []uint64
}

// ends returns the number of upstreams that have ended since the request was last answered.
func (r *record) ends() int {
	n := 0
	for _, instance := range r.ended {
		if !slices.Contains(r.cleared, instance) {
			n++
		}
	}
	return n
}

// addEnd adds an ended instance.
func (r *record) addEnd(at time.Time, instance uint64) {
	if slices.Contains(r.ended, instance) {
		return
	}
	if len(r.ended) >= maxInstances {
		i := slices.IndexFunc(r.ended, func(e uint64) bool { return slices.Contains(r.cleared, e) })
		if i < 0 {
			return
		}
		r.cleared = slices.DeleteFunc(r.cleared, func(c uint64) bool { return c == r.ended[i] })
		r.ended = slices.Delete(r.ended, i, i+1)
	}
	r.ended = append(r.ended, instance)
	if at.After(r.lastEnd) {
		r.lastEnd = at
	}
}

// clear clears the request of some ends.
func (r *record) clear(instances []uint64) {
	for _, instance := range instances {
		if slices.Contains(r.ended, instance) && !slices.Contains(r.cleared, instance) {
			r.cleared = append(r.cleared, instance)
		}
	}
	if r.ends() == 0 {
		r.repeated = false
	}
}

// refusal returns how long the request is refused after its last end; 0 if it is not.
func (r *record) refusal() time.Duration {
	ends := r.ends()
	if ends < MaxEnds || !r.repeated {
		return 0
	}
	return min(firstRefusal<<(ends-MaxEnds), maxRefusal)
}

// maxInFlight returns the number of upstreams at which the request may be in flight. refusedFor is how
// long it is still refused if there may be none.
func (r *record) maxInFlight(now time.Time) (n int, refusedFor time.Duration) {
	ends := r.ends()
	if ends < MaxEnds {
		return MaxEnds - ends, 0
	}
	if left := r.lastEnd.Add(r.refusal()).Sub(now); r.repeated && left > 0 {
		return 0, left
	}
	return 1, 0
}

// peerCount returns the number of attempts of other hosts.
func (r *record) peerCount(now time.Time) int {
	n := 0
	for _, p := range r.peers {
		if now.Before(p.until) {
			n += p.count
		}
	}
	return n
}

func (r *record) expired(now time.Time) bool {
	return !r.lastEnd.IsZero() && now.Sub(r.lastEnd) >= r.refusal()+forgetAfter
}
