package upstream

import "time"

// MaxTakeoverDuration is how long the slots of an upstream that moved here
// stay limited if its previous handler reports nothing. By then the previous
// handler has received the membership change, or has been unresponsive for
// long enough to be considered failed.
const MaxTakeoverDuration = 2 * time.Second

// Takeover limits the slots of an upstream that was handled by another daemon
// until now.
//
// It prevents overload when the membership changes under full load: the
// previous handler still uses up to all slots of the upstream, and without a
// limit the new one would start as many requests again, so that the upstream
// sheds requests or becomes slow for all. If the previous handler reports its
// count, both together start no more requests than there are slots. Without
// reports, the limit grows from one slot to all of them over
// MaxTakeoverDuration. One slot is always available, so that an outdated
// count cannot leave the upstream idle; both handlers together may therefore
// exceed the slots by one.
type Takeover struct {
	startedAt time.Time
	reported  bool
	running   int
}

// NewTakeover returns a takeover that starts at now, without a report of the
// previous handler.
func NewTakeover(now time.Time) *Takeover { return &Takeover{startedAt: now} }

// Report records the number of requests that the previous handler still runs,
// from its latest heartbeat. 0 ends the takeover.
func (t *Takeover) Report(running int) {
	t.reported, t.running = true, running
}

// Finished reports whether all slots of the upstream may be used again.
func (t *Takeover) Finished(now time.Time) bool {
	if t.reported && t.running == 0 {
		return true
	}
	// A count that never reaches 0 is from a handler that has stopped or
	// serves long responses; it must not limit the slots permanently.
	return now.Sub(t.startedAt) >= MaxTakeoverDuration
}

// SlotLimit returns the number of the upstream's slots that may be used here
// at now.
func (t *Takeover) SlotLimit(slots int, now time.Time) int {
	switch {
	case slots <= 1 || t.Finished(now):
		return slots
	case t.reported:
		return min(max(slots-t.running, 1), slots)
	default:
		fraction := float64(now.Sub(t.startedAt)) / float64(MaxTakeoverDuration)
		return 1 + int(float64(slots-1)*max(fraction, 0))
	}
}
