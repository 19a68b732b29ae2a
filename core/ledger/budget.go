package ledger

import "github.com/pistachioarch/pistachioarch/core/historypb"

// Usage is the budget use of one program, merged from several replicas.
type Usage struct {
	turns map[string]spending
}

// Merge adds what one replica knows. A settlement outweighs a reservation.
func (u *Usage) Merge(list []*historypb.Spending) {
	if u.turns == nil {
		u.turns = make(map[string]spending, len(list))
	}
	for _, s := range list {
		if old, known := u.turns[s.Turn]; known && (old.settled || !s.Settled) {
			continue
		}
		u.turns[s.Turn] = spending{tokens: s.Tokens, settled: s.Settled}
	}
}

// Without returns the tokens used and reserved by all turns but one.
func (u *Usage) TokensExcluding(turn string) int64 {
	total := int64(0)
	for id, s := range u.turns {
		if id != turn {
			total += s.tokens
		}
	}
	return total
}

// Settled returns the tokens used by all turns but one that are over.
func (u *Usage) SettledTokensExcluding(turn string) int64 {
	total := int64(0)
	for id, s := range u.turns {
		if id != turn && s.settled {
			total += s.tokens
		}
	}
	return total
}

// Allows reports whether a turn that may generate most tokens fits the budget.
//
// Invariant: if every turn is reserved at a write quorum before its usage is
// read from a read quorum, then of two turns the one whose reservation was
// complete last sees the other. So the turns allowed never exceed the budget
// together, wherever they come from.
func (u *Usage) Allows(turn string, most, budget int64) bool {
	return u.TokensExcluding(turn)+most <= budget
}
