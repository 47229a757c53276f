package posting

import (
	"maps"
	"slices"
	"time"
)

// Kept is one posting as it is handed over.
type Kept struct {
	ID       ID
	Customer string
	Digest   Digest
	State    State
	Answer   *Answer
}

// Handover is all that is remembered of one instance.
type Handover struct {
	Instance string
	Epoch    uint64
	Postings []Kept
}

// Seal ends the running of new postings for good and returns what is
// remembered: of this instance, and of those it answers for.
//
// Only what ended before is handed over with its outcome. A posting that
// still runs goes as unknown: if it went as absent, the successor would call
// it not-run while an upstream runs it.
func (t *Table) Seal(now time.Time) []Handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	t.sealed = true
	all := []Handover{handover(t.instance, &t.own)}
	for _, instance := range slices.Sorted(maps.Keys(t.archives)) {
		all = append(all, handover(instance, &t.archives[instance].memory))
	}
	return all
}

func handover(instance string, m *memory) Handover {
	h := Handover{Instance: instance, Epoch: m.epoch}
	for epoch, e := range m.epochs {
		for k, r := range e.records {
			kept := Kept{
				ID:       ID{Instance: instance, Epoch: epoch, Own: k.own},
				Customer: k.customer, Digest: r.digest, State: r.state, Answer: r.answer.unpack(),
			}
			if kept.State == StateRunning {
				kept.State = StateUnknown
			}
			h.Postings = append(h.Postings, kept)
		}
	}
	return h
}

// Take enters what a stopped instance remembered. It returns false, and takes
// nothing, where there is no room for all of it: a part would call the rest
// not-run. Answers beyond the bound of bytes are dropped.
func (t *Table) Take(h Handover, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if h.Instance == t.instance || t.archives[h.Instance] != nil {
		return t.archives[h.Instance] != nil
	}
	if t.sealed || len(t.archives) >= MaxArchives || t.records+len(h.Postings) > t.limits.Records {
		return false
	}
	a := &archive{memory: newMemory(h.Epoch), takenAt: now, atEpoch: h.Epoch}
	for _, kept := range h.Postings {
		r := &record{digest: kept.Digest}
		a.put(kept.ID.Epoch, key{customer: kept.Customer, own: kept.ID.Own}, r)
		t.keep(a.epochs[kept.ID.Epoch], r, kept.State, pack(kept.Answer))
		t.records++
	}
	t.archives[h.Instance] = a
	return true
}

// AnswersFor lists the stopped instances that are answered for, in order.
func (t *Table) AnswersFor(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return slices.Sorted(maps.Keys(t.archives))
}
