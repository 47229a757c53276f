// Package kv defines the interface of the platform's key-value store, with
// compare-and-swap, leases and watches. Package platform implements it. Code that
// watches the store or registers in it depends only on this package.
package kv

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Errors of the store. Implementations may wrap them; test with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("kv: key not found")
	// ErrLeaseExpired means that the lease does not exist any more.
	ErrLeaseExpired = errors.New("kv: lease expired")
	// ErrCompacted means that the store no longer has the history after the
	// revision; the keys have to be listed again.
	ErrCompacted = errors.New("kv: history compacted")
	// ErrTooLarge means that a value exceeds MaxValueBytes; the store was not called.
	ErrTooLarge = errors.New("kv: value too large")
	// ErrUnavailable means that the call failed and had no effect.
	ErrUnavailable = errors.New("kv: store unavailable")
	// ErrOutcomeUnknown means that there was no response: a write may have taken
	// effect, or may take effect seconds later.
	ErrOutcomeUnknown = errors.New("kv: outcome unknown")
)

// ConflictError means that a conditional write was rejected, because the key is at
// another revision.
type ConflictError struct {
	Key string
	// Current is the current revision of the key, or 0 if it does not exist.
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("kv: %s is at revision %d", e.Key, e.Current)
}

// MalformedError means that a response of the store could not be decoded.
type MalformedError struct {
	Call  string
	Cause error
}

func (e *MalformedError) Error() string { return fmt.Sprintf("kv: answer to %s: %v", e.Call, e.Cause) }

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision of the latest change of the key.
	Revision uint64
}

// Event is a change of a key.
type Event struct {
	Item
	// Deleted is true if the key was deleted; Value is then empty.
	Deleted bool
}

// Listing holds the keys with a prefix. It is read in pages, each of which may show the
// store at another revision.
type Listing struct {
	Items []Item
	// Revision is the revision up to which all pages are complete. A watch from there
	// returns the changes that any of them lacks.
	Revision uint64
}

// Changes holds the events after a revision.
type Changes struct {
	Events []Event
	// Revision is where the next watch has to continue.
	Revision uint64
	// More is set if there may be further events that were left out because the response
	// would have become too large.
	More bool
}

// Store is the platform's key-value store.
type Store interface {
	// List returns the keys that begin with prefix. stale allows a listing that is
	// several seconds old, which costs a tenth of a current one.
	List(ctx context.Context, prefix string, stale bool) (Listing, error)
	// Watch waits up to wait for a change after the revision. A response without
	// events does not prove that nothing has changed: a watch may fail to receive
	// changes for up to a second.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	// Get returns a key.
	Get(ctx context.Context, key string) (Item, error)
	// Put writes a key unconditionally. A lease of 0 means no lease.
	Put(ctx context.Context, key string, value []byte, lease uint64) error
	// CompareAndSwap writes a key if it is at revision, and returns the new revision.
	// Revision 0 means that the key must not exist. If the condition does not hold,
	// the error is a *ConflictError.
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease uint64) (uint64, error)
	// Delete deletes a key if it is at revision. Otherwise the error is a
	// *ConflictError.
	Delete(ctx context.Context, key string, revision uint64) error
	// Grant creates a lease. Its keys are deleted ttl after the latest renewal.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew renews a lease, or returns ErrLeaseExpired.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease uint64) error
}
