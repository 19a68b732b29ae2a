package quota

import (
	"slices"
	"strings"
	"time"
)

// Buckets holds one member's parts of the quotas of all customers. Not safe for concurrent use.
type Buckets struct {
	byCustomer map[string]*bucket
}

// NewBuckets returns the buckets of a member that starts. Its grants before the start are not
// known; TokenRequest.HeldSince makes sure that those tokens are not granted again.
func NewBuckets() *Buckets { return &Buckets{byCustomer: map[string]*bucket{}} }

// TokenRequest asks a member for one token.
type TokenRequest struct {
	Customer string
	// Limit is the customer's limit in configuration Version, the newest that the asking
	// host knows.
	Limit   Limit
	Version uint64
	// FirstOfProgram reports whether the request is the first of a program. A bucket that is
	// low on tokens prefers requests of running programs.
	FirstOfProgram bool
	// Parts is the number of members among which the quota is split.
	Parts int
	// HeldSince is the time since which this member has held the part: the later of its
	// process's start and the time at which it took over the customer's slot.
	HeldSince time.Duration
}

// Grant is the answer to a TokenRequest.
type Grant struct {
	Granted bool
	// NextTokenIn is the time until the member's next token, if it granted none. RetryDelay
	// is the time until a token is available for this caller: the tokens before that were
	// promised to other callers.
	NextTokenIn, RetryDelay time.Duration
}

// Take grants a token if one is available.
func (s *Buckets) Take(r TokenRequest, now time.Duration) Grant {
	b := s.byCustomer[r.Customer]
	if b == nil || b.refilledAt < r.HeldSince {
		b = &bucket{limit: r.Limit, version: r.Version, parts: r.Parts, refilledAt: r.HeldSince}
		s.byCustomer[r.Customer] = b
	}
	b.refill(now)
	b.applyLimit(r.Version, r.Limit, r.Parts)
	if !b.allows(r.FirstOfProgram) {
		return b.refuse(r.FirstOfProgram, now)
	}
	b.take(r.FirstOfProgram)
	return Grant{Granted: true}
}

// State is one customer's part at a member, for operators. Rate, in requests a second, and
// Burst are those of the whole quota.
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

// State returns the state of all parts, sorted by customer.
func (s *Buckets) State(now time.Duration) []State {
	states := make([]State, 0, len(s.byCustomer))
	for customer, b := range s.byCustomer {
		b.refill(now)
		states = append(states, State{
			Customer: customer, Version: b.version, Rate: b.limit.Rate, Burst: b.limit.Burst, Parts: b.parts,
			Tokens: b.tokens, Granted: b.granted, Refused: b.refused,
		})
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Customer, b.Customer) })
	return states
}

// DropFull deletes the buckets that are full: a new one is full too when it is first used.
func (s *Buckets) DropFull(now time.Duration) {
	for customer, b := range s.byCustomer {
		b.refill(now)
		if b.tokens >= b.limit.part(b.parts).Burst {
			delete(s.byCustomer, customer)
		}
	}
}
