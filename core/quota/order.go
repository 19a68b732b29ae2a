package quota

import (
	"maps"
	"time"
)

// MemberSelector says which members an entry host asks for a customer's tokens. Not safe for
// concurrent use.
type MemberSelector struct {
	// empty is until when each member has no token of a customer.
	empty map[place]time.Duration
}

// place is a member's part of a customer's quota, for requests of one kind.
type place struct {
	customer, member string
	first            bool
}

// NewMemberSelector returns an order of a host that has asked nobody.
func NewMemberSelector() *MemberSelector { return &MemberSelector{empty: map[place]time.Duration{}} }

// mostEmpty bounds the members known to be empty; beyond it those whose time is over go.
const mostEmpty = 4096

// RecordRefusal notes that a member will have a token of the customer no sooner than due. The
// times that callers are told are later, and noting them would leave tokens unused while
// requests are refused.
func (o *MemberSelector) RecordRefusal(customer, member string, first bool, due, now time.Duration) {
	if len(o.empty) >= mostEmpty {
		maps.DeleteFunc(o.empty, func(_ place, until time.Duration) bool { return until <= now })
	}
	o.empty[place{customer, member, first}] = now + due
}

// Candidates returns the members to ask, in order: those that are not known to be empty, as
// they are given. Where all are empty it returns none, and when the first will not be.
func (o *MemberSelector) Candidates(customer string, first bool, members []string, now time.Duration) (ask []string, in time.Duration) {
	in = -1
	for _, m := range members {
		key := place{customer, m, first}
		left := o.empty[key] - now
		if left <= 0 {
			delete(o.empty, key)
			ask = append(ask, m)
			continue
		}
		if in < 0 || left < in {
			in = left
		}
	}
	return ask, max(0, in)
}
