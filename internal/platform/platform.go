package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value the store holds.
const MaxValueBytes = 1 << 20

// Errors of the store and the host list. Calls wrap them; test with errors.Is.
var (
	// ErrNotFound says that the key does not exist.
	ErrNotFound = errors.New("platform: key not found")
	// ErrLeaseLapsed says that the lease does not exist any more.
	ErrLeaseLapsed = errors.New("platform: lease lapsed")
	// ErrUnavailable says that the platform did not answer and that the call
	// certainly had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown says that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("platform: outcome of the write unknown")
	// ErrTooLarge says that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
)

// ConflictError refuses a compare-and-swap on a stale revision.
type ConflictError struct {
	Key string
	// Current is the key's revision now; 0 means that it does not exist.
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: %s is at revision %d", e.Key, e.Current)
}

// Entry is one key with its value.
type Entry struct {
	Key string `json:"key"`
	// Revision grows with every write to the store.
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
	// Lease ties the entry's life to a lease; "" is none.
	Lease string `json:"lease,omitempty"`
}

// Store is the platform's key-value store.
type Store interface {
	// Get returns ErrNotFound where there is no such key.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys begin with prefix, by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes value if the key is at revision (0: does not exist) and
	// returns the new revision. lease may be "". Errors: *ConflictError,
	// ErrLeaseLapsed, ErrTooLarge, ErrUnavailable, ErrOutcomeUnknown.
	Swap(ctx context.Context, key string, revision uint64, value []byte, lease string) (uint64, error)
	// Delete removes the key if it is at revision.
	Delete(ctx context.Context, key string, revision uint64) error
	// Watch returns the entry once the key's revision differs from revision,
	// or after wait the unchanged revision without a value.
	Watch(ctx context.Context, key string, revision uint64, wait time.Duration) (Entry, error)
	// Grant makes a lease that lapses ttl after its last renewal; the keys
	// written under it are then deleted.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// Renew returns ErrLeaseLapsed where the lease is gone.
	Renew(ctx context.Context, lease string) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease string) error
}

// HostState is a host's state in the host list.
type HostState string

// States of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one line of the host list. The list lags: a host in it may be gone,
// and a live one may be missing.
type Host struct {
	Name  string    `json:"name"`
	Zone  string    `json:"zone"`
	State HostState `json:"state"`
	// Peers is the address of the host's peers listener.
	Peers string `json:"peers"`
}

// HostList is the platform's list of entry hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
