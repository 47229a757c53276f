package posting

import (
	"maps"
	"slices"
	"time"
)

// TransferRecord is the record of one posting in a Transfer.
type TransferRecord struct {
	ID       ID
	Customer string
	Digest   Digest
	State    State
	Response *Response
}

// Transfer holds all records of one instance, for another instance to import.
type Transfer struct {
	Instance string
	Epoch    uint64
	Postings []TransferRecord
}

// Seal ends the running of new postings for good and returns what is
// remembered: of this instance, and of those it answers for.
//
// Only what ended before is handed over with its outcome. A posting that
// still runs goes as unknown: if it went as absent, the successor would call
// it not-run while an upstream runs it.
func (t *Table) Seal(now time.Time) []Transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	t.sealed = true
	all := []Transfer{handover(t.instance, &t.own)}
	for _, instance := range slices.Sorted(maps.Keys(t.archives)) {
		all = append(all, handover(instance, &t.archives[instance].memory))
	}
	return all
}

func handover(instance string, m *memory) Transfer {
	h := Transfer{Instance: instance, Epoch: m.epoch}
	for epoch, e := range m.epochs {
		for k, r := range e.records {
			kept := TransferRecord{
				ID:       ID{Instance: instance, Epoch: epoch, Suffix: k.own},
				Customer: k.customer, Digest: r.digest, State: r.state, Response: r.answer.unpack(),
			}
			if kept.State == StateRunning {
				kept.State = StateUnknown
			}
			h.Postings = append(h.Postings, kept)
		}
	}
	return h
}

// Import adds the records of a stopped instance. It returns false, and takes
// nothing, where there is no room for all of it: a part would call the rest
// not-run. Answers beyond the bound of bytes are dropped.
func (t *Table) Import(h Transfer, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if h.Instance == t.instance || t.archives[h.Instance] != nil {
		return t.archives[h.Instance] != nil
	}
	if t.sealed || len(t.archives) >= MaxImportedInstances || t.records+len(h.Postings) > t.limits.Records {
		return false
	}
	a := &archive{memory: newMemory(h.Epoch), takenAt: now, atEpoch: h.Epoch}
	for _, kept := range h.Postings {
		r := &record{digest: kept.Digest}
		a.put(kept.ID.Epoch, key{customer: kept.Customer, own: kept.ID.Suffix}, r)
		t.keep(a.epochs[kept.ID.Epoch], r, kept.State, pack(kept.Response))
		t.records++
	}
	t.archives[h.Instance] = a
	return true
}

// ImportedInstances returns the sorted names of the instances whose records were
// imported.
func (t *Table) ImportedInstances(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return slices.Sorted(maps.Keys(t.archives))
}
