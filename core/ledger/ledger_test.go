package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
)

func reserve(program, turn string, tokens int64) *historypb.Record {
	return &historypb.Record{Program: program, ExpiresMs: 1000, Change: &historypb.Record_Reserve{Reserve: &historypb.Reserve{Turn: turn, Tokens: tokens}}}
}

func settle(program, turn string, tokens int64) *historypb.Record {
	return &historypb.Record{Program: program, ExpiresMs: 1000, Change: &historypb.Record_Settle{Settle: &historypb.Settle{Turn: turn, Tokens: tokens}}}
}

func finishedTurn(program, turn, previous string) *historypb.Record {
	return &historypb.Record{Program: program, ExpiresMs: 1000, Change: &historypb.Record_Turn{
		Turn: &historypb.Turn{Turn: turn, Previous: previous, Content: []byte(turn + " ")},
	}}
}

func turnIDs(chain []*historypb.Turn) []string {
	var list []string
	for _, t := range chain {
		list = append(list, t.Turn)
	}
	return list
}

func usage(l *Ledger, program string) *Usage {
	u := &Usage{}
	u.Merge(l.Spending(program))
	return u
}

func TestRecordsMergeInAnyOrder(t *testing.T) {
	records := []*historypb.Record{
		reserve("p", "a", 50), settle("p", "a", 12), reserve("p", "b", 50), finishedTurn("p", "a", ""), finishedTurn("p", "c", "a"),
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		l := New()
		for range 2 { // each record twice
			for _, i := range rng.Perm(len(records)) {
				l.Apply(records[i])
			}
		}
		require.EqualValues(t, 62, usage(l, "p").TokensExcluding("x"))
		require.Equal(t, []string{"c", "a"}, turnIDs(l.Chain("c")))
		require.EqualValues(t, 4, l.TurnBytes())
	}
}

// The software version of a turn must survive any order of its records, a brief settlement and a copy: a
// stream that continues elsewhere would otherwise go to another version.
func TestSoftwareVersionMergesInAnyOrder(t *testing.T) {
	withVersion := reserve("p", "a", 50)
	withVersion.GetReserve().SoftwareVersion = "v1"
	settled := settle("p", "b", 12)
	settled.GetSettle().SoftwareVersion = "v2"
	records := []*historypb.Record{reserve("p", "a", 50), withVersion, settle("p", "a", 3), reserve("p", "b", 50), settled}
	rng := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		l, replica := New(), New()
		for _, i := range rng.Perm(len(records)) {
			l.Apply(records[i])
		}
		for _, r := range l.ProgramRecords("p") {
			replica.Apply(r)
		}
		u := usage(replica, "p")
		u.Merge([]*historypb.Spending{{Turn: "a", Tokens: 3, Settled: true}}) // of a replica that does not know it
		require.Equal(t, "v1", u.SoftwareVersion("a"))
		require.Equal(t, "v2", u.SoftwareVersion("b"))
		only, certain := u.OnlySoftwareVersion()
		require.Empty(t, only)
		require.False(t, certain)
		require.EqualValues(t, 15, u.TokensExcluding("x"))
		require.Equal(t, l.Digest("p"), replica.Digest("p"))
	}
}

// Whether all streams of a program have one software version is certain only if that of each stream that may have
// events is known.
func TestOnlySoftwareVersionIsCertain(t *testing.T) {
	spent := func(turn, version string, tokens int64, settled bool) *historypb.Spending {
		return &historypb.Spending{Turn: turn, Tokens: tokens, Settled: settled, SoftwareVersion: version}
	}
	known := spent("known", "v1", 12, true)
	for name, c := range map[string]struct {
		spendings []*historypb.Spending
		only      string
		certain   bool
	}{
		"no stream":                        {nil, "", true},
		"one version":                      {[]*historypb.Spending{known, spent("a", "v1", 12, false)}, "v1", true},
		"turn without a version":           {[]*historypb.Spending{known, spent("a", "", 12, true)}, "v1", true},
		"two versions":                     {[]*historypb.Spending{known, spent("a", "v2", 12, false)}, "", false},
		"pending stream that may run":      {[]*historypb.Spending{known, spent("a", PendingVersion, 12, false)}, "", false},
		"pending stream that had events":   {[]*historypb.Spending{known, spent("a", PendingVersion, 3, true)}, "", false},
		"pending stream that had no event": {[]*historypb.Spending{known, spent("a", PendingVersion, 0, true)}, "v1", true},
	} {
		u := &Usage{}
		u.Merge(c.spendings)
		only, certain := u.OnlySoftwareVersion()
		require.Equal(t, c.only, only, name)
		require.Equal(t, c.certain, certain, name)
		require.Empty(t, u.SoftwareVersion("missing"))
	}
}

