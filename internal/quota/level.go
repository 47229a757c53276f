package quota

import "time"

// Level is the number of tokens of one quota, for a transfer to another
// daemon.
type Level struct {
	Quota  string
	Tokens float64
}

// ReleaseLevels empties the ledger before its slots are transferred to another
// daemon of the zone, and returns the levels to transfer with the slots. If
// clean is false, parts of the shares are still lent; the other daemon must
// then not use the slots before Quarantine has passed, and the levels are
// lost.
//
// Accounts are created on first use. A quota without an account has
// accumulated tokens as well, so all accounts are created first. Otherwise a
// customer that sent no request to this daemon would lose its burst at every
// stop.
func (l *Ledger) ReleaseLevels(now time.Time) (levels []Level, clean bool) {
	for _, name := range l.declaredQuotas() {
		l.withAccount(name, now, func(*Account) {})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	clean = true
	l.epochs = []epoch{{now, &HeldSlots{}}}
	l.forEach(func(name string, a *Account) {
		a.advance(now)
		clean = clean && len(a.lent.loans) == 0
		if a.level > 0 {
			levels = append(levels, Level{name, a.level})
		}
		a.level = 0
		a.SetShares(Share{}, a.total, now)
	})
	return levels, clean
}

// declaredQuotas returns the names of all quotas in the newest configuration
// version.
func (l *Ledger) declaredQuotas() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.epochs) == 0 {
		return nil
	}
	versions := l.epochs[len(l.epochs)-1].heldSlots.Versions
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

// AddLevels adds the levels that were transferred with slots from another
// daemon of the zone. Tokens above the capacity of the account are dropped, so
// the slots must be set before.
func (l *Ledger) AddLevels(levels []Level, now time.Time) {
	for _, x := range levels {
		l.withAccount(x.Quota, now, func(a *Account) { a.Refund(x.Tokens, now) })
	}
}
