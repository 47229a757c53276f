package upstream

import "time"

// TakeoverBound is how long the room of an upstream that moved here stays
// reduced where nothing is heard of its earlier handler: by then the earlier
// one has heard of the change, or is silent for as long as a dead one.
const MaxTakeoverDuration = 2 * time.Second

// Takeover bounds the room of an upstream that another daemon handled until
// now.
//
// The load pattern answered: membership changes under full load. The earlier
// handler still runs up to all of the upstream's slots, and without a bound
// the new one starts as many again: the upstream sheds, or serves everybody
// slowly. With the earlier handler's count the two together start no more than
// the slots; without it the room grows from one slot to all over
// TakeoverBound. One slot is always granted, so that the upstream cannot be
// left idle by an old count; the two may exceed the slots by that one.
type Takeover struct {
	startedAt time.Time
	reported  bool
	running   int
}

// NewTakeover begins at now; nothing is known of the earlier handler.
func NewTakeover(now time.Time) *Takeover { return &Takeover{startedAt: now} }

// Report notes how many requests the earlier handler still runs, by its latest
// heartbeat. 0 ends the takeover.
func (t *Takeover) Report(running int) {
	t.reported, t.running = true, running
}

// Over tells whether the upstream's room is whole again.
func (t *Takeover) Finished(now time.Time) bool {
	if t.reported && t.running == 0 {
		return true
	}
	// A count that never reaches 0 comes from a handler that is gone or keeps
	// long answers; those few must not reduce the room for ever.
	return now.Sub(t.startedAt) >= MaxTakeoverDuration
}

// Room returns how many of the upstream's slots may be in use here at now.
func (t *Takeover) SlotLimit(slots int, now time.Time) int {
	switch {
	case slots <= 1 || t.Finished(now):
		return slots
	case t.reported:
		return min(max(slots-t.running, 1), slots)
	default:
		part := float64(now.Sub(t.startedAt)) / float64(MaxTakeoverDuration)
		return 1 + int(float64(slots-1)*max(part, 0))
	}
}
