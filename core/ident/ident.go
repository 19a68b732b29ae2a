// Package ident defines program identifiers and the slots that own them.
package ident

import (
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Slot is the unit of program ownership: a data centre and a number within it.
type Slot struct {
	DataCentre string
	Number     int
}

// String returns the slot in the form used in program identifiers.
func (s Slot) String() string { return s.DataCentre + "-" + strconv.Itoa(s.Number) }

// Program is the identifier of a program: "<data centre>-<slot number>-<random suffix>".
type Program string

// NewProgram returns the identifier of a program in slot s. suffix must be unique in the
// slot, not empty and without '-'.
func NewProgram(s Slot, suffix string) Program {
	return Program(s.String() + "-" + suffix)
}

// Slot returns the slot that owns the program. For a malformed identifier it returns a
// failure of kind UnknownProgram.
func (p Program) Slot() (Slot, error) {
	s := string(p)
	suffixSep := strings.LastIndexByte(s, '-')
	if suffixSep <= 0 || suffixSep == len(s)-1 {
		return Slot{}, failure.New(failure.UnknownProgram, "malformed program id %q", s)
	}
	slotSep := strings.LastIndexByte(s[:suffixSep], '-')
	if slotSep <= 0 {
		return Slot{}, failure.New(failure.UnknownProgram, "malformed program id %q", s)
	}
	n, err := strconv.Atoi(s[slotSep+1 : suffixSep])
	if err != nil || n < 0 {
		return Slot{}, failure.New(failure.UnknownProgram, "malformed slot in program id %q", s)
	}
	return Slot{DataCentre: s[:slotSep], Number: n}, nil
}

// Hash returns a stable 64-bit hash (FNV-1a) of b.
func Hash(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b) // Write of a hash never fails
	return h.Sum64()
}
