package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/request"
)

func newTestRegistry(n int) *Registry {
	r := NewRegistry("dc0", DefaultWeights())
	for i := range n {
		r.SetTarget(TargetInfo{ID: fmt.Sprintf("t%d", i), Service: "s", DataCentre: fmt.Sprintf("dc%d", i), Capacity: 10})
	}
	return r
}

func pick(t *testing.T, r *Registry, q Query) string {
	t.Helper()
	q.Service = "s"
	c, ok := r.Pick(q, time.Second)
	require.True(t, ok)
	return c.ID
}

func promptQuery(parts ...string) Query {
	q := Query{}
	for _, p := range parts {
		q.Parts = append(q.Parts, request.Part{ID: p, Tokens: 1000})
		q.PromptTokens += 1000
	}
	return q
}

func target(t *testing.T, r *Registry, id string) *Target {
	t.Helper()
	x, ok := r.Target(id)
	require.True(t, ok)
	return x
}

func TestPickSkipsUnusableTargets(t *testing.T) {
	r := newTestRegistry(4)
	require.Equal(t, "t0", pick(t, r, Query{}), "near target if all are idle")
	r.SetTarget(TargetInfo{ID: "t0", Service: "s", DataCentre: "dc0", Capacity: 10, Draining: true})
	target(t, r, "t1").Unreachable = true
	require.Contains(t, []string{"t2", "t3"}, pick(t, r, Query{}))
	require.Equal(t, "t3", pick(t, r, Query{Exclude: map[string]bool{"t2": true}}))
	for _, id := range r.IDsExcept(map[string]bool{"t0": true}) {
		r.Remove(id)
	}
	_, ok := r.Pick(Query{Service: "s"}, 0)
	require.False(t, ok)
	require.Equal(t, 1, r.Size())
}

func TestPickChoosesTheLeastLoadedTarget(t *testing.T) {
	r := newTestRegistry(3)
	target(t, r, "t0").RecordLoadReport(request.Load{Running: 6, Capacity: 10}, 0)
	target(t, r, "t1").RecordLoadReport(request.Load{Running: 3, Waiting: 1, Capacity: 10}, 0)
	require.Equal(t, "t2", pick(t, r, Query{}))
	for range 8 {
		target(t, r, "t2").RecordSend(nil, 0)
	}
	require.Equal(t, "t1", pick(t, r, Query{}))
}

// Prefilling a prompt again costs the requests running at an engine more than a short queue
// costs this request; a long queue costs more than the prefill.
func TestPickFollowsCachedPrefixUnlessItsTargetHasALongQueue(t *testing.T) {
	r := newTestRegistry(3)
	query := promptQuery("shared", "session")
	recordLoadedEvents(r, 40*time.Millisecond, 44*time.Millisecond)
	target(t, r, "t1").RecordSend(query.Parts, 0)
	target(t, r, "t1").RecordOutcome(Served, 0)
	require.Equal(t, "t1", pick(t, r, query))
	target(t, r, "t1").RecordLoadReport(request.Load{Running: 10, Waiting: 4, Capacity: 10}, 0)
	require.Equal(t, "t1", pick(t, r, query))
	target(t, r, "t1").RecordLoadReport(request.Load{Running: 10, Waiting: 16, Capacity: 10}, 0)
	require.NotEqual(t, "t1", pick(t, r, query))
}

// recordLoadedEvents records events of streams at loads from 0 to 1; their durations rise with
// the load from idle to full.
func recordLoadedEvents(r *Registry, idle, full time.Duration) {
	for i := range 40 {
		load := float64(i%5) / 4
		r.RecordEvent("t0", load, idle+time.Duration(load*float64(full-idle)), 0)
	}
}

// Engines of two deployments: at full load a token takes 1.1 times or four times as long as at
// an idle engine. A turn stays at a full engine with its cached prompt in the first, and leaves
// it in the second.
func TestOccupancyCostFollowsObservedEventTimes(t *testing.T) {
	for full, expectStay := range map[time.Duration]bool{44 * time.Millisecond: true, 160 * time.Millisecond: false} {
		r := newTestRegistry(3)
		q := promptQuery("shared", "session")
		recordLoadedEvents(r, 40*time.Millisecond, full)
		target(t, r, "t1").RecordSend(q.Parts, 0)
		target(t, r, "t1").RecordOutcome(Served, 0)
		target(t, r, "t1").RecordLoadReport(request.Load{Running: 10, Capacity: 10}, 0)
		require.Equal(t, expectStay, pick(t, r, q) == "t1", "full %v", full)
	}
}

