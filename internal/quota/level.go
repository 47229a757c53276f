package quota

import "time"

// Level is the tokens of one quota, for a hand-over.
type Level struct {
	Quota  string
	Tokens float64
}

// Surrender empties the ledger before its slots pass to a zone peer, and
// returns the levels to pass with them. clean tells that no part of them is
// elsewhere; otherwise they must not be passed on.
func (l *Ledger) Surrender(now time.Time) (levels []Level, clean bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, b := range l.buckets {
		if level := b.Level(now); level > 0 {
			levels = append(levels, Level{Quota: name, Tokens: level})
		}
	}
	clear(l.buckets)
	return levels, true
}

// Adopt adds levels that came with slots from a zone peer, as far as the
// capacity, which must be set before, holds them.
func (l *Ledger) Adopt(levels []Level, now time.Time) {
	for _, x := range levels {
		l.Refund(x.Quota, x.Tokens, now)
	}
}
