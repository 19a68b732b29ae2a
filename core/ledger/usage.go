package ledger

import "github.com/pistachioarch/pistachioarch/core/historypb"

// Usage is the budget use of one program, merged from several replicas. The zero value is
// ready to use.
type Usage struct {
	spendingByTurn map[string]spending
}

// Merge adds the spendings that one replica holds. A settlement supersedes a reservation.
func (u *Usage) Merge(spendings []*historypb.Spending) {
	if u.spendingByTurn == nil {
		u.spendingByTurn = make(map[string]spending, len(spendings))
	}
	for _, s := range spendings {
		if existing, known := u.spendingByTurn[s.Turn]; known && (existing.settled || !s.Settled) {
			continue
		}
		u.spendingByTurn[s.Turn] = spending{tokens: s.Tokens, settled: s.Settled}
	}
}

// TokensExcluding returns the tokens used and reserved by all turns other than turn.
func (u *Usage) TokensExcluding(turn string) int64 {
	total := int64(0)
	for id, s := range u.spendingByTurn {
		if id != turn {
			total += s.tokens
		}
	}
	return total
}

// SettledTokensExcluding returns the tokens used by all settled turns other than turn.
func (u *Usage) SettledTokensExcluding(turn string) int64 {
	total := int64(0)
	for id, s := range u.spendingByTurn {
		if id != turn && s.settled {
			total += s.tokens
		}
	}
	return total
}

// Allows reports whether a turn that may generate up to maxTokens fits into the budget,
// also in tokens.
//
// Invariant: if every turn is reserved at a write quorum before its usage is
// read from a read quorum, then of two turns the one whose reservation was
// complete last sees the other. So the allowed turns together never exceed the
// budget, whichever hosts they were sent to.
func (u *Usage) Allows(turn string, maxTokens, budget int64) bool {
	return u.TokensExcluding(turn)+maxTokens <= budget
}
