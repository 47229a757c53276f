package delta

import (
	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// Errors of Apply; test with errors.Is.
var (
	// ErrOtherBase says that the patch was made from another value.
	ErrBaseMismatch = errors.New("delta: patch of another value")
	// ErrDamaged says that the patch does not lead to the value that it was made for.
	ErrCorrupt = errors.New("delta: patch damaged")
)

const (
	// dictionary is the id under which both sides know the value that a patch starts from.
	dictionary = 1
	// windowBytes holds both values of the largest size that the store takes.
	windowBytes = 2 << 20
)

// Patch leads from one value to another.
type Patch struct {
	// Base and Result are the hashes of both values; Base is 0 if there was none.
	Base, Result uint64
	Data         []byte
}

// New returns the patch from base, which may be empty, to next.
func New(base, next []byte) (Patch, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false),
		zstd.WithWindowSize(windowBytes), zstd.WithEncoderLevel(zstd.SpeedFastest),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionary, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return Patch{}, errors.Wrap(err, "delta")
	}
	defer func() { _ = encoder.Close() }()
	return Patch{Base: hash(base), Result: hash(next), Data: encoder.EncodeAll(next, nil)}, nil
}

// Apply returns the value that the patch leads to from base, of at most most bytes. The
// error is ErrOtherBase or ErrDamaged.
func (p Patch) Apply(base []byte, most int) ([]byte, error) {
	if p.Base == 0 {
		base = nil
	}
	if hash(base) != p.Base {
		return nil, errors.WithStack(ErrBaseMismatch)
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(most))}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionary, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "delta")
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

// hash is 0 for an empty value only.
func hash(value []byte) uint64 {
	if len(value) == 0 {
		return 0
	}
	return xxhash.Sum64(value) | 1
}
