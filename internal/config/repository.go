package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/kv"
)

// StoreKey is the store key of the single value that contains the
// configuration.
const StoreKey = "balsambarrow/config"

// Retries of one submission.
const (
	// writeAttempts is how many times the same write is sent while its outcome
	// is unknown.
	writeAttempts = 3
	// writeRetryDelay is the delay between two attempts.
	writeRetryDelay = 50 * time.Millisecond
)

// Patch is a change as submitted by an operator.
type Patch struct {
	// ChangeID is a UUID chosen by the operator. It identifies the change if
	// the response was lost.
	ChangeID string
	// Base is the version on which the change is based.
	Base uint64
	// Merge is a JSON Merge Patch (RFC 7396).
	Merge json.RawMessage
	// ActiveVersion is the active version at the daemon to which the change is
	// submitted.
	ActiveVersion uint64
}

// AppliedChange is a change that has taken effect.
type AppliedChange struct {
	// Record is the record in the store, at the version of the change or later.
	Record *Record
	// Version is the version that the change produced.
	Version uint64
}

// Repository reads and writes the configuration in the platform's store.
type Repository struct {
	store kv.Store
	now   func() time.Time
}

// NewRepository returns a repository over store.
func NewRepository(store kv.Store, now func() time.Time) *Repository {
	return &Repository{store: store, now: now}
}

// Load returns the record and its revision. A nil record with revision 0 means
// that no configuration was ever written.
func (r *Repository) Load(ctx context.Context) (*Record, uint64, error) {
	item, err := r.store.Get(ctx, StoreKey)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	record, err := ParseRecord(item.Value)
	return record, item.Revision, err
}

// Apply writes a change. The possible errors are *StaleError, *ReusedIDError,
// *TooLargeError, jsonc.Faults, ErrStoreBehind, ErrNotApplied and
// ErrOutcomeUnknown. Submitting a change again after it was applied returns the
// applied change and writes nothing.
func (r *Repository) Apply(ctx context.Context, p Patch) (AppliedChange, error) {
	current, revision, err := r.Load(ctx)
	if err != nil {
		return AppliedChange{}, errors.Wrap(ErrNotApplied, err.Error())
	}
	if current == nil {
		current = &Record{Document: json.RawMessage(`{}`)}
	}
	if current.Version < p.ActiveVersion {
		return AppliedChange{}, errors.Wrapf(ErrStoreBehind, "version %d, in force %d", current.Version, p.ActiveVersion)
	}
	if applied, err := current.outcomeOf(p); applied.Record != nil || err != nil {
		return applied, err
	}
	next, err := current.withPatch(p, r.now())
	if err != nil {
		return AppliedChange{}, err
	}
	return r.write(ctx, next, revision, p)
}

// write sends the same write until its outcome is known. The retries are safe:
// every attempt names the same revision, so at most one attempt takes effect,
// and a delayed attempt finds another revision.
func (r *Repository) write(ctx context.Context, next *Record, revision uint64, p Patch) (AppliedChange, error) {
	if len(next.raw) > kv.MaxValueBytes {
		return AppliedChange{}, &TooLargeError{Bytes: len(next.raw), Limit: kv.MaxValueBytes}
	}
	mayBeApplied := false
	for attempt := range writeAttempts {
		if attempt > 0 {
			sleep(ctx, writeRetryDelay)
		}
		_, err := r.store.CompareAndSwap(ctx, StoreKey, revision, next.raw, 0)
		var conflict *kv.ConflictError
		switch {
		case err == nil:
			return AppliedChange{Record: next, Version: next.Version}, nil
		case errors.As(err, &conflict):
			return r.resolveConflict(ctx, p, mayBeApplied)
		case errors.Is(err, kv.ErrOutcomeUnknown):
			mayBeApplied = true
		case !mayBeApplied:
			return AppliedChange{}, errors.Wrap(ErrNotApplied, err.Error())
		}
	}
	return r.resolveConflict(ctx, p, mayBeApplied)
}

// resolveConflict determines whether a conflict was caused by the change
// itself: the write may have taken effect although its response was lost, so
// that the retry conflicts with it. The change id in the record identifies the
// write.
func (r *Repository) resolveConflict(ctx context.Context, p Patch, mayBeApplied bool) (AppliedChange, error) {
	record, _, err := r.Load(ctx)
	if err == nil && record != nil {
		if applied, err := record.outcomeOf(p); applied.Record != nil || err != nil {
			return applied, err
		}
	}
	if !mayBeApplied {
		return AppliedChange{}, errors.Wrap(ErrNotApplied, "lost against another write")
	}
	return AppliedChange{}, ErrOutcomeUnknown
}

// outcomeOf returns whether a change was applied or is permanently rejected.
// The zero values mean that its outcome is undecided. A change based on version
// n can only produce version n+1, so the outcome is decided once any change has
// produced that version. While n is current, a write may still be in flight and
// nothing is decided.
func (r *Record) outcomeOf(p Patch) (AppliedChange, error) {
	if c := r.changeByID(p.ChangeID); c != nil {
		if c.Version != p.Base+1 || c.PatchSHA256 != patchDigest(p.Merge) {
			return AppliedChange{}, &ReusedIDError{ID: p.ChangeID, Version: c.Version}
		}
		return AppliedChange{Record: r, Version: c.Version}, nil
	}
	if p.Base == r.Version {
		return AppliedChange{}, nil
	}
	return AppliedChange{}, &StaleError{
		Base: p.Base, Current: r.Version, Conflicts: r.conflicts(p),
		HistoryTruncated: p.Base < r.Version && r.changeByVersion(p.Base+1) == nil,
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