// A replica that lacks the software version of a turn must be seen to differ.
func TestDigestDependsOnSoftwareVersion(t *testing.T) {
	l, other := New(), New()
	l.Apply(reserve("p", "a", 50))
	withVersion := reserve("p", "a", 50)
	withVersion.GetReserve().SoftwareVersion = "v1"
	other.Apply(withVersion)
	require.NotEqual(t, l.Digest("p"), other.Digest("p"))
}

func TestChainStopsAtMissingTurn(t *testing.T) {
	l := New()
	l.Apply(finishedTurn("p", "b", "a"))
	l.Apply(finishedTurn("p", "c", "b"))
	require.Equal(t, []string{"c", "b"}, turnIDs(l.Chain("c")), "turn a is missing")
	require.Empty(t, l.Chain("x"))
}

func TestTurnExpiresWithItsLastProgram(t *testing.T) {
	l := New()
	l.Apply(finishedTurn("old", "a", ""))
	copied := finishedTurn("new", "a", "")
	copied.ExpiresMs = 90_000
	l.Apply(copied)
	require.Equal(t, 1, l.Expire(50_000))
	require.Equal(t, []string{"a"}, turnIDs(l.Chain("a")))
	require.Equal(t, 1, l.Expire(100_000))
	require.Empty(t, l.Chain("a"))
	require.Zero(t, l.TurnBytes())
}

func TestRecordPagesCoverEveryProgram(t *testing.T) {
	l := New()
	var names []string
	for i := range 50 {
		p := fmt.Sprintf("p%02d", i)
		l.Apply(reserve(p, "t"+p, 10))
		l.Apply(finishedTurn(p, "t"+p, ""))
		names = append(names, p)
	}
	copied := New()
	for more := true; more; {
		var page []*historypb.Record
		page, more = l.RecordPage(names, 200)
		for _, r := range page {
			copied.Apply(r)
		}
		last := page[len(page)-1].Program
		names = names[slices.Index(names, last)+1:]
	}
	require.Equal(t, 50, copied.ProgramCount())
	require.Equal(t, l.TurnBytes(), copied.TurnBytes())
}

// concurrentTurn is one of several turns that start at the same time.
type concurrentTurn struct {
	id            string
	reservedCount int // replicas that have the reservation
	replicaOrder  []int
	readCount     int
	usage         Usage
	admitted      bool
	decided       bool
}

// Turns that start at the same time each reserve at two of three replicas, then read from
// two. However these steps interleave, the admitted turns together must stay within the
// budget.
func TestConcurrentTurnsStayWithinBudget(t *testing.T) {
	const maxTokens, budget, turnCount, quorum = 10, 30, 6, 2
	for seed := range uint64(20_000) {
		rng := rand.New(rand.NewPCG(seed, 9))
		replicas := []*Ledger{New(), New(), New()}
		turns := make([]*concurrentTurn, turnCount)
		for i := range turns {
			turns[i] = &concurrentTurn{id: fmt.Sprintf("t%d", i), replicaOrder: rng.Perm(3)}
		}
		for undecided := turnCount; undecided > 0; {
			turn := turns[rng.IntN(turnCount)]
			switch {
			case turn.decided:
			case turn.reservedCount < quorum:
				replicas[turn.replicaOrder[turn.reservedCount]].Apply(reserve("p", turn.id, maxTokens))
				turn.reservedCount++
				if turn.reservedCount == quorum {
					turn.replicaOrder = rng.Perm(3)
				}
			case turn.readCount < quorum:
				turn.usage.Merge(replicas[turn.replicaOrder[turn.readCount]].Spending("p"))
				turn.readCount++
			default:
				turn.admitted = turn.usage.Allows(turn.id, maxTokens, budget)
				turn.decided = true
				undecided--
			}
		}
		total := 0
		for _, turn := range turns {
			if turn.admitted {
				total += maxTokens
			}
		}
		require.LessOrEqual(t, total, budget, "seed %d", seed)
	}
}

