package quota

import (
	"slices"
	"strings"
	"time"
)

// Buckets are one member's parts of all quotas. Not safe for concurrent use.
type Buckets struct {
	by map[string]*bucket
}

// NewBuckets returns the buckets of a member that has granted nothing that counts.
func NewBuckets() *Buckets { return &Buckets{by: map[string]*bucket{}} }

// TokenRequest is a question for one token.
type TokenRequest struct {
	Customer string
	// Limit is the customer's by the configuration Version that the asker knows.
	Limit   Limit
	Version uint64
	// FirstOfProgram reports that the request is the first of a program; see bucket.allows.
	FirstOfProgram bool
	// Parts is among how many members the quota is split.
	Parts int
	// HeldSince is from when on this member holds the part: as a running process, as a keeper
	// of the customer's slot.
	HeldSince time.Duration
}

// Grant is the answer to an Ask.
type Grant struct {
	Granted bool
	// NextTokenIn is when the member's next token comes, if it has granted none, and RetryDelay when there
	// will be one for this asker: others were told of those before.
	NextTokenIn, RetryDelay time.Duration
}

// Take grants a token if there is one.
func (s *Buckets) Take(a TokenRequest, now time.Duration) Grant {
	b := s.by[a.Customer]
	if b == nil || b.at < a.HeldSince {
		b = &bucket{limit: a.Limit, version: a.Version, parts: a.Parts, at: a.HeldSince}
		s.by[a.Customer] = b
	}
	b.fill(now)
	b.follow(a.Version, a.Limit, a.Parts)
	if !b.allows(a.FirstOfProgram) {
		return b.refuse(a.FirstOfProgram, now)
	}
	b.take(a.FirstOfProgram)
	return Grant{Granted: true}
}

// State is one customer's part at a member, for operators.
type State struct {
	Customer string  `json:"customer"`
	Version  uint64  `json:"config_version"`
	Rate     float64 `json:"rate_per_s"`
	Burst    float64 `json:"burst"`
	Parts    int     `json:"parts"`
	Tokens   float64 `json:"tokens"`
	Granted  int64   `json:"granted"`
	Refused  int64   `json:"refused"`
}

// State returns all parts, in order of customer.
func (s *Buckets) State(now time.Duration) []State {
	list := make([]State, 0, len(s.by))
	for name, b := range s.by {
		b.fill(now)
		list = append(list, State{
			Customer: name, Version: b.version, Rate: b.limit.Rate, Burst: b.limit.Burst, Parts: b.parts,
			Tokens: b.tokens, Granted: b.granted, Refused: b.refused,
		})
	}
	slices.SortFunc(list, func(a, b State) int { return strings.Compare(a.Customer, b.Customer) })
	return list
}

// DropFull forgets the buckets that are full: a new one would be the same.
func (s *Buckets) DropFull(now time.Duration) {
	for name, b := range s.by {
		b.fill(now)
		if b.tokens >= b.limit.part(b.parts).Burst {
			delete(s.by, name)
		}
	}
}
