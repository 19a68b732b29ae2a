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

func finished(program, turn, previous string) *historypb.Record {
	return &historypb.Record{Program: program, ExpiresMs: 1000, Change: &historypb.Record_Turn{
		Turn: &historypb.Turn{Turn: turn, Previous: previous, Content: []byte(turn + " ")},
	}}
}

func ids(chain []*historypb.Turn) []string {
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
		reserve("p", "a", 50), settle("p", "a", 12), reserve("p", "b", 50), finished("p", "a", ""), finished("p", "c", "a"),
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
		require.Equal(t, []string{"c", "a"}, ids(l.Chain("c")))
		require.EqualValues(t, 4, l.TurnBytes())
	}
}

func TestChainStopsAtWhatIsMissing(t *testing.T) {
	l := New()
	l.Apply(finished("p", "b", "a"))
	l.Apply(finished("p", "c", "b"))
	require.Equal(t, []string{"c", "b"}, ids(l.Chain("c")), "a is missing here")
	require.Empty(t, l.Chain("x"))
}

func TestATurnLivesAsLongAsAnyProgramKeepsIt(t *testing.T) {
	l := New()
	l.Apply(finished("old", "a", ""))
	copied := finished("new", "a", "")
	copied.ExpiresMs = 90_000
	l.Apply(copied)
	require.Equal(t, 1, l.Expire(50_000))
	require.Equal(t, []string{"a"}, ids(l.Chain("a")))
	require.Equal(t, 1, l.Expire(100_000))
	require.Empty(t, l.Chain("a"))
	require.Zero(t, l.TurnBytes())
}

func TestPagesHoldEverythingOnce(t *testing.T) {
	l := New()
	var names []string
	for i := range 50 {
		p := fmt.Sprintf("p%02d", i)
		l.Apply(reserve(p, "t"+p, 10))
		l.Apply(finished(p, "t"+p, ""))
		names = append(names, p)
	}
	copyOf := New()
	for more := true; more; {
		var page []*historypb.Record
		page, more = l.RecordPage(names, 200)
		for _, r := range page {
			copyOf.Apply(r)
		}
		last := page[len(page)-1].Program
		names = names[slices.Index(names, last)+1:]
	}
	require.Equal(t, 50, copyOf.ProgramCount())
	require.Equal(t, l.TurnBytes(), copyOf.TurnBytes())
}

// raceTurn is one of several turns that start at once.
type raceTurn struct {
	id       string
	placed   int // replicas that have the reservation
	order    []int
	read     int
	seen     Usage
	admitted bool
	over     bool
}

// TestBudgetHoldsInEveryRace plays turns that start at once: each reserves at two
// of three replicas, then reads two. However their steps interleave, what is
// admitted together stays within the budget.
func TestBudgetHoldsInEveryRace(t *testing.T) {
	const most, budget, turns, quorum = 10, 30, 6, 2
	for seed := range uint64(20_000) {
		rng := rand.New(rand.NewPCG(seed, 9))
		replicas := []*Ledger{New(), New(), New()}
		racing := make([]*raceTurn, turns)
		for i := range racing {
			racing[i] = &raceTurn{id: fmt.Sprintf("t%d", i), order: rng.Perm(3)}
		}
		for left := turns; left > 0; {
			x := racing[rng.IntN(turns)]
			switch {
			case x.over:
			case x.placed < quorum:
				replicas[x.order[x.placed]].Apply(reserve("p", x.id, most))
				x.placed++
				if x.placed == quorum {
					x.order = rng.Perm(3)
				}
			case x.read < quorum:
				x.seen.Merge(replicas[x.order[x.read]].Spending("p"))
				x.read++
			default:
				x.admitted = x.seen.Allows(x.id, most, budget)
				x.over = true
				left--
			}
		}
		total := 0
		for _, x := range racing {
			if x.admitted {
				total += most
			}
		}
		require.LessOrEqual(t, total, budget, "seed %d", seed)
	}
}

func TestDigestsAreEqualExactlyIfTheRecordsAre(t *testing.T) {
	records := []*historypb.Record{
		reserve("p", "a", 50), settle("p", "a", 12), reserve("p", "b", 50), finished("p", "a", ""), finished("p", "c", "a"),
	}
	rng := rand.New(rand.NewPCG(3, 4))
	whole := New()
	for _, r := range records {
		whole.Apply(r)
	}
	for range 100 {
		l := New()
		for _, i := range rng.Perm(len(records)) {
			l.Apply(records[i])
		}
		require.Equal(t, whole.Digest("p"), l.Digest("p"))
	}
	for _, missing := range []int{1, 2, 3, 4} {
		l := New()
		for i, r := range records {
			if i != missing {
				l.Apply(r)
			}
		}
		require.NotEqual(t, whole.Digest("p"), l.Digest("p"), "without record %d", missing)
	}
	later := New()
	for _, r := range records {
		later.Apply(r)
	}
	extended := settle("p", "a", 12)
	extended.ExpiresMs = 9000
	later.Apply(extended)
	require.NotEqual(t, whole.Digest("p"), later.Digest("p"), "kept for longer")
	require.Zero(t, whole.Digest("other"))
}

func TestPagesOfDigestsNameEveryProgramOnce(t *testing.T) {
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

// Of each target the longest prompt is told, and only of prompts that ended with a part
// asked for; a copy of the records tells the same.
func TestRanTellsWhichTargetsHaveReadAPart(t *testing.T) {
	l := New()
	ran := func(turn, target, part string, prompt int64) {
		l.Apply(&historypb.Record{Program: "p", Change: &historypb.Record_Settle{Settle: &historypb.Settle{
			Turn: turn, Ran: &historypb.Ran{Target: target, Part: part, Prompt: prompt},
		}}})
	}
	ran("1", "a", "own", 100)
	ran("2", "b", "own", 300)
	ran("3", "a", "own", 200)
	ran("4", "c", "other", 900)
	l.Apply(settle("p", "5", 3))
	copied := New()
	for _, r := range l.ProgramRecords("p") {
		copied.Apply(r)
	}
	for _, x := range []*Ledger{l, copied} {
		got := map[string]int64{}
		for _, r := range x.LongestRuns("p", []string{"unknown", "own"}) {
			got[r.Target] = r.Prompt
		}
		require.Equal(t, map[string]int64{"a": 200, "b": 300}, got)
		require.Empty(t, x.LongestRuns("p", nil))
		require.Empty(t, x.LongestRuns("q", []string{"own"}))
	}
}

// A settlement that does not say where the turn ran may come after one that does.
func TestABriefSettlementForgetsNothing(t *testing.T) {
	l := New()
	whole := settle("p", "a", 12)
	whole.GetSettle().Ran = &historypb.Ran{Target: "t", Part: "x", Prompt: 7}
	l.Apply(whole)
	l.Apply(settle("p", "a", 12))
	require.Len(t, l.LongestRuns("p", []string{"x"}), 1)
}