func TestDigestsDifferExactlyWhenRecordsDo(t *testing.T) {
	records := []*historypb.Record{
		reserve("p", "a", 50), settle("p", "a", 12), reserve("p", "b", 50), finishedTurn("p", "a", ""), finishedTurn("p", "c", "a"),
	}
	rng := rand.New(rand.NewPCG(3, 4))
	complete := New()
	for _, r := range records {
		complete.Apply(r)
	}
	for range 100 {
		l := New()
		for _, i := range rng.Perm(len(records)) {
			l.Apply(records[i])
		}
		require.Equal(t, complete.Digest("p"), l.Digest("p"))
	}
	for _, missing := range []int{1, 2, 3, 4} {
		l := New()
		for i, r := range records {
			if i != missing {
				l.Apply(r)
			}
		}
		require.NotEqual(t, complete.Digest("p"), l.Digest("p"), "without record %d", missing)
	}
	later := New()
	for _, r := range records {
		later.Apply(r)
	}
	extended := settle("p", "a", 12)
	extended.ExpiresMs = 9000
	later.Apply(extended)
	require.NotEqual(t, complete.Digest("p"), later.Digest("p"), "later expiry")
	require.Zero(t, complete.Digest("other"))
}

func TestDigestPagesListEveryProgramOnce(t *testing.T) {
	l := New()
	for i := range 25 {
		l.Apply(reserve(fmt.Sprintf("p%02d", i), "t", 10))
	}
	seen, after := map[string]bool{}, ""
	for more := true; more; {
		var page []*historypb.Digest
		page, more = l.DigestPage(0, after, 10)
		for _, d := range page {
			require.False(t, seen[d.Program])
			seen[d.Program], after = true, d.Program
		}
	}
	require.Len(t, seen, 25)
}

// LongestRuns returns the longest prompt of each target, only among prompts that ended with
// a requested part; a ledger with a copy of the records returns the same.
func TestLongestRunsReturnsLongestPromptPerTarget(t *testing.T) {
	l := New()
	applyRun := func(turn, target, part string, prompt int64) {
		l.Apply(&historypb.Record{Program: "p", Change: &historypb.Record_Settle{Settle: &historypb.Settle{
			Turn: turn, Ran: &historypb.Ran{Target: target, Part: part, Prompt: prompt},
		}}})
	}
	applyRun("1", "a", "own", 100)
	applyRun("2", "b", "own", 300)
	applyRun("3", "a", "own", 200)
	applyRun("4", "c", "other", 900)
	l.Apply(settle("p", "5", 3))
	copied := New()
	for _, r := range l.ProgramRecords("p") {
		copied.Apply(r)
	}
	for _, ledger := range []*Ledger{l, copied} {
		got := map[string]int64{}
		for _, r := range ledger.LongestRuns("p", []string{"unknown", "own"}) {
			got[r.Target] = r.Prompt
		}
		require.Equal(t, map[string]int64{"a": 200, "b": 300}, got)
		require.Empty(t, ledger.LongestRuns("p", nil))
		require.Empty(t, ledger.LongestRuns("q", []string{"own"}))
	}
}

// A settlement without the run of a turn may arrive after one with it, and must not remove it.
func TestSettlementWithoutRunKeepsEarlierRun(t *testing.T) {
	l := New()
	withRun := settle("p", "a", 12)
	withRun.GetSettle().Ran = &historypb.Ran{Target: "t", Part: "x", Prompt: 7}
	l.Apply(withRun)
	l.Apply(settle("p", "a", 12))
	require.Len(t, l.LongestRuns("p", []string{"x"}), 1)
}
