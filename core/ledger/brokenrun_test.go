package ledger

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
)

const (
	unknown  = historypb.RunEnd_RUN_END_UNKNOWN
	notRun   = historypb.RunEnd_RUN_END_NOT_RUN
	broken   = historypb.RunEnd_RUN_END_BROKEN
	outlived = historypb.RunEnd_RUN_END_OUTLIVED
	crashed  = historypb.RunEnd_RUN_END_CRASHED
	answered = historypb.RunEnd_RUN_END_ANSWERED
	refused  = historypb.RunEnd_RUN_END_REFUSED

	crashedAfterRefusal = historypb.RunEnd_RUN_END_CRASHED_AFTER_REFUSAL
)

func brokenRun(request, target string, startedAtMs int64, end historypb.RunEnd) *historypb.Record {
	return &historypb.Record{Program: "p", ExpiresMs: 1000, Change: &historypb.Record_BrokenRun{
		BrokenRun: &historypb.BrokenRun{Request: request, Target: target, Born: startedAtMs, End: end},
	}}
}

// Replicas must agree on the targets that crashed under a request in any order of the records and after
// a copy: a host that counts fewer would send the request on.
func TestBrokenRunsMergeInAnyOrder(t *testing.T) {
	records := []*historypb.Record{
		brokenRun("r", "a", 1, broken), brokenRun("r", "a", 1, crashed), brokenRun("r", "a", 2, crashed), brokenRun("r", "b", 1, unknown), brokenRun("r", "e", 1, broken), brokenRun("r", "e", 1, outlived),
		brokenRun("r", "d", 1, unknown), brokenRun("r", "d", 1, notRun), brokenRun("other", "c", 1, crashed), reserve("p", "turn", 50),
	}
	nobodyGone := func(*historypb.BrokenRun) Judgement { return NotCrashed }
	allGone := func(*historypb.BrokenRun) Judgement { return Crashed }
	allGoneButB := func(r *historypb.BrokenRun) Judgement {
		if r.Target == "b" {
			return MayCrash
		}
		return Crashed
	}
	rng := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		l, replica := New(), New()
		for _, i := range rng.Perm(len(records)) {
			l.Apply(records[i])
		}
		for _, r := range l.ProgramRecords("p") {
			replica.Apply(r)
		}
		b := &BrokenRuns{}
		b.Merge(replica.BrokenRuns("p", "r"))
		b.Merge([]*historypb.BrokenRun{{Request: "r", Target: "a", Born: 1}}) // of a replica that does not know of the crash
		require.Equal(t, 2, b.Confirmed())
		require.Equal(t, [2]int{2, 0}, count(b, nobodyGone))
		require.Equal(t, [2]int{2, 1}, count(b, allGoneButB), "target d did not run the request, target e served on")
		require.Equal(t, [2]int{3, 0}, count(b, allGone))
		require.Equal(t, l.Digest("p"), replica.Digest("p"))
	}
}

// count returns the results of Count.
func count(b *BrokenRuns, judge func(*historypb.BrokenRun) Judgement) [2]int {
	crashes, open := b.Count(judge)
	return [2]int{crashes, open}
}

// A run whose target served right after it must count once the target turns out to have crashed.
func TestBrokenRunCountsOnceItsTargetHasCrashed(t *testing.T) {
	b := &BrokenRuns{}
	for _, target := range []string{"a", "b", "c"} {
		b.Merge([]*historypb.BrokenRun{{Target: target, End: broken}})
	}
	judgement := MayCrash
	judge := func(*historypb.BrokenRun) Judgement { return judgement }
	require.Equal(t, [2]int{0, 3}, count(b, judge))
	judgement = Crashed
	require.Equal(t, [2]int{3, 0}, count(b, judge))
	b.Merge([]*historypb.BrokenRun{{Target: "a", End: outlived}})
	require.Equal(t, [2]int{0, 0}, count(b, judge), "two cannot decide")
	b.Merge([]*historypb.BrokenRun{{Target: "a", End: crashed}, {Target: "a", End: outlived}})
	require.Equal(t, [2]int{3, 0}, count(b, judge), "one host saw the crash")
}

// A replica that lacks a broken run, or does not know that its target crashed, must be seen to differ.
func TestDigestDependsOnBrokenRuns(t *testing.T) {
	digest := func(records ...*historypb.Record) uint64 {
		l := New()
		l.Apply(reserve("p", "turn", 50))
		for _, r := range records {
			l.Apply(r)
		}
		return l.Digest("p")
	}
	require.NotEqual(t, digest(), digest(brokenRun("r", "a", 1, broken)))
	require.NotEqual(t, digest(brokenRun("r", "a", 1, crashed)), digest(brokenRun("r", "a", 1, broken)))
	require.NotEqual(t, digest(brokenRun("r", "a", 1, crashed)), digest(brokenRun("r", "a", 2, crashed)))
	require.NotEqual(t, digest(brokenRun("r", "a", 1, crashed)), digest(brokenRun("s", "a", 1, crashed)))
}