func TestEventTimeModelFitsLoadShare(t *testing.T) {
	var s eventTimeModel
	require.InDelta(t, defaultLoadShare, s.loadShare(), 0)
	for range 60 {
		s.observe(0.5, 40)
	}
	require.InDelta(t, defaultLoadShare, s.loadShare(), 0, "observations at a single load give no fit")
	for i := range 1000 {
		load := float64(i%11) / 10
		s.observe(load, 20+60*load)
	}
	require.InDelta(t, 0.75, s.loadShare(), 0.05)
	require.InDelta(t, 50, s.expected(0.5), 5)
	require.InDelta(t, s.expected(1), s.expected(3), 0, "a queue does not slow the batch")
}

// recordEvents records events of streams at some engines at half load, for each its duration.
func recordEvents(r *Registry, events int, now time.Duration, durations map[string]time.Duration) {
	for range events {
		for id, d := range durations {
			r.RecordEvent(id, 0.5, d, now)
		}
	}
}

// One of three engines becomes four times slower: it is avoided from its next turn on, and
// retried soon after its last event.
func TestSlowEngineIsAvoidedThenRetried(t *testing.T) {
	r := newTestRegistry(3)
	usual, slow := 20*time.Millisecond, 80*time.Millisecond
	picked := func(now time.Duration) string {
		c, ok := r.Pick(Query{Service: "s", PromptTokens: 1000}, now)
		require.True(t, ok)
		return c.ID
	}
	recordEvents(r, 100, time.Second, map[string]time.Duration{"t0": usual, "t1": usual, "t2": usual})
	require.Equal(t, "t0", picked(time.Second), "near target")
	turnedSlow := 4 * time.Second
	recordEvents(r, 10, turnedSlow, map[string]time.Duration{"t0": slow, "t1": usual, "t2": usual})
	reportIdle(r, 10, turnedSlow)
	require.NotEqual(t, "t0", picked(turnedSlow))
	recovered := turnedSlow + 8*eventHalfLife
	reportIdle(r, 10, recovered)
	require.Equal(t, "t0", picked(recovered))
}

// reportIdle records n load reports of each target that say it is idle.
func reportIdle(r *Registry, n int, now time.Duration) {
	for _, x := range r.targets {
		for range n {
			x.RecordLoadReport(request.Load{Capacity: x.Capacity}, now)
		}
	}
}

// A host that receives few load reports from each target stays in its own data centre as long as
// there is no long queue; one that receives enough chooses the least loaded target.
func TestHostWithFewLoadReportsStaysInItsDataCentre(t *testing.T) {
	for reports, expectNear := range map[int]bool{3: true, 40: false} {
		r := newTestRegistry(12)
		for range reports {
			target(t, r, "t5").RecordLoadReport(request.Load{Capacity: 10}, time.Second)
		}
		for range 9 {
			target(t, r, "t0").RecordSend(nil, time.Second)
		}
		near := pick(t, r, Query{PromptTokens: 1000}) == "t0"
		require.Equal(t, expectNear, near, "%d load reports", reports)
		target(t, r, "t0").RecordLoadReport(request.Load{Running: 10, Waiting: 20, Capacity: 10}, time.Second)
		require.NotEqual(t, "t0", pick(t, r, Query{PromptTokens: 1000}))
	}
}

// A target whose load report is old counts as loaded like the targets with recent reports.
func TestStaleLoadReportDecaysToServiceMean(t *testing.T) {
	r := newTestRegistry(3)
	old, now := target(t, r, "t0"), 10*time.Second
	old.RecordLoadReport(request.Load{Running: 1, Capacity: 10}, 0)
	for range 20 {
		target(t, r, "t1").RecordLoadReport(request.Load{Running: 10, Waiting: 10, Capacity: 10}, now)
	}
	require.InDelta(t, 20, old.Load(now), 2)
	require.Zero(t, target(t, r, "t2").Load(now), "a target without a load report is treated as new")
	require.Zero(t, old.Load(now+10*time.Second))
}

