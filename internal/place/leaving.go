package place

// leaving is whether an instance of an upstream has announced that it is about to stop. The
// announcement stays in force until the upstream restarts: its registration may never say so,
// and a store that is down does not update it.
type leaving struct {
	announced bool
	// firstHand is set if this host received the announcement itself.
	firstHand bool
}

// ObserveLeaving records that the upstream of a choice has announced that it leaves. It reports
// whether that was not known before.
func (t *Table) ObserveLeaving(c Choice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.instance(c)
	if w == nil || w.announced.leaving.firstHand {
		return false
	}
	known := w.announced.leaving.announced
	w.announced.leaving = leaving{announced: true, firstHand: true}
	return !known
}

// LeavingReports returns the registered instances that have announced to this host that they
// leave; see RateLimitReport.Instance.
func (t *Table) LeavingReports() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []uint64
	for _, w := range t.byID {
		if w.announced.leaving.firstHand && len(out) < maxAnnouncementReports {
			out = append(out, w.instanceKey())
		}
	}
	return out
}

// ApplyLeavingReports applies the reports of another host, and returns the IDs of the upstreams
// that were not known to leave.
func (t *Table) ApplyLeavingReports(reports []uint64) []string {
	if len(reports) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []string
	for _, key := range reports {
		if w := t.byInstanceKey(key); w != nil && !w.announced.leaving.announced {
			w.announced.leaving.announced = true
			changed = append(changed, w.ID)
		}
	}
	return changed
}