// Replicas must agree on what an answer takes back in any order of the records: the runs of earlier generations, and
// no other ones.
func TestAnswerTakesBackEarlierGenerations(t *testing.T) {
	records := []*historypb.BrokenRun{
		{Target: "a", End: crashed, Generation: 1}, {Target: "b", End: broken, Generation: 1, EndedMs: 9}, {Target: "b", End: broken, Generation: 2, EndedMs: 7},
		{Target: "c", End: unknown, Generation: 1}, {Target: "d", End: crashed, Generation: 2}, {Target: "d", End: notRun, Generation: 3},
		{End: answered, Generation: 1}, {End: answered, Generation: 2}, {Target: "e", End: outlived, Generation: 2}, {Target: "e", End: broken, Generation: 3},
	}
	rng := rand.New(rand.NewPCG(7, 8))
	for range 200 {
		b := &BrokenRuns{}
		for _, i := range rng.Perm(len(records)) {
			b.Merge(records[i : i+1])
		}
		require.Equal(t, 1, b.Confirmed(), "target d")
		require.Len(t, b.runs, 3)
		require.EqualValues(t, 7, b.runs[incarnation{"b", 0}][broken].endedMs)
		require.Equal(t, [2]int{3, 0}, count(b, func(*historypb.BrokenRun) Judgement { return Crashed }), "targets b and e")
		require.EqualValues(t, 4, b.NextGeneration())
		replica := &BrokenRuns{}
		replica.Merge(b.records("r"))
		require.Equal(t, b.digest("r"), replica.digest("r"))
	}
}

// A run at a target that outlived an earlier run of the request must count by itself.
func TestLaterRunAtSameTargetCounts(t *testing.T) {
	b := &BrokenRuns{}
	b.Merge([]*historypb.BrokenRun{{Target: "a", End: unknown, Generation: 1}, {Target: "a", End: outlived, Generation: 1}})
	require.False(t, b.HasAnnounced())
	b.Merge([]*historypb.BrokenRun{{Target: "a", End: unknown, Generation: 2}})
	require.True(t, b.HasAnnounced())
	b.Merge([]*historypb.BrokenRun{{Target: "a", End: broken, Generation: 2}})
	require.True(t, b.HasUnanswered())
	b.Merge([]*historypb.BrokenRun{{Target: "a", End: outlived, Generation: 2}})
	require.False(t, b.HasUnanswered())
}

// Runs that crashed at the same time are of one generation, those that began one after the other are not.
func TestGenerationsTellRunsInARowFromRunsAtOnce(t *testing.T) {
	b := &BrokenRuns{}
	require.EqualValues(t, 1, b.NextGeneration())
	for _, target := range []string{"a", "b", "c"} {
		b.Merge([]*historypb.BrokenRun{{Target: target, End: crashed, Generation: 1}})
	}
	require.Equal(t, 1, b.CrashGenerations())
	b.Merge([]*historypb.BrokenRun{{Target: "d", End: broken, Generation: b.NextGeneration()}})
	require.Equal(t, 1, b.CrashGenerations(), "not known to have crashed")
	require.EqualValues(t, 3, b.NextGeneration())
	b.Merge([]*historypb.BrokenRun{{Target: "d", End: crashed, Generation: 2}, {Target: "a", End: unknown, Generation: 3}, {Target: "a", End: notRun, Generation: 3}})
	require.Equal(t, 2, b.CrashGenerations(), "target a was gone when the request was sent there again")
}

// A target that refuses a request because it is about to crash under another one must not count like one that crashed
// under a run of it.
func TestRefusalsAreCountedByThemselves(t *testing.T) {
	b := &BrokenRuns{}
	b.Merge([]*historypb.BrokenRun{
		{Target: "a", End: crashed, Generation: 1}, {Target: "b", End: crashed, Generation: 2},
		{Target: "c", End: refused, Generation: 3}, {Target: "c", End: crashedAfterRefusal, Generation: 3}, {Target: "d", End: refused, Generation: 4}, {Target: "e", End: refused, Generation: 4},
		{Target: "f", End: refused, Generation: 4}, {Target: "f", End: outlived, Generation: 4},
	})
	crash := func(*historypb.BrokenRun) Judgement { return Crashed }
	require.Equal(t, [2]int{2, 0}, count(b, crash))
	require.Equal(t, [2]int{3, 0}, count(b.Refusals(), crash), "target f served on")
	require.Equal(t, [2]int{1, 2}, count(b.Refusals(), func(*historypb.BrokenRun) Judgement { return MayCrash }))
	require.EqualValues(t, 5, b.NextGeneration())
	replica := &BrokenRuns{}
	replica.Merge(b.records("r"))
	require.Equal(t, b.digest("r"), replica.digest("r"))
	b.Merge([]*historypb.BrokenRun{{End: answered, Generation: 5}})
	require.False(t, b.HasRefusals())
}