// While an engine prefills prompts, its events take longer for some time although it is healthy;
// here two and a half times as long. This must not drive turns from the engine with their cached
// prompt: prefilling the prompts elsewhere would stall the other engines one after the other.
func TestStalledEventsDoNotMoveTurnsFromCachedPrompts(t *testing.T) {
	r := newTestRegistry(3)
	q := promptQuery("shared", "session")
	usual := 20 * time.Millisecond
	recordEvents(r, 100, 0, map[string]time.Duration{"t0": usual, "t1": usual, "t2": usual})
	target(t, r, "t1").RecordSend(q.Parts, time.Second)
	target(t, r, "t1").RecordOutcome(Served, time.Second)
	recordEvents(r, 10, time.Second, map[string]time.Duration{"t0": usual, "t1": 5 * usual / 2, "t2": usual})
	reportIdle(r, 10, time.Second)
	require.Equal(t, "t1", pick(t, r, q))
}

func TestHostsAgreeOnAffinityTargetsOfASharedPart(t *testing.T) {
	a, b := newTestRegistry(12), newTestRegistry(12)
	for _, r := range []*Registry{a, b} {
		for i := range 12 {
			r.SetTarget(TargetInfo{ID: fmt.Sprintf("t%d", i), Service: "s", DataCentre: fmt.Sprintf("dc%d", i%3), Capacity: 10})
		}
	}
	for i := range 20 {
		q := promptQuery(fmt.Sprintf("shared%d", i), "session")
		chosen := a.affinityTargets("s", q.Parts[0].ID)
		require.Equal(t, chosen, b.affinityTargets("s", q.Parts[0].ID))
		require.Len(t, chosen, 3)
		require.True(t, chosen[pick(t, a, q)])
		require.Equal(t, "dc0", target(t, a, pick(t, a, q)).DataCentre, "near target")
	}
	// The affinity targets change only if one of them is removed.
	before := a.affinityTargets("s", "p")
	for i := range 12 {
		id := fmt.Sprintf("t%d", i)
		if !before[id] {
			a.Remove(id)
			require.Equal(t, before, a.affinityTargets("s", "p"))
			return
		}
	}
}

func TestBreakerExcludesFailingTargetUntilItsTimeout(t *testing.T) {
	r := newTestRegistry(2)
	for range 3 {
		target(t, r, "t0").RecordSend(nil, 0)
		target(t, r, "t0").RecordOutcome(Failed, time.Second)
	}
	only := Query{Service: "s", Exclude: map[string]bool{"t1": true}}
	_, ok := r.Pick(only, time.Second)
	require.False(t, ok)
	c, ok := r.Pick(only, time.Second+minBreakerTimeout)
	require.True(t, ok)
	require.Equal(t, "t0", c.ID)
}

func TestPartlyFailingTargetIsAvoidedThenRetried(t *testing.T) {
	r := newTestRegistry(2)
	for i := range 10 {
		outcome := Served
		if i%5 < 2 {
			outcome = Failed
		}
		target(t, r, "t0").RecordSend(nil, time.Second)
		target(t, r, "t0").RecordOutcome(outcome, time.Second)
	}
	require.Equal(t, "t1", pick(t, r, Query{}))
	c, ok := r.Pick(Query{Service: "s"}, time.Second+10*failureHalfLife)
	require.True(t, ok)
	require.Equal(t, "t0", c.ID)
}

func TestPrefixCacheEvictsLeastRecentlyUsedParts(t *testing.T) {
	c := newPrefixCache()
	for i := range maxCacheEntries + 10 {
		c.add([]request.Part{{ID: fmt.Sprint(i), Tokens: 1}}, time.Duration(i))
	}
	require.LessOrEqual(t, len(c.lastUsed), maxCacheEntries)
	require.Zero(t, c.cachedTokens([]request.Part{{ID: "0", Tokens: 1}}))
	require.EqualValues(t, 1, c.cachedTokens([]request.Part{{ID: fmt.Sprint(maxCacheEntries + 9), Tokens: 1}}))
}

