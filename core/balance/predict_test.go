package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/request"
)

// newSlowdownRegistry returns a registry with near and far targets of capacity ten that report
// their slowdown, all at the usual speed and with an idle connection.
func newSlowdownRegistry(t *testing.T, near, far int) *Registry {
	t.Helper()
	r := NewRegistry("here", DefaultWeights())
	add := func(id, centre string) {
		r.SetTarget(TargetInfo{ID: id, Service: "s", DataCentre: centre, Capacity: 10})
		x := target(t, r, id)
		x.RecordSend(nil, time.Second)
		x.RecordOutcome(Served, time.Second)
		reportLoad(t, r, id, 0, 1)
	}
	for i := range near {
		add(fmt.Sprintf("near%d", i), "here")
	}
	for i := range far {
		add(fmt.Sprintf("far%d", i), "there")
	}
	return r
}

// reportLoad records a load report of a target with a number of requests and a slowdown.
func reportLoad(t *testing.T, r *Registry, id string, load int, slowdown float64) {
	t.Helper()
	l := request.Load{Running: min(load, 10), Waiting: max(0, load-10), Capacity: 10, Slowdown: slowdown}
	target(t, r, id).RecordLoadReport(l, time.Second)
}

// countPicks returns how often each target is picked for 200 requests with different draws.
func countPicks(t *testing.T, r *Registry, q Query) map[string]int {
	t.Helper()
	const draws = 200
	got := map[string]int{}
	for i := range draws {
		q.Draw = float64(i) / draws
		got[pick(t, r, q)]++
	}
	return got
}

// Differences of load below capacity must not send a call to another data centre: here half of
// the capacity is taken at the least loaded near target, none at the far ones.
func TestCallsStayNearWhileCapacityIsFree(t *testing.T) {
	r := newSlowdownRegistry(t, 2, 2)
	reportLoad(t, r, "near0", 5, 1)
	reportLoad(t, r, "near1", 8, 1)
	require.Equal(t, map[string]int{"near0": 200}, countPicks(t, r, Query{}))
	reportLoad(t, r, "near0", 60, 1)
	reportLoad(t, r, "near1", 60, 1)
	got := countPicks(t, r, Query{})
	require.Equal(t, 200, got["far0"]+got["far1"], "the queue of the near targets is five times their capacity")
	c, ok := r.Pick(Query{Service: "s"}, time.Second)
	require.True(t, ok)
	require.Contains(t, c.NearTarget, "near", "the choice names the near alternative")
	require.Greater(t, c.NearPredicted, c.Predicted+crossDataCentreTime)
}

func TestSlowTargetIsAvoidedAtHigherLoadOfOthers(t *testing.T) {
	r := newSlowdownRegistry(t, 2, 0)
	reportLoad(t, r, "near0", 0, 2.5)
	reportLoad(t, r, "near1", 7, 1)
	require.Equal(t, map[string]int{"near1": 200}, countPicks(t, r, Query{}))
	c, ok := r.Pick(Query{Service: "s"}, time.Second)
	require.True(t, ok)
	require.InDelta(t, 1, c.Slowdown, 0)
	require.Equal(t, defaultWorkTime, c.Predicted)
	c, _ = r.Pick(Query{Service: "s", Exclude: map[string]bool{"near1": true}}, time.Second)
	require.InDelta(t, 2.5, c.Slowdown, 0)
	require.Equal(t, 5*defaultWorkTime/2, c.Predicted)
}

// Hosts with the same information must not all choose the same target. Each request has its own
// order of equal targets, which is the same after a restart of the host.
func TestRequestsSpreadOverEqualTargets(t *testing.T) {
	r := newSlowdownRegistry(t, 8, 0)
	got := countPicks(t, r, Query{})
	require.Len(t, got, 8)
	for id, n := range got {
		require.Greater(t, n, 8, id)
	}
	require.Equal(t, got, countPicks(t, r, Query{}))
}

