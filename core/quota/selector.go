package quota

import (
	"maps"
	"time"
)

// MemberSelector chooses the members that an entry host asks for a customer's tokens. Not
// safe for concurrent use.
type MemberSelector struct {
	// emptyUntil holds the time until which each part is known to have no token.
	emptyUntil map[partKey]time.Duration
}

// partKey identifies a member's part of a customer's quota, for requests of one kind.
type partKey struct {
	customer, member string
	firstOfProgram   bool
}

// NewMemberSelector returns a selector that knows of no refusals.
func NewMemberSelector() *MemberSelector {
	return &MemberSelector{emptyUntil: map[partKey]time.Duration{}}
}

// maxEmptyParts is the number of parts known to be empty at which those whose time has passed
// are deleted.
const maxEmptyParts = 4096

// RecordRefusal records that a member's next token for the customer is due after nextTokenIn.
// The retry delays sent to callers are longer; using those would leave tokens unused while
// requests are rejected.
func (s *MemberSelector) RecordRefusal(customer, member string, firstOfProgram bool, nextTokenIn, now time.Duration) {
	if len(s.emptyUntil) >= maxEmptyParts {
		maps.DeleteFunc(s.emptyUntil, func(_ partKey, until time.Duration) bool { return until <= now })
	}
	s.emptyUntil[partKey{customer, member, firstOfProgram}] = now + nextTokenIn
}

// Candidates returns the members to ask: those whose part is not known to be empty, in the
// given order. If all are empty it returns none, and the time until the first is not.
func (s *MemberSelector) Candidates(customer string, firstOfProgram bool, members []string, now time.Duration) (candidates []string, nextTokenIn time.Duration) {
	nextTokenIn = -1
	for _, member := range members {
		key := partKey{customer, member, firstOfProgram}
		remaining := s.emptyUntil[key] - now
		if remaining <= 0 {
			delete(s.emptyUntil, key)
			candidates = append(candidates, member)
			continue
		}
		if nextTokenIn < 0 || remaining < nextTokenIn {
			nextTokenIn = remaining
		}
	}
	return candidates, max(0, nextTokenIn)
}