// A target that is removed and listed again has no count of the requests that are still at it;
// their outcomes must not make the count of its requests negative.
func TestOutcomesOfRequestsSentBeforeRelistingDoNotLowerInFlight(t *testing.T) {
	r := NewRegistry("dc", DefaultWeights())
	listed := TargetInfo{ID: "a", Service: "s", Capacity: 4, DataCentre: "dc"}
	r.SetTarget(listed)
	c, ok := r.Pick(Query{Service: "s"}, 0)
	require.True(t, ok)
	c.RecordSend(nil, 0)
	r.Remove("a")
	r.SetTarget(listed)
	r.targets["a"].RecordOutcome(Served, 0)
	require.Zero(t, r.targets["a"].Load(0))
	require.Zero(t, r.targets["a"].inFlight)
}

// A target that restarts under its ID is a new one: its earlier state does not count, and late
// information about an earlier incarnation is ignored.
func TestRestartedTargetStartsWithoutHistory(t *testing.T) {
	r := NewRegistry("dc1", DefaultWeights())
	first := TargetInfo{ID: "t1", StartedAtMs: 100, Service: "s", Address: "a:1", Capacity: 4}
	require.False(t, r.SetTarget(first))
	parts := []request.Part{{ID: "p", Tokens: 500}}
	c, ok := r.Pick(Query{Service: "s", Parts: parts, PromptTokens: 500}, 0)
	require.True(t, ok)
	c.RecordSend(parts, 0)
	c.RecordLoadReport(request.Load{Running: 4, Waiting: 9, Capacity: 4}, 0)
	c.RecordOutcome(Failed, 0)
	c.RecordOutcome(Failed, 0)

	second := first
	second.StartedAtMs, second.Address = 200, "a:2"
	require.True(t, r.SetTarget(second))
	fresh, ok := r.TargetIncarnation("t1", 200)
	require.True(t, ok)
	require.Zero(t, fresh.Load(0))
	c, ok = r.Pick(Query{Service: "s", Parts: parts, PromptTokens: 500}, 0)
	require.True(t, ok, "failures of the earlier incarnation do not count")
	require.EqualValues(t, 500, c.UncachedTokens, "prompts cached by the earlier incarnation do not count")
	_, ok = r.TargetIncarnation("t1", 100)
	require.False(t, ok)

	require.False(t, r.SetTarget(first), "late information about the earlier incarnation")
	got, _ := r.Target("t1")
	require.Equal(t, "a:2", got.Address)
}

// A turn that failed at an engine is retried through the same host, while history hosts report
// that this engine has prefilled its prompt. The turn must not be sent to that engine again.
func TestTurnsLeaveAnEngineThatFailsThem(t *testing.T) {
	r := newTestRegistry(6)
	q := promptQuery("shared", "a", "b", "c", "d")
	q.Service = "s"
	first, ok := r.Pick(q, 0)
	require.True(t, ok)
	first.RecordSend(q.Parts, 0)
	first.RecordOutcome(Failed, 0)

	next, ok := r.Pick(q, 200*time.Millisecond)
	require.True(t, ok)
	require.NotEqual(t, first.ID, next.ID)

	first.MarkCached(q.Parts, 300*time.Millisecond)
	next, ok = r.Pick(q, 300*time.Millisecond)
	require.True(t, ok)
	require.NotEqual(t, first.ID, next.ID)

	next, ok = r.Pick(q, 10*time.Second)
	require.True(t, ok)
	require.Equal(t, first.ID, next.ID, "retried long after the failure")
}

// Requests with different texts must be spread over the cheapest targets, and one text keeps its target.
func TestSpreadByKeepsRequestsApart(t *testing.T) {
	r := NewRegistry("dc", DefaultWeights())
	for i := range 16 {
		r.SetTarget(TargetInfo{ID: fmt.Sprintf("t%d", i), Service: "s", DataCentre: "dc", Capacity: 4})
		x, _ := r.Target(fmt.Sprintf("t%d", i))
		for range i / spreadWidth {
			x.RecordSend(nil, 0)
		}
	}
	chosen := map[string]int{}
	for i := range 200 {
		q := Query{Service: "s", SpreadBy: fmt.Sprintf("request-%d", i)}
		first, ok := r.Pick(q, 0)
		require.True(t, ok)
		again, _ := r.Pick(q, 0)
		require.Equal(t, first.ID, again.ID)
		chosen[first.ID]++
	}
	require.Len(t, chosen, spreadWidth)
	for _, id := range []string{"t0", "t1", "t2", "t3"} {
		require.Greater(t, chosen[id], 25, id)
	}
}
