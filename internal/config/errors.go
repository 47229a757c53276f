package config

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrInvalidRecord says that the stored value cannot be read.
var ErrInvalidRecord = errors.New("config: stored record cannot be read")

// ErrNotApplied says that this submission certainly did not take effect. An
// earlier one with the same change id may have.
var ErrNotApplied = errors.New("config: change not applied")

// ErrOutcomeUnknown says that a change may or may not have taken effect; ask
// for its change id.
var ErrOutcomeUnknown = errors.New("config: outcome of the change unknown")

// ErrUnknownChange says that no recent change has this id.
var ErrUnknownChange = errors.New("config: no recent change with this id")

// ErrStoreBehind says that the store holds a lower version than is in force:
// it has lost data. A change on top of it would never come into force.
var ErrStoreBehind = errors.New("config: the store is behind the version in force")

// StaleError refuses a change that was built on an old version.
type StaleError struct {
	// Base is the version the change was built on, Current the one in the store.
	Base, Current uint64
	// Conflicts are JSON pointers that the change writes and that were
	// written since Base. It may be empty: the base is stale all the same.
	Conflicts []string
	// HistoryTruncated says that the change that followed Base is no longer among
	// the recent ones: whether an earlier submission of the same change took
	// effect cannot be told any more.
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

// ReusedIDError refuses a change id that names another change already.
type ReusedIDError struct {
	ID string
	// Version that the other change made.
	Version uint64
}

func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("config: change id %s belongs to another change, which made version %d", e.ID, e.Version)
}

// TooLargeError refuses a change that makes the record exceed what the store
// holds.
type TooLargeError struct {
	// Bytes is the record's size with the change, Limit the store's bound.
	Bytes, Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("config: the record would take %d bytes, the store holds %d", e.Bytes, e.Limit)
}
