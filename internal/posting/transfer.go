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

// Seal permanently stops the table from running new postings. It returns the
// records of this instance and of the instances whose records were imported.
//
// Only postings that have ended are transferred with their outcome. A posting
// that is still running is transferred with StateUnknown. If it were left out,
// the successor would report it as not-run while an upstream runs it.
func (t *Table) Seal(now time.Time) []Transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	t.sealed = true
	transfers := []Transfer{exportRecords(t.instance, &t.ownRecords)}
	for _, instance := range slices.Sorted(maps.Keys(t.imported)) {
		transfers = append(transfers, exportRecords(instance, &t.imported[instance].instanceRecords))
	}
	return transfers
}

func exportRecords(instance string, records *instanceRecords) Transfer {
	transfer := Transfer{Instance: instance, Epoch: records.currentEpoch}
	for epoch, e := range records.epochs {
		for k, r := range e.records {
			posting := TransferRecord{
				ID:       ID{Instance: instance, Epoch: epoch, Suffix: k.suffix},
				Customer: k.customer, Digest: r.digest, State: r.state, Response: r.response.response(),
			}
			if posting.State == StateRunning {
				posting.State = StateUnknown
			}
			transfer.Postings = append(transfer.Postings, posting)
		}
	}
	return transfer
}

// Import adds the records of a stopped instance and reports whether the table
// holds them. If the table has no room for all records, Import adds none:
// with a part of the records, the table would report the missing postings as
// not-run. Responses beyond the byte limits are dropped.
func (t *Table) Import(transfer Transfer, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if transfer.Instance == t.instance || t.imported[transfer.Instance] != nil {
		return t.imported[transfer.Instance] != nil
	}
	if t.sealed || len(t.imported) >= MaxImportedInstances || t.records+len(transfer.Postings) > t.limits.Records {
		return false
	}
	imported := &importedRecords{instanceRecords: newInstanceRecords(transfer.Epoch), importedAt: now, importedEpoch: transfer.Epoch}
	for _, posting := range transfer.Postings {
		r := &record{digest: posting.Digest}
		imported.add(posting.ID.Epoch, key{customer: posting.Customer, suffix: posting.ID.Suffix}, r)
		t.storeOutcome(imported.epochs[posting.ID.Epoch], r, posting.State, newStoredResponse(posting.Response))
		t.records++
	}
	t.imported[transfer.Instance] = imported
	return true
}

// ImportedInstances returns the sorted names of the stopped instances whose
// records this table holds.
func (t *Table) ImportedInstances(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	return slices.Sorted(maps.Keys(t.imported))
}
