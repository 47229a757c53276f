package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/kv"
)

// StoreKey is the store's key of the one value that holds the configuration.
const StoreKey = "balsambarrow/config"

// Bounds of one submission.
const (
	// writeTries is how often the same write is sent while its outcome is
	// unknown.
	writeTries = 3
	// writePause lies between two of them.
	writePause = 50 * time.Millisecond
)

// Patch is one change as an operator submits it.
type Patch struct {
	// ChangeID is chosen by the operator (a UUID) and settles lost answers.
	ChangeID string
	// Base is the version the change was built on.
	Base uint64
	// Merge is a JSON Merge Patch (RFC 7396).
	Merge json.RawMessage
	// ActiveVersion is the version in force where the change is submitted.
	ActiveVersion uint64
}

// AppliedChange is a change that took effect.
type AppliedChange struct {
	// Record is the store's, at the change's version or a later one.
	Record *Record
	// Version that the change made.
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

// Load returns the record and its revision; a nil record and revision 0 mean
// that none was ever written.
func (r *Repository) Load(ctx context.Context) (*Record, uint64, error) {
	e, err := r.store.Get(ctx, StoreKey)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	rec, err := ParseRecord(e.Value)
	return rec, e.Revision, err
}

// Apply writes a change. Errors: *StaleError, *ReusedIDError, *TooLargeError,
// jsonc.Faults, ErrStoreBehind, ErrNotApplied, ErrOutcomeUnknown. Submitting
// an applied change again tells that it was applied and changes nothing.
func (r *Repository) Apply(ctx context.Context, p Patch) (AppliedChange, error) {
	old, revision, err := r.Load(ctx)
	if err != nil {
		return AppliedChange{}, errors.Wrap(ErrNotApplied, err.Error())
	}
	if old == nil {
		old = &Record{Document: json.RawMessage(`{}`)}
	}
	if old.Version < p.ActiveVersion {
		return AppliedChange{}, errors.Wrapf(ErrStoreBehind, "version %d, in force %d", old.Version, p.ActiveVersion)
	}
	if applied, err := old.settle(p); applied.Record != nil || err != nil {
		return applied, err
	}
	next, err := old.next(p, r.now())
	if err != nil {
		return AppliedChange{}, err
	}
	return r.write(ctx, next, revision, p)
}

// write sends the same write until its outcome is known. That is safe: each
// try names the same revision, so at most one of them takes effect, and a try
// that comes late finds another revision.
func (r *Repository) write(ctx context.Context, next *Record, revision uint64, p Patch) (AppliedChange, error) {
	if len(next.raw) > kv.MaxValueBytes {
		return AppliedChange{}, &TooLargeError{Bytes: len(next.raw), Limit: kv.MaxValueBytes}
	}
	doubt := false
	for try := range writeTries {
		if try > 0 {
			pause(ctx, writePause)
		}
		_, err := r.store.CompareAndSwap(ctx, StoreKey, revision, next.raw, 0)
		var conflict *kv.ConflictError
		switch {
		case err == nil:
			return AppliedChange{Record: next, Version: next.Version}, nil
		case errors.As(err, &conflict):
			return r.afterConflict(ctx, p, doubt)
		case errors.Is(err, kv.ErrOutcomeUnknown):
			doubt = true
		case !doubt:
			return AppliedChange{}, errors.Wrap(ErrNotApplied, err.Error())
		}
	}
	return r.afterConflict(ctx, p, doubt)
}

// afterConflict guards against a lost answer: the write took effect, the
// daemon sees an error, sends it again and meets a conflict with its own
// change. The change id in the record tells whose write it was.
func (r *Repository) afterConflict(ctx context.Context, p Patch, doubt bool) (AppliedChange, error) {
	rec, _, err := r.Load(ctx)
	if err == nil && rec != nil {
		if applied, err := rec.settle(p); applied.Record != nil || err != nil {
			return applied, err
		}
	}
	if !doubt {
		return AppliedChange{}, errors.Wrap(ErrNotApplied, "lost against another write")
	}
	return AppliedChange{}, ErrOutcomeUnknown
}

// settle tells what has become of a change: applied, refused for good, or, by
// the zero values, still open. A change based on version n could only make
// version n+1, so whatever made that version settles it. While n is current,
// a write may still be on its way and nothing is settled.
func (r *Record) settle(p Patch) (AppliedChange, error) {
	if c := r.change(p.ChangeID); c != nil {
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
		HistoryTruncated: p.Base < r.Version && r.made(p.Base+1) == nil,
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
