package config

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrInvalidRecord means that the stored value cannot be decoded.
var ErrInvalidRecord = errors.New("config: stored record cannot be read")

// ErrNotApplied means that this submission certainly did not take effect. An
// earlier submission with the same change id may have taken effect.
var ErrNotApplied = errors.New("config: change not applied")

// ErrOutcomeUnknown means that a change may or may not have taken effect. The
// outcome can be queried by its change id.
var ErrOutcomeUnknown = errors.New("config: outcome of the change unknown")

// ErrUnknownChange means that no recent change has the given id.
var ErrUnknownChange = errors.New("config: no recent change with this id")

// ErrStoreBehind means that the version in the store is lower than the active
// one, because the store has lost data. A change based on it would never become
// active.
var ErrStoreBehind = errors.New("config: the store is behind the version in force")

// StaleError rejects a change that is based on a version other than the current
// one.
type StaleError struct {
	// Base is the version on which the change is based, Current the version in
	// the store.
	Base, Current uint64
	// Conflicts are the JSON pointers that the change writes and that were also
	// written since Base. The list may be empty: a change on an old base is
	// rejected even without conflicts.
	Conflicts []string
	// HistoryTruncated means that the change that followed Base is no longer
	// among the recent changes, so it cannot be determined whether an earlier
	// submission of this change took effect.
	HistoryTruncated bool
}

func (e *StaleError) Error() string {
	text := fmt.Sprintf("config: change is based on version %d, current is %d", e.Base, e.Current)
	if len(e.Conflicts) > 0 {
		text += fmt.Sprintf(", conflicting paths %v", e.Conflicts)
	}
	if e.HistoryTruncated {
		text += ", an earlier submission of it may have taken effect"
	}
	return text
}

// ReusedIDError rejects a change whose id already belongs to another change.
type ReusedIDError struct {
	ID string
	// Version is the version that the other change produced.
	Version uint64
}

func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("config: change id %s belongs to another change, which made version %d", e.ID, e.Version)
}

// TooLargeError rejects a change because the record would exceed the size limit
// of the store.
type TooLargeError struct {
	// Bytes is the size of the record with the change, Limit the maximum size.
	Bytes, Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("config: the record would take %d bytes, the store holds %d", e.Bytes, e.Limit)
}