func TestEqualTargetsWithIdleConnectionsArePreferred(t *testing.T) {
	r := newSlowdownRegistry(t, 2, 0)
	r.SetTarget(TargetInfo{ID: "new", Service: "s", DataCentre: "here", Capacity: 10})
	reportLoad(t, r, "new", 0, 1)
	require.Zero(t, countPicks(t, r, Query{})["new"])
	reportLoad(t, r, "near0", 16, 1)
	reportLoad(t, r, "near1", 16, 1)
	require.Equal(t, 200, countPicks(t, r, Query{})["new"], "a new connection costs less than a queue")
}

// Work that takes twice the time at a target regardless of its reported slowdown raises its
// intrinsic slowdown; work done while it reported a slowdown does not.
func TestIntrinsicSlowdownIsSeparateFromReportedSlowdown(t *testing.T) {
	r := newSlowdownRegistry(t, 3, 0)
	reportLoad(t, r, "near1", 0, 2)
	for range 40 {
		r.RecordDuration("near0", "work", 200*time.Millisecond, time.Second)
		r.RecordDuration("near1", "work", 200*time.Millisecond, time.Second)
		r.RecordDuration("near2", "work", 100*time.Millisecond, time.Second)
	}
	reportLoad(t, r, "near1", 0, 1)
	intrinsic := func(id string) float64 { return target(t, r, id).intrinsic.factor(time.Second) }
	require.Greater(t, intrinsic("near0"), 1.5*intrinsic("near2"))
	require.InDelta(t, intrinsic("near2"), intrinsic("near1"), 0.05)
	require.Zero(t, countPicks(t, r, Query{WorkKind: "work"})["near0"])
	require.InDelta(t, 110, r.typicalTime("work")/1e6, 40)
}

// Time spent in a queue says nothing about the intrinsic slowdown of a target.
func TestQueueTimeDoesNotRaiseIntrinsicSlowdown(t *testing.T) {
	r := newSlowdownRegistry(t, 1, 0)
	r.RecordDuration("near0", "work", 100*time.Millisecond, time.Second)
	reportLoad(t, r, "near0", 30, 1)
	r.RecordDuration("near0", "work", 400*time.Millisecond, time.Second)
	require.InDelta(t, 1, target(t, r, "near0").intrinsic.factor(time.Second), 0.01)
}

// recordTurns records turns at an engine: event is the duration of each of three events, prefill
// the prefill time of a thousand tokens.
func recordTurns(r *Registry, id string, event, prefill time.Duration) {
	for i := range 60 {
		uncached := int64(i%4) * 1000
		r.RecordFirstEvent(id, 0.1, uncached, event+time.Duration(uncached)*prefill/1000, time.Second)
		for range 2 {
			r.RecordEvent(id, 0.1, event, time.Second)
		}
	}
}

func TestFasterEnginesGetTurnsUntilFull(t *testing.T) {
	r := newSlowdownRegistry(t, 3, 0)
	for range 3 {
		recordTurns(r, "near0", 20*time.Millisecond, 5*time.Millisecond)
		recordTurns(r, "near1", 35*time.Millisecond, 8*time.Millisecond)
		recordTurns(r, "near2", 56*time.Millisecond, 13*time.Millisecond)
	}
	fast, slow := target(t, r, "near0").intrinsic.factor(time.Second), target(t, r, "near2").intrinsic.factor(time.Second)
	require.InDelta(t, 2.8, slow/fast, 0.9)
	q := promptQuery("a", "b")
	require.Equal(t, map[string]int{"near0": 200}, countPicks(t, r, q))
	reportLoad(t, r, "near0", 40, 1)
	require.Equal(t, map[string]int{"near1": 200}, countPicks(t, r, q))
}

