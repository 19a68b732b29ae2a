package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/request"
)

// telling is a registry with near and far targets of ten places that tell their slowdown, all
// as usual, and have an idle connection.
func telling(t *testing.T, near, far int) *Registry {
	t.Helper()
	r := NewRegistry("here", DefaultWeights())
	add := func(id, centre string) {
		r.SetTarget(TargetInfo{ID: id, Service: "s", DataCentre: centre, Capacity: 10})
		x := target(t, r, id)
		x.RecordSend(nil, time.Second)
		x.RecordOutcome(Served, time.Second)
		says(t, r, id, 0, 1)
	}
	for i := range near {
		add(fmt.Sprintf("near%d", i), "here")
	}
	for i := range far {
		add(fmt.Sprintf("far%d", i), "there")
	}
	return r
}

// says makes a target tell its load and slowdown now.
func says(t *testing.T, r *Registry, id string, load int, slowdown float64) {
	t.Helper()
	l := request.Load{Running: min(load, 10), Waiting: max(0, load-10), Places: 10, Slowdown: slowdown}
	target(t, r, id).RecordLoadReport(l, time.Second)
}

// picks counts the targets of many requests.
func picks(t *testing.T, r *Registry, q Query) map[string]int {
	t.Helper()
	const draws = 200
	got := map[string]int{}
	for i := range draws {
		q.Draw = float64(i) / draws
		got[pick(t, r, q)]++
	}
	return got
}

// Differences of load below full do not send a call to another data centre: a sixth of the
// places taken here, none there.
func TestCallsStayNearWhileThereIsRoom(t *testing.T) {
	r := telling(t, 2, 2)
	says(t, r, "near0", 5, 1)
	says(t, r, "near1", 8, 1)
	require.Equal(t, map[string]int{"near0": 200}, picks(t, r, Query{}))
	says(t, r, "near0", 60, 1)
	says(t, r, "near1", 60, 1)
	got := picks(t, r, Query{})
	require.Equal(t, 200, got["far0"]+got["far1"], "five times their places wait here")
	c, ok := r.Pick(Query{Service: "s"}, time.Second)
	require.True(t, ok)
	require.Contains(t, c.NearTarget, "near", "the choice says what was left")
	require.Greater(t, c.NearPredicted, c.Predicted+crossTime)
}

func TestSlowTargetsAreLeftWhileTheyAreSlow(t *testing.T) {
	r := telling(t, 2, 0)
	says(t, r, "near0", 0, 2.5)
	says(t, r, "near1", 7, 1)
	require.Equal(t, map[string]int{"near1": 200}, picks(t, r, Query{}))
	c, ok := r.Pick(Query{Service: "s"}, time.Second)
	require.True(t, ok)
	require.InDelta(t, 1, c.Slowdown, 0)
	require.Equal(t, assumedWork, c.Predicted)
	c, _ = r.Pick(Query{Service: "s", Exclude: map[string]bool{"near1": true}}, time.Second)
	require.InDelta(t, 2.5, c.Slowdown, 0)
	require.Equal(t, 5*assumedWork/2, c.Predicted)
}

// Hosts that know the same do not all choose the same target; each request has its own
// order of equal ones, which another start of the host would have too.
func TestEqualTargetsShareTheRequests(t *testing.T) {
	r := telling(t, 8, 0)
	got := picks(t, r, Query{})
	require.Len(t, got, 8)
	for id, n := range got {
		require.Greater(t, n, 8, id)
	}
	require.Equal(t, got, picks(t, r, Query{}))
}

func TestIdleConnectionsAreUsedWhereTargetsAreEqual(t *testing.T) {
	r := telling(t, 2, 0)
	r.SetTarget(TargetInfo{ID: "new", Service: "s", DataCentre: "here", Capacity: 10})
	says(t, r, "new", 0, 1)
	require.Zero(t, picks(t, r, Query{})["new"])
	says(t, r, "near0", 16, 1)
	says(t, r, "near1", 16, 1)
	require.Equal(t, 200, picks(t, r, Query{})["new"], "a connection is worth less than a wait")
}

// Work that takes twice the time at a target whatever it tells is learned, work done while
// it was slow is not held against it.
func TestOwnPaceIsLearnedBesideSlowdown(t *testing.T) {
	r := telling(t, 3, 0)
	says(t, r, "near1", 0, 2)
	for range 40 {
		r.RecordDuration("near0", "work", 200*time.Millisecond, time.Second)
		r.RecordDuration("near1", "work", 200*time.Millisecond, time.Second)
		r.RecordDuration("near2", "work", 100*time.Millisecond, time.Second)
	}
	says(t, r, "near1", 0, 1)
	own := func(id string) float64 { return target(t, r, id).own.factor(time.Second) }
	require.Greater(t, own("near0"), 1.5*own("near2"))
	require.InDelta(t, own("near2"), own("near1"), 0.05)
	require.Zero(t, picks(t, r, Query{WorkKind: "work"})["near0"])
	require.InDelta(t, 110, r.workOf("work")/1e6, 40)
}

// A time that was spent in a queue says nothing of a target's pace.
func TestQueuesAreNotHeldAgainstATarget(t *testing.T) {
	r := telling(t, 1, 0)
	r.RecordDuration("near0", "work", 100*time.Millisecond, time.Second)
	says(t, r, "near0", 30, 1)
	r.RecordDuration("near0", "work", 400*time.Millisecond, time.Second)
	require.InDelta(t, 1, target(t, r, "near0").own.factor(time.Second), 0.01)
}

