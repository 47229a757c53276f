package quota

import "time"

// Level is the tokens of one quota, for a hand-over.
type Level struct {
	Quota  string
	Tokens float64
}

// ReleaseLevels empties the ledger before its slots pass to a zone peer, and
// returns the levels to pass with them. If clean is false, parts of the
// shares are still lent out: then the slots must not be used by the peer
// before Quarantine has passed, and the levels are lost.
//
// Accounts are made when they are first used. One that never was has saved
// tokens all the same, so all are made first: otherwise a customer that did
// not call here would lose its burst with every stop.
func (l *Ledger) ReleaseLevels(now time.Time) (levels []Level, clean bool) {
	for _, name := range l.declared() {
		l.with(name, now, func(*Account) {})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	clean = true
	l.epochs = []epoch{{now, &HeldSlots{}}}
	l.each(func(name string, a *Account) {
		a.advance(now)
		clean = clean && len(a.lender.loans) == 0
		if a.level > 0 {
			levels = append(levels, Level{name, a.level})
		}
		a.level = 0
		a.SetShares(Share{}, a.whole, now)
	})
	return levels, clean
}

// declared lists every quota of the newest version in use.
func (l *Ledger) declared() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.epochs) == 0 {
		return nil
	}
	versions := l.epochs[len(l.epochs)-1].shape.Versions
	if len(versions) == 0 {
		return nil
	}
	c := versions[len(versions)-1].Config
	var names []string
	for customer := range c.Customers {
		names = append(names, CustomerQuota(customer))
	}
	for _, q := range c.Quotas() {
		names = append(names, q.Name)
	}
	return names
}

// AddLevels adds levels that came with slots from a zone peer, as far as the
// capacity, which must be set before, holds them.
func (l *Ledger) AddLevels(levels []Level, now time.Time) {
	for _, x := range levels {
		l.with(x.Quota, now, func(a *Account) { a.Refund(x.Tokens, now) })
	}
}