// A turn stays with the engine that has its prompt cached during a short slowdown, and leaves it
// for a long queue.
func TestTurnsStayWithCachedPromptThroughAShortSlowdown(t *testing.T) {
	r := newSlowdownRegistry(t, 3, 0)
	for _, id := range []string{"near0", "near1", "near2"} {
		recordTurns(r, id, 35*time.Millisecond, 8*time.Millisecond)
	}
	q := promptQuery("a", "b", "c", "d")
	target(t, r, "near1").MarkCached(q.Parts, time.Second)
	reportLoad(t, r, "near1", 2, 2.5)
	require.Equal(t, map[string]int{"near1": 200}, countPicks(t, r, q))
	reportLoad(t, r, "near1", 40, 2.5)
	require.Zero(t, countPicks(t, r, q)["near1"])
}

// If the near target is full, small prompts leave first. A turn whose prompt is cached there
// returns when there is free capacity again.
func TestSmallPromptsCrossDataCentresBeforeLongOnes(t *testing.T) {
	r := newSlowdownRegistry(t, 1, 1)
	for _, id := range []string{"near0", "far0"} {
		recordTurns(r, id, 35*time.Millisecond, 8*time.Millisecond)
	}
	small, long := promptQuery("a"), promptQuery("b", "c", "d", "e", "f", "g", "h", "i")
	target(t, r, "near0").MarkCached(long.Parts, time.Second)
	crossesAt := func(q Query) int {
		for load := range 200 {
			reportLoad(t, r, "near0", load, 1)
			if countPicks(t, r, q)["far0"] == 200 {
				return load
			}
		}
		return 200
	}
	first := crossesAt(small)
	require.Greater(t, first, 10, "not while there is free capacity")
	require.Less(t, first, crossesAt(long))
	// A prompt that has left stays while the near target has a queue, and returns before it is
	// idle.
	target(t, r, "far0").MarkCached(small.Parts, time.Second)
	reportLoad(t, r, "near0", first-1, 1)
	require.Equal(t, 200, countPicks(t, r, small)["far0"], "no oscillation at the same load")
	reportLoad(t, r, "near0", 4, 1)
	require.Equal(t, 200, countPicks(t, r, small)["near0"], "free capacity at the near target")
}

// If the targets of a service report no slowdown, they are chosen by the cost of their load, and
// statistics for predicted finish are not collected.
func TestServicesWithoutSlowdownReportsUseLoadCost(t *testing.T) {
	r := newTestRegistry(2)
	r.RecordFirstEvent("t0", 0.1, 1000, time.Second, time.Second)
	require.Zero(t, target(t, r, "t0").service.turns.started)
	r.RecordDuration("t0", "work", time.Second, time.Second)
	require.InDelta(t, 1, target(t, r, "t0").intrinsic.factor(time.Second), 0)
	c, ok := r.Pick(Query{Service: "s", WorkKind: "work", Draw: 0.7}, time.Second)
	require.True(t, ok)
	require.Zero(t, c.Slowdown)
	require.Zero(t, c.Predicted)
	r.RecordFirstEvent("unknown", 0, 0, time.Second, 0)
}

// First events whose delays contradict the uncached tokens must make cached prompts neither
// worthless nor too valuable.
func TestPrefillTimeIsBounded(t *testing.T) {
	r := newSlowdownRegistry(t, 1, 0)
	stats := &target(t, r, "near0").service.turns
	require.InDelta(t, 2*float64(defaultPrefillTime), stats.timeToPrefill(2000), 1, "default without observations")
	for i := range 100 {
		uncached := int64(i%5) * 1000
		r.RecordFirstEvent("near0", 0.1, uncached, time.Second-time.Duration(uncached)*100*time.Microsecond, time.Second)
	}
	require.InDelta(t, float64(minPrefillTime), stats.timeToPrefill(1000), 1)
	r = newSlowdownRegistry(t, 1, 0)
	stats = &target(t, r, "near0").service.turns
	for i := range 100 {
		uncached := int64(i%5) * 1000
		r.RecordFirstEvent("near0", 0.1, uncached, time.Duration(1+uncached)*time.Millisecond, time.Second)
	}
	require.InDelta(t, float64(maxPrefillTime), stats.timeToPrefill(1000), 1)
}
