// Package ident defines program identifiers and the slots that own them.
package ident

import (
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Slot is one unit of program ownership: a data centre and a number in it.
type Slot struct {
	DataCentre string
	Number     int
}

// String gives the slot as it stands in a program identifier.
func (s Slot) String() string { return s.DataCentre + "-" + strconv.Itoa(s.Number) }

// Program identifies a program: "<data centre>-<slot>-<random>".
type Program string

// NewProgram makes the identifier of a program in slot s. tail must be unique
// in the slot and free of '-'.
func NewProgram(s Slot, tail string) Program {
	return Program(s.String() + "-" + tail)
}

// Slot returns the slot that owns the program.
func (p Program) Slot() (Slot, error) {
	s := string(p)
	last := strings.LastIndexByte(s, '-')
	if last <= 0 || last == len(s)-1 {
		return Slot{}, failure.New(failure.UnknownProgram, "malformed program id %q", s)
	}
	mid := strings.LastIndexByte(s[:last], '-')
	if mid <= 0 {
		return Slot{}, failure.New(failure.UnknownProgram, "malformed program id %q", s)
	}
	n, err := strconv.Atoi(s[mid+1 : last])
	if err != nil || n < 0 {
		return Slot{}, failure.New(failure.UnknownProgram, "malformed slot in program id %q", s)
	}
	return Slot{DataCentre: s[:mid], Number: n}, nil
}

// Hash is a stable 64-bit hash (FNV-1a) of b.
func Hash(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b) // never fails
	return h.Sum64()
}
