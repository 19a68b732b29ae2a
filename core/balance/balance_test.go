package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/request"
)

func registryOf(n int) *Registry {
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

func prompt(parts ...string) Query {
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

func TestPickAvoidsWhatCannotServe(t *testing.T) {
	r := registryOf(4)
	require.Equal(t, "t0", pick(t, r, Query{}), "the own data centre where all are idle")
	r.SetTarget(TargetInfo{ID: "t0", Service: "s", DataCentre: "dc0", Capacity: 10, Draining: true})
	target(t, r, "t1").Unreachable = true
	require.Contains(t, []string{"t2", "t3"}, pick(t, r, Query{}))
	require.Equal(t, "t3", pick(t, r, Query{Exclude: map[string]bool{"t2": true}}))
	r.RetainOnly(map[string]bool{"t0": true})
	_, ok := r.Pick(Query{Service: "s"}, 0)
	require.False(t, ok)
	require.Equal(t, 1, r.Size())
}

func TestPickTakesTheLeastLoaded(t *testing.T) {
	r := registryOf(3)
	target(t, r, "t0").RecordLoadReport(request.Load{Running: 6, Capacity: 10}, 0)
	target(t, r, "t1").RecordLoadReport(request.Load{Running: 3, Waiting: 1, Capacity: 10}, 0)
	require.Equal(t, "t2", pick(t, r, Query{}))
	for range 8 {
		target(t, r, "t2").RecordSend(nil, 0)
	}
	require.Equal(t, "t1", pick(t, r, Query{}))
}

// Reading a prompt again costs all that runs at an engine more than a short queue
// costs the request; a long queue costs more than the reading.
func TestPickFollowsThePrefixUnlessItsTargetHasALongQueue(t *testing.T) {
	r := registryOf(3)
	q := prompt("shared", "session")
	stream(r, 40*time.Millisecond, 44*time.Millisecond)
	target(t, r, "t1").RecordSend(q.Parts, 0)
	target(t, r, "t1").RecordOutcome(Served, 0)
	require.Equal(t, "t1", pick(t, r, q))
	target(t, r, "t1").RecordLoadReport(request.Load{Running: 10, Waiting: 4, Capacity: 10}, 0)
	require.Equal(t, "t1", pick(t, r, q))
	target(t, r, "t1").RecordLoadReport(request.Load{Running: 10, Waiting: 16, Capacity: 10}, 0)
	require.NotEqual(t, "t1", pick(t, r, q))
}

// stream tells the registry of streams at loads from none to full, whose events took
// idle to full.
func stream(r *Registry, idle, full time.Duration) {
	for i := range 40 {
		load := float64(i%5) / 4
		r.RecordEvent("t0", load, idle+time.Duration(load*float64(full-idle)), 0)
	}
}

// Engines of two deployments: a full one takes 1.1 times as long for a token, or four
// times. The first is worth staying at for a prompt that it has, the second is not.
func TestCostOfLoadFollowsWhatIsSeen(t *testing.T) {
	for full, stays := range map[time.Duration]bool{44 * time.Millisecond: true, 160 * time.Millisecond: false} {
		r := registryOf(3)
		q := prompt("shared", "session")
		stream(r, 40*time.Millisecond, full)
		target(t, r, "t1").RecordSend(q.Parts, 0)
		target(t, r, "t1").RecordOutcome(Served, 0)
		target(t, r, "t1").RecordLoadReport(request.Load{Running: 10, Capacity: 10}, 0)
		require.Equal(t, stays, pick(t, r, q) == "t1", "full %v", full)
	}
}

func TestCostOfLoadIsFoundFromStreams(t *testing.T) {
	var s speed
	require.InDelta(t, assumedBusy, s.busy(), 0)
	for range 60 {
		s.observe(0.5, 40)
	}
	require.InDelta(t, assumedBusy, s.busy(), 0, "one load tells nothing of another")
	for i := range 1000 {
		load := float64(i%11) / 10
		s.observe(load, 20+60*load)
	}
	require.InDelta(t, 0.75, s.busy(), 0.05)
	require.InDelta(t, 50, s.expected(0.5), 5)
	require.InDelta(t, s.expected(1), s.expected(3), 0, "a queue does not slow the batch")
}

// streams tells the registry of the events of streams at some engines, half loaded.
func streams(r *Registry, events int, now time.Duration, took map[string]time.Duration) {
	for range events {
		for id, d := range took {
			r.RecordEvent(id, 0.5, d, now)
		}
	}
}

// One of three engines turns four times slower: it gets less from its next turn on, and
// is tried again soon after its last event.
func TestSlowEngineGetsLessAndIsTriedAgain(t *testing.T) {
	r := registryOf(3)
	usual, slow := 20*time.Millisecond, 80*time.Millisecond
	picked := func(now time.Duration) string {
		c, ok := r.Pick(Query{Service: "s", PromptTokens: 1000}, now)
		require.True(t, ok)
		return c.ID
	}
	streams(r, 100, time.Second, map[string]time.Duration{"t0": usual, "t1": usual, "t2": usual})
	require.Equal(t, "t0", picked(time.Second), "the near one")
	turnedSlow := 4 * time.Second
	streams(r, 10, turnedSlow, map[string]time.Duration{"t0": slow, "t1": usual, "t2": usual})
	hear(r, 10, turnedSlow)
	require.NotEqual(t, "t0", picked(turnedSlow))
	recovered := turnedSlow + 8*eventHalfLife
	hear(r, 10, recovered)
	require.Equal(t, "t0", picked(recovered))
}

// hear tells the registry n words of each target that it is idle.
func hear(r *Registry, n int, now time.Duration) {
	for _, x := range r.targets {
		for range n {
			x.RecordLoadReport(request.Load{Capacity: x.Capacity}, now)
		}
	}
}

// A host that hears little of each target stays in its own data centre as long as there
// is no long queue; one that hears enough takes the least loaded.
func TestHostThatHearsLittleStaysNear(t *testing.T) {
	for heard, stays := range map[int]bool{3: true, 40: false} {
		r := registryOf(12)
		for range heard {
			target(t, r, "t5").RecordLoadReport(request.Load{Capacity: 10}, time.Second)
		}
		for range 9 {
			target(t, r, "t0").RecordSend(nil, time.Second)
		}
		near := pick(t, r, Query{PromptTokens: 1000}) == "t0"
		require.Equal(t, stays, near, "%d words", heard)
		target(t, r, "t0").RecordLoadReport(request.Load{Running: 10, Waiting: 20, Capacity: 10}, time.Second)
		require.NotEqual(t, "t0", pick(t, r, Query{PromptTokens: 1000}))
	}
}

// A target that was heard long ago counts as loaded as those that are heard.
func TestAnOldWordFadesToTheMeanOfTheService(t *testing.T) {
	r := registryOf(3)
	old, now := target(t, r, "t0"), 10*time.Second
	old.RecordLoadReport(request.Load{Running: 1, Capacity: 10}, 0)
	for range 20 {
		target(t, r, "t1").RecordLoadReport(request.Load{Running: 10, Waiting: 10, Capacity: 10}, now)
	}
	require.InDelta(t, 20, old.Load(now), 2)
	require.Zero(t, target(t, r, "t2").Load(now), "one that was never heard is new")
	require.Zero(t, old.Load(now+10*time.Second))
}

// While prompts are read everywhere, events of sound engines take half as long again for
// a while. That does not drive turns from the engine that has their prompt: reading them
// elsewhere stalls the others in turn.
func TestStalledEventsDoNotDriveTurnsFromTheirPrompts(t *testing.T) {
	r := registryOf(3)
	q := prompt("shared", "session")
	usual := 20 * time.Millisecond
	streams(r, 100, 0, map[string]time.Duration{"t0": usual, "t1": usual, "t2": usual})
	target(t, r, "t1").RecordSend(q.Parts, time.Second)
	target(t, r, "t1").RecordOutcome(Served, time.Second)
	streams(r, 10, time.Second, map[string]time.Duration{"t0": usual, "t1": 5 * usual / 2, "t2": usual})
	hear(r, 10, time.Second)
	require.Equal(t, "t1", pick(t, r, q))
}

func TestHostsAgreeOnTheHomesOfASharedPart(t *testing.T) {
	a, b := registryOf(12), registryOf(12)
	for _, r := range []*Registry{a, b} {
		for i := range 12 {
			r.SetTarget(TargetInfo{ID: fmt.Sprintf("t%d", i), Service: "s", DataCentre: fmt.Sprintf("dc%d", i%3), Capacity: 10})
		}
	}
	for i := range 20 {
		q := prompt(fmt.Sprintf("shared%d", i), "session")
		homes := a.homes("s", q.Parts[0].ID)
		require.Equal(t, homes, b.homes("s", q.Parts[0].ID))
		require.Len(t, homes, 3)
		require.True(t, homes[pick(t, a, q)])
		require.Equal(t, "dc0", target(t, a, pick(t, a, q)).DataCentre, "the near one")
	}
	// Homes move only where a home is gone.
	before := a.homes("s", "p")
	for i := range 12 {
		id := fmt.Sprintf("t%d", i)
		if !before[id] {
			a.Remove(id)
			require.Equal(t, before, a.homes("s", "p"))
			return
		}
	}
}

func TestFailingTargetIsLeftAloneForAWhile(t *testing.T) {
	r := registryOf(2)
	for range 3 {
		target(t, r, "t0").RecordSend(nil, 0)
		target(t, r, "t0").RecordOutcome(Failed, time.Second)
	}
	only := Query{Service: "s", Exclude: map[string]bool{"t1": true}}
	_, ok := r.Pick(only, time.Second)
	require.False(t, ok)
	c, ok := r.Pick(only, time.Second+breakerBase)
	require.True(t, ok)
	require.Equal(t, "t0", c.ID)
}

func TestTargetThatFailsInPartIsAvoidedAndTriedAgain(t *testing.T) {
	r := registryOf(2)
	for i := range 10 {
		outcome := Served
		if i%5 < 2 {
			outcome = Failed
		}
		target(t, r, "t0").RecordSend(nil, time.Second)
		target(t, r, "t0").RecordOutcome(outcome, time.Second)
	}
	require.Equal(t, "t1", pick(t, r, Query{}))
	c, ok := r.Pick(Query{Service: "s"}, time.Second+10*faultHalfLife)
	require.True(t, ok)
	require.Equal(t, "t0", c.ID)
}

func TestCacheForgetsTheLeastRecentlyUsed(t *testing.T) {
	c := newPrefixCache()
	for i := range cacheEntries + 10 {
		c.add([]request.Part{{ID: fmt.Sprint(i), Tokens: 1}}, time.Duration(i))
	}
	require.LessOrEqual(t, len(c.used), cacheEntries)
	require.Zero(t, c.covered([]request.Part{{ID: "0", Tokens: 1}}))
	require.EqualValues(t, 1, c.covered([]request.Part{{ID: fmt.Sprint(cacheEntries + 9), Tokens: 1}}))
}

// A target that is taken from the list and put back has forgotten the requests that
// are still at it; their ends must not make it look emptier than empty.
func TestEndsOfRequestsFromBeforeAReturnToTheListDoNotCount(t *testing.T) {
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

// A target that starts again under its id is a new one: nothing of before counts, and what
// an earlier start said is left out.
func TestTargetThatStartsAgainIsNew(t *testing.T) {
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
	require.True(t, ok, "the failures of before do not count")
	require.EqualValues(t, 500, c.UncachedTokens, "nor do the prompts that it had read")
	_, ok = r.TargetIncarnation("t1", 100)
	require.False(t, ok)

	require.False(t, r.SetTarget(first), "a late word of the earlier start")
	got, _ := r.Target("t1")
	require.Equal(t, "a:2", got.Address)
}

// A program's turn that an engine has broken off comes again through the same host, whose
// history hosts say that this engine has read its prompt.
func TestTurnsLeaveAnEngineThatBreaksThemOff(t *testing.T) {
	r := registryOf(6)
	q := prompt("shared", "a", "b", "c", "d")
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
	require.Equal(t, first.ID, next.ID, "tried again once the failure is long ago")
}
