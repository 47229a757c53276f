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

// Bounds of what a Record keeps of its recent changes.
const (
	// MaxChanges is more than can be submitted (6,200 a day is one in 14 s)
	// while a lost answer is being settled, and a quarter of an hour of them.
	MaxChanges = 64
	// MaxStoredPatchBytes is the largest patch kept whole, in bytes: any drain, move,
	// key or customer. MaxChanges of them take an eighth of the store's limit.
	MaxStoredPatchBytes = 2 << 10
	// maxKeptPaths bounds the paths kept of a larger patch.
	maxKeptPaths = 32
)

// Record is the configuration as it lies in the store: one value.
type Record struct {
	Version uint64 `json:"version"`
	// Document is the configuration as plain JSON.
	Document json.RawMessage `json:"document"`
	// Changes are the most recent changes, newest last, MaxChanges at most.
	// They settle a write whose answer was lost.
	Changes []Change `json:"changes"`

	// raw is the encoded form, config the decoded document, where known.
	raw    []byte
	config *Config
}

// Change is one accepted change. A change based on version n makes version
// n+1, so its place in the history is known before it is submitted.
type Change struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	// AtUnixMs is when the daemon that applied it submitted it.
	AtUnixMs int64 `json:"at_unix_ms"`
	// PatchSHA256 is the digest of the compact patch, in hexadecimal.
	PatchSHA256 string `json:"patch_sha256"`
	// Patch is what was submitted, if it is at most MaxStoredPatchBytes.
	Patch json.RawMessage `json:"patch,omitempty"`
	// Paths are the paths that a larger patch wrote; where there are more
	// than fit, the parents of them.
	Paths []string `json:"paths,omitempty"`
}

// Activate parses and indexes the record's document. The error is a
// jsonc.Faults value.
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

// ParseRecord reads a stored value; ErrInvalidRecord if it is none.
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
	c.Paths = coarsePaths(p.Merge)
	return c
}

// patchDigest ignores white space, so that a retry may be formatted anew.
func patchDigest(merge json.RawMessage) string {
	var compact bytes.Buffer
	if json.Compact(&compact, merge) != nil {
		compact.Reset()
		compact.Write(merge)
	}
	sum := sha256.Sum256(compact.Bytes())
	return hex.EncodeToString(sum[:])
}

func coarsePaths(merge json.RawMessage) []string {
	for depth := maxPathDepth; depth > 0; depth-- {
		if paths := leaves(merge, depth); len(paths) <= maxKeptPaths {
			return paths
		}
	}
	return []string{""}
}

// wrote lists the paths that the change wrote.
func (c *Change) wrote() []string {
	if len(c.Patch) > 0 {
		return leaves(c.Patch, maxPathDepth)
	}
	return c.Paths
}

// Find looks a recent change up by its id; ErrUnknownChange if there is none.
func (r *Record) Find(id string) (Change, error) {
	if c := r.change(id); c != nil {
		return *c, nil
	}
	return Change{}, errors.Wrap(ErrUnknownChange, id)
}

func (r *Record) change(id string) *Change {
	for i := range r.Changes {
		if r.Changes[i].ID == id {
			return &r.Changes[i]
		}
	}
	return nil
}

func (r *Record) made(version uint64) *Change {
	for i := range r.Changes {
		if r.Changes[i].Version == version {
			return &r.Changes[i]
		}
	}
	return nil
}

// next applies a patch. The error is a jsonc.Faults value.
func (r *Record) next(p Patch, now time.Time) (*Record, error) {
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
