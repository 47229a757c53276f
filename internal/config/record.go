package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/jsonc"
)

// Limits of the recent changes stored in a Record.
const (
	// MaxChanges is the number of recent changes kept. At 6,200 changes a day,
	// one every 14 s, it covers a quarter of an hour. That is more than can be
	// submitted while the outcome of a write with a lost response is
	// determined.
	MaxChanges = 64
	// MaxStoredPatchBytes is the size of the largest patch that is stored in
	// full. Any patch of one drain, move, key or customer fits. MaxChanges
	// patches of this size take an eighth of the store's limit.
	MaxStoredPatchBytes = 2 << 10
	// maxStoredPaths limits the paths stored for a larger patch.
	maxStoredPaths = 32
)

// Record is the stored form of the configuration: a single value in the store.
type Record struct {
	Version uint64 `json:"version"`
	// Document is the configuration as plain JSON.
	Document json.RawMessage `json:"document"`
	// Changes are the most recent changes, newest last, at most MaxChanges.
	// They determine the outcome of a write whose response was lost.
	Changes []Change `json:"changes"`

	// raw is the encoded form, and config the parsed document, if known.
	raw    []byte
	config *Config
}

// Change is an accepted change. A change based on version n produces version
// n+1, so its position in the history is known before it is submitted.
type Change struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	// AtUnixMs is when the daemon that applied the change submitted it to the
	// store.
	AtUnixMs int64 `json:"at_unix_ms"`
	// PatchSHA256 is the digest of the patch without white space, in
	// hexadecimal.
	PatchSHA256 string `json:"patch_sha256"`
	// Patch is the submitted patch, if its size is at most MaxStoredPatchBytes.
	Patch json.RawMessage `json:"patch,omitempty"`
	// Paths are the paths written by a larger patch, or their parents if there
	// are too many paths.
	Paths []string `json:"paths,omitempty"`
}

// Activate parses the document of the record and builds its indexes. The error
// wraps a jsonc.Faults value.
func (r *Record) Activate() (*Active, error) {
	if r.config == nil {
		c, err := Parse("store", r.Document)
		if err != nil {
			return nil, errors.Wrapf(err, "version %d", r.Version)
		}
		r.config = c
	}
	return NewActive(r.Version, r.config), nil
}

// Encode returns the stored form of the record.
func (r *Record) Encode() ([]byte, error) {
	if r.raw != nil {
		return r.raw, nil
	}
	raw, err := json.Marshal(r)
	return raw, errors.Wrap(err, "encode record")
}

// ParseRecord decodes a stored value. The error is ErrInvalidRecord if the
// value is not a record.
func ParseRecord(value []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, errors.Wrap(ErrInvalidRecord, err.Error())
	}
	if r.Version == 0 || len(r.Document) == 0 {
		return nil, errors.Wrap(ErrInvalidRecord, "no version or no document")
	}
	r.raw = value
	return r, nil
}

func newChange(p Patch, version uint64, now time.Time) Change {
	c := Change{ID: p.ChangeID, Version: version, AtUnixMs: now.UnixMilli(), PatchSHA256: patchDigest(p.Merge)}
	if len(p.Merge) <= MaxStoredPatchBytes {
		c.Patch = p.Merge
		return c
	}
	c.Paths = boundedPaths(p.Merge)
	return c
}

// patchDigest ignores white space, so that a retry may be formatted
// differently.
func patchDigest(patch json.RawMessage) string {
	var compact bytes.Buffer
	if json.Compact(&compact, patch) != nil {
		compact.Reset()
		compact.Write(patch)
	}
	sum := sha256.Sum256(compact.Bytes())
	return hex.EncodeToString(sum[:])
}

// boundedPaths returns the paths that a patch writes, truncated to the depth at
// which there are at most maxStoredPaths.
func boundedPaths(patch json.RawMessage) []string {
	for depth := maxPathDepth; depth > 0; depth-- {
		if paths := patchPaths(patch, depth); len(paths) <= maxStoredPaths {
			return paths
		}
	}
	return []string{""}
}

// writtenPaths returns the paths that the change wrote.
func (c *Change) writtenPaths() []string {
	if len(c.Patch) > 0 {
		return patchPaths(c.Patch, maxPathDepth)
	}
	return c.Paths
}

// Find returns a recent change by its id. The error is ErrUnknownChange if
// there is none.
func (r *Record) Find(id string) (Change, error) {
	if c := r.changeByID(id); c != nil {
		return *c, nil
	}
	return Change{}, errors.Wrap(ErrUnknownChange, id)
}

func (r *Record) changeByID(id string) *Change {
	for i := range r.Changes {
		if r.Changes[i].ID == id {
			return &r.Changes[i]
		}
	}
	return nil
}

// changeByVersion returns the change that produced a version, or nil if it is
// no longer among the recent changes.
func (r *Record) changeByVersion(version uint64) *Change {
	for i := range r.Changes {
		if r.Changes[i].Version == version {
			return &r.Changes[i]
		}
	}
	return nil
}

// withPatch returns the next version of the record, with a patch applied. The
// error is a jsonc.Faults value.
func (r *Record) withPatch(p Patch, now time.Time) (*Record, error) {
	merged, err := Merge(r.Document, p.Merge)
	if err != nil {
		return nil, err
	}
	c, err := Parse("patched", merged)
	if err != nil {
		return nil, err
	}
	changes := make([]Change, 0, len(r.Changes)+1)
	changes = append(changes, r.Changes...)
	changes = append(changes, newChange(p, r.Version+1, now))
	if extra := len(changes) - MaxChanges; extra > 0 {
		changes = changes[extra:]
	}
	next := &Record{Version: r.Version + 1, Document: merged, Changes: changes, config: c}
	next.raw, err = next.Encode()
	if err != nil {
		return nil, jsonc.Faults{{File: "patched", Line: 1, Problem: err.Error()}}
	}
	return next, nil
}
