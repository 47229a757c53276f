// Package kv is the port to the platform's key-value store: compare-and-swap,
// leases and watches. The adapter implements it; whoever follows the store or
// registers in it depends on this package alone.
package kv

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Errors of the store. Calls wrap them; test with errors.Is.
var (
	// ErrNotFound says that there is no such key.
	ErrNotFound = errors.New("kv: key not found")
	// ErrLeaseExpired says that there is no such lease any more.
	ErrLeaseExpired = errors.New("kv: lease lapsed")
	// ErrCompacted says that the history after the revision is gone: read
	// the keys again.
	ErrCompacted = errors.New("kv: history compacted")
	// ErrTooLarge says that a value exceeds MaxValueBytes; the store was not called.
	ErrTooLarge = errors.New("kv: value too large")
	// ErrUnavailable says that the call certainly had no effect.
	ErrUnavailable = errors.New("kv: store unavailable")
	// ErrOutcomeUnknown says that there was no answer: a write may have taken
	// effect, or may do so seconds later.
	ErrOutcomeUnknown = errors.New("kv: outcome unknown")
)

// ConflictError refuses a write whose condition does not hold.
type ConflictError struct {
	Key string
	// Current is the key's revision now; 0 says that it does not exist.
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("kv: %s is at revision %d", e.Key, e.Current)
}

// MalformedError says that the store's answer could not be read.
type MalformedError struct {
	Call  string
	Cause error
}

func (e *MalformedError) Error() string { return fmt.Sprintf("kv: answer to %s: %v", e.Call, e.Cause) }

// Item is one key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision of the last change.
	Revision uint64
}

// Event is one change of a key.
type Event struct {
	Item
	// Deleted says that the key was removed; Value is then empty.
	Deleted bool
}

// Listing is what keys a prefix had. It is read in pages, so changes made
// meanwhile may be missing: watch on from Revision.
type Listing struct {
	Items []Item
	// Revision that no page is older than.
	Revision uint64
}

// Changes are the events after a revision.
type Changes struct {
	Events []Event
	// Revision to watch on from.
	Revision uint64
}

// Store is the platform's key-value store.
type Store interface {
	// List returns the keys that begin with prefix. stale allows an answer
	// that may be seconds old, at a tenth of the price.
	List(ctx context.Context, prefix string, stale bool) (Listing, error)
	// Watch waits up to wait for a change after the revision. No event means
	// only that none was seen: a watch may be deaf for a second.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	// Get reads one key.
	Get(ctx context.Context, key string) (Item, error)
	// Put writes a key, whatever it holds. lease 0 is none.
	Put(ctx context.Context, key string, value []byte, lease uint64) error
	// CompareAndSwap writes a key if it is at revision, 0: does not exist, and returns the new
	// revision. Otherwise the error is a *ConflictError.
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease uint64) (uint64, error)
	// Delete removes a key if it is at revision.
	Delete(ctx context.Context, key string, revision uint64) error
	// Grant makes a lease; its keys are removed ttl after the last renewal.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew keeps a lease, or returns ErrLeaseLapsed.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease uint64) error
}
