package ledger

import "github.com/pistachioarch/pistachioarch/core/historypb"

// Usage is the budget use of one program, merged from several replicas. The zero value is
// ready to use.
type Usage struct {
	spendingByTurn map[string]spending
}

// Merge adds the spendings that one replica holds. A settlement supersedes a reservation; the
// software version of a turn is known if any replica knows it.
func (u *Usage) Merge(spendings []*historypb.Spending) {
	if u.spendingByTurn == nil {
		u.spendingByTurn = make(map[string]spending, len(spendings))
	}
	for _, s := range spendings {
		merged, known := u.spendingByTurn[s.Turn]
		if !known || s.Settled && !merged.settled {
			merged.tokens, merged.settled = s.Tokens, s.Settled
		}
		merged.softwareVersion = max(merged.softwareVersion, s.SoftwareVersion)
		u.spendingByTurn[s.Turn] = merged
	}
}

// PendingVersion is the software version of a stream before its first event, if targets of several versions
// may make that event. Every version supersedes it in a merge.
const PendingVersion = "\x00"

// Contains reports whether a turn has reserved tokens.
func (u *Usage) Contains(turn string) bool {
	_, ok := u.spendingByTurn[turn]
	return ok
}

// SoftwareVersion returns the software version of the targets that made the events of a turn; empty if
// it is not known.
func (u *Usage) SoftwareVersion(turn string) string {
	if version := u.spendingByTurn[turn].softwareVersion; version != PendingVersion {
		return version
	}
	return ""
}

// OnlySoftwareVersion returns the software version that all streams of the program have; empty if there is
// no stream. certain is false if they differ, or if that of a stream that may have events is not known.
func (u *Usage) OnlySoftwareVersion() (only string, certain bool) {
	for _, s := range u.spendingByTurn {
		switch {
		case s.softwareVersion == "", s.softwareVersion == PendingVersion && s.settled && s.tokens == 0:
		case s.softwareVersion == PendingVersion:
			return "", false
		case only == "":
			only = s.softwareVersion
		case only != s.softwareVersion:
			return "", false
		}
	}
	return only, true
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
