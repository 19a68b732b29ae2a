// Package delta encodes a version of an object as a delta against an earlier version: a Zstandard
// frame (RFC 8878) whose dictionary is the earlier version.
package delta

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

const (
	// dictionaryID is the ID of the only dictionary of a frame.
	dictionaryID = 1
	// MaxBytes bounds the size of a decoded version, so that a frame of a few bytes cannot
	// exhaust the memory.
	MaxBytes = 8 << 20
	// minWindowBytes is the smallest window that the format allows.
	minWindowBytes = 1 << 10
)

// Make returns the delta from base to next, for use with Apply.
func Make(base, next []byte) ([]byte, error) {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithWindowSize(windowSize(len(base)+len(next))),
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithZeroFrames(true))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "delta encoder")
	}
	defer e.Close()
	return e.EncodeAll(next, nil), nil
}

// windowSize returns a window size of at least n bytes, up to the maximum of the encoder. With
// n the sum of both sizes, all of base can be referenced from the end of next.
func windowSize(n int) int {
	return min(max(minWindowBytes, 1<<bits.Len(uint(n))), zstd.MaxWindowSize)
}

// Apply returns the version that results from applying delta to base. A damaged delta, or one
// whose result exceeds MaxBytes, is a failure of kind Corrupt.
func Apply(base, delta []byte) ([]byte, error) {
	if len(delta) == 0 {
		return nil, failure.New(failure.Corrupt, "empty delta")
	}
	d, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(dictionaryID, base), zstd.WithDecoderMaxMemory(MaxBytes),
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "delta decoder")
	}
	defer d.Close()
	next, err := d.DecodeAll(delta, nil)
	if err != nil {
		return nil, failure.Wrap(err, failure.Corrupt, "delta of %d bytes", len(delta))
	}
	return next, nil
}