// turnsOf tells the registry of turns at an engine: event is the time of one of three
// events, read that of a thousand tokens.
func turnsOf(r *Registry, id string, event, read time.Duration) {
	for i := range 60 {
		missing := int64(i%4) * 1000
		r.RecordFirstEvent(id, 0.1, missing, event+time.Duration(missing)*read/1000, time.Second)
		for range 2 {
			r.RecordEvent(id, 0.1, event, time.Second)
		}
	}
}

func TestFasterEnginesGetTurnsUntilTheirPlacesAreTaken(t *testing.T) {
	r := telling(t, 3, 0)
	for range 3 {
		turnsOf(r, "near0", 20*time.Millisecond, 5*time.Millisecond)
		turnsOf(r, "near1", 35*time.Millisecond, 8*time.Millisecond)
		turnsOf(r, "near2", 56*time.Millisecond, 13*time.Millisecond)
	}
	fast, slow := target(t, r, "near0").own.factor(time.Second), target(t, r, "near2").own.factor(time.Second)
	require.InDelta(t, 2.8, slow/fast, 0.9)
	q := prompt("a", "b")
	require.Equal(t, map[string]int{"near0": 200}, picks(t, r, q))
	says(t, r, "near0", 40, 1)
	require.Equal(t, map[string]int{"near1": 200}, picks(t, r, q))
}

// A turn stays with the engine that has its prompt while that is slow for a moment, and
// leaves it for a queue.
func TestTurnsStayWithTheirPromptThroughAMoment(t *testing.T) {
	r := telling(t, 3, 0)
	for _, id := range []string{"near0", "near1", "near2"} {
		turnsOf(r, id, 35*time.Millisecond, 8*time.Millisecond)
	}
	q := prompt("a", "b", "c", "d")
	target(t, r, "near1").MarkCached(q.Parts, time.Second)
	says(t, r, "near1", 2, 2.5)
	require.Equal(t, map[string]int{"near1": 200}, picks(t, r, q))
	says(t, r, "near1", 40, 2.5)
	require.Zero(t, picks(t, r, q)["near1"])
}

// Where home is full, what is small leaves first, and what has a prompt there comes home
// when room is there again.
func TestSmallPromptsCrossBeforeLongOnes(t *testing.T) {
	r := telling(t, 1, 1)
	for _, id := range []string{"near0", "far0"} {
		turnsOf(r, id, 35*time.Millisecond, 8*time.Millisecond)
	}
	small, chain := prompt("a"), prompt("b", "c", "d", "e", "f", "g", "h", "i")
	target(t, r, "near0").MarkCached(chain.Parts, time.Second)
	crossesAt := func(q Query) int {
		for load := range 200 {
			says(t, r, "near0", load, 1)
			if picks(t, r, q)["far0"] == 200 {
				return load
			}
		}
		return 200
	}
	first := crossesAt(small)
	require.Greater(t, first, 10, "not while there is room")
	require.Less(t, first, crossesAt(chain))
	// One that has gone stays while home has a queue, and goes home before it is idle.
	target(t, r, "far0").MarkCached(small.Parts, time.Second)
	says(t, r, "near0", first-1, 1)
	require.Equal(t, 200, picks(t, r, small)["far0"], "no swinging at the same load")
	says(t, r, "near0", 4, 1)
	require.Equal(t, 200, picks(t, r, small)["near0"], "room at home")
}

// Services that do not tell are chosen for as before; what only told ones learn is not kept.
func TestServicesThatDoNotTellGoTheFormerWay(t *testing.T) {
	r := registryOf(2)
	r.RecordFirstEvent("t0", 0.1, 1000, time.Second, time.Second)
	require.Zero(t, target(t, r, "t0").service.turns.begun)
	r.RecordDuration("t0", "work", time.Second, time.Second)
	require.InDelta(t, 1, target(t, r, "t0").own.factor(time.Second), 0)
	c, ok := r.Pick(Query{Service: "s", WorkKind: "work", Draw: 0.7}, time.Second)
	require.True(t, ok)
	require.Zero(t, c.Slowdown)
	require.Zero(t, c.Predicted)
	r.RecordFirstEvent("gone", 0, 0, time.Second, 0)
}

// First events that say the opposite of sense do not make prompts worthless or priceless.
func TestTimeToReadIsBounded(t *testing.T) {
	r := telling(t, 1, 0)
	turns := &target(t, r, "near0").service.turns
	require.InDelta(t, 2*float64(assumedRead), turns.read(2000), 1, "nothing is known")
	for i := range 100 {
		missing := int64(i%5) * 1000
		r.RecordFirstEvent("near0", 0.1, missing, time.Second-time.Duration(missing)*100*time.Microsecond, time.Second)
	}
	require.InDelta(t, float64(readLeast), turns.read(1000), 1)
	r = telling(t, 1, 0)
	turns = &target(t, r, "near0").service.turns
	for i := range 100 {
		missing := int64(i%5) * 1000
		r.RecordFirstEvent("near0", 0.1, missing, time.Duration(1+missing)*time.Millisecond, time.Second)
	}
	require.InDelta(t, float64(readMost), turns.read(1000), 1)
}
