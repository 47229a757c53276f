package delta

import (
	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// Errors of Apply; test with errors.Is.
var (
	// ErrBaseMismatch reports that the patch was made from another base value.
	ErrBaseMismatch = errors.New("delta: base value does not match the patch")
	// ErrCorrupt reports that the patch cannot be decoded, or that its result does not
	// have the expected hash.
	ErrCorrupt = errors.New("delta: corrupt patch")
)

const (
	// dictionaryID is the zstd dictionary ID of the base value, the same on both sides.
	dictionaryID = 1
	// windowBytes is the compression window. It is large enough for two values of the
	// largest size that the store accepts.
	windowBytes = 2 << 20
)

// Patch is the difference between a base value and a result value.
type Patch struct {
	// Base and Result are the hashes of the two values; Base is 0 if the base was empty.
	Base, Result uint64
	Data         []byte
}

// New returns the patch that transforms base, which may be empty, into next.
func New(base, next []byte) (Patch, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false),
		zstd.WithWindowSize(windowBytes), zstd.WithEncoderLevel(zstd.SpeedFastest),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return Patch{}, errors.Wrap(err, "delta: create encoder")
	}
	defer func() { _ = encoder.Close() }()
	return Patch{Base: hash(base), Result: hash(next), Data: encoder.EncodeAll(next, nil)}, nil
}

// Apply returns the result of the patch applied to base. A result of more than maxBytes
// bytes is an error. The error is ErrBaseMismatch or ErrCorrupt.
func (p Patch) Apply(base []byte, maxBytes int) ([]byte, error) {
	if p.Base == 0 {
		base = nil
	}
	if hash(base) != p.Base {
		return nil, errors.WithStack(ErrBaseMismatch)
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(maxBytes))}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "delta: create decoder")
	}
	defer decoder.Close()
	next, err := decoder.DecodeAll(p.Data, nil)
	if err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	if hash(next) != p.Result {
		return nil, errors.WithStack(ErrCorrupt)
	}
	return next, nil
}

// hash returns the hash of a value. It is 0 only for an empty value.
func hash(value []byte) uint64 {
	if len(value) == 0 {
		return 0
	}
	return xxhash.Sum64(value) | 1
}
