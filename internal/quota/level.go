package quota

import "time"

// Level is the tokens of one quota, for a hand-over.
type Level struct {
	Quota  string
	Tokens float64
}

// Surrender empties the ledger before its slots pass to a zone peer, and
// returns the levels to pass with them. If clean is false, parts of the
// shares are still lent out: then the slots must not be used by the peer
// before Quarantine has passed, and the levels are lost.
func (l *Ledger) Surrender(now time.Time) (levels []Level, clean bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clean = true
	l.epochs = []epoch{{now, &Shape{}}}
	l.each(func(name string, a *Account) {
		a.advance(now)
		clean = clean && len(a.lender.loans) == 0
		if a.level > 0 {
			levels = append(levels, Level{name, a.level})
		}
		a.level = 0
		a.Reshape(Share{}, a.whole, now)
	})
	return levels, clean
}

// Adopt adds levels that came with slots from a zone peer, as far as the
// capacity, which must be set before, holds them.
func (l *Ledger) Adopt(levels []Level, now time.Time) {
	for _, x := range levels {
		l.with(x.Quota, now, func(a *Account) { a.Refund(x.Tokens, now) })
	}
}
