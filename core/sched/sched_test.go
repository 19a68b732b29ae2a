package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/ident"
)

func declared(targets int) *decl.Set {
	set := &decl.Set{
		Services: map[string]*decl.Service{"s": {Name: "s", QueueLimit: 1000, RetryRatio: 0.5}},
		Targets:  map[string]*decl.Target{},
	}
	for i := range targets {
		name := fmt.Sprintf("t%d", i)
		set.Targets[name] = &decl.Target{Name: name, Service: "s", Batch: 2, CacheTokens: 10_000, Prefill: time.Millisecond}
	}
	return set
}

func newScheduler(t testing.TB, policy string, set *decl.Set) *Scheduler {
	p, err := NewPolicy(policy)
	require.NoError(t, err)
	s := New(p)
	s.Apply(set)
	return s
}

func item(n int) *Item {
	return &Item{Program: ident.Program(fmt.Sprintf("p%d", n)), Service: "s", Priority: decl.DefaultPriority, Prompt: 100, Arrived: time.Duration(n) * time.Millisecond}
}

func TestDefaultPrefersTargetWithCache(t *testing.T) {
	s := newScheduler(t, PolicyDefault, declared(3))
	it := item(1)
	it.History, it.Holder, it.HolderTokens = 1000, "t2", 1000
	s.Enqueue(it, false)
	_, target := s.Next(0)
	require.NotNil(t, target)
	assert.Equal(t, "t2", target.Decl.Name)
}

func TestDefaultQueuesCallsWhenAllTargetsAreFull(t *testing.T) {
	s := newScheduler(t, PolicyDefault, declared(2))
	maxCalls := 2 * 2 * (1 + DefaultParameters().MaxQueuedBatches) // at two targets with batches of two
	for i := range maxCalls + 1 {
		require.True(t, s.Enqueue(item(i), false))
	}
	for range maxCalls {
		it, _ := s.Next(0)
		require.NotNil(t, it)
	}
	it, _ := s.Next(0)
	assert.Nil(t, it, "both targets have their maximum load")
	s.Done(0, "t0", true, time.Second)
	it, _ = s.Next(0)
	assert.NotNil(t, it)
}

func TestProgramWithLeastAttainedServiceGoesFirst(t *testing.T) {
	s := newScheduler(t, PolicyDefault, declared(1))
	long, short := item(0), item(1)
	long.Attained = 5000
	s.Enqueue(long, false)
	s.Enqueue(short, false)
	it, _ := s.Next(0)
	assert.Equal(t, short, it)
}

func TestItemIsNotOvertakenBeyondMaxPenalty(t *testing.T) {
	s := newScheduler(t, PolicyDefault, declared(1))
	old := item(0)
	old.Attained = 1 << 40
	s.Enqueue(old, false)
	p := DefaultParameters()
	late := item(0)
	late.Begun = time.Duration(p.MaxAttained)*p.AttainedWeight + time.Millisecond
	s.Enqueue(late, false)
	it, _ := s.Next(0)
	assert.Equal(t, old, it, "a program that began later than the maximum penalty does not overtake")
}

func TestLeavingTargetsGetNoCalls(t *testing.T) {
	set := declared(2)
	set.Targets["t0"].Leaving = true
	s := newScheduler(t, PolicyRoundRobin, set)
	for i := range 4 {
		s.Enqueue(item(i), false)
		_, target := s.Next(0)
		assert.Equal(t, "t1", target.Decl.Name)
	}
	set.Targets["t1"].Leaving = true
	s.Apply(set)
	s.Enqueue(item(9), false)
	it, _ := s.Next(0)
	assert.Nil(t, it)
	assert.False(t, s.Usable(0, "s"))
}

func TestRetryAvoidsFailedTarget(t *testing.T) {
	s := newScheduler(t, PolicyDefault, declared(2))
	it := item(0)
	it.AvoidTarget, it.Holder, it.HolderTokens, it.History = "t0", "t0", 5000, 5000
	s.Enqueue(it, true)
	_, target := s.Next(0)
	assert.Equal(t, "t1", target.Decl.Name)
}

func TestQueueLimitRejectsAllButRetries(t *testing.T) {
	set := declared(1)
	set.Services["s"].QueueLimit = 1
	s := newScheduler(t, PolicyDefault, set)
	assert.True(t, s.Enqueue(item(0), false))
	assert.False(t, s.Enqueue(item(1), false))
	assert.True(t, s.Enqueue(item(2), true), "a retry is accepted in a full queue")
}

func TestApplyReturnsItemsOfUndeclaredService(t *testing.T) {
	s := newScheduler(t, PolicyDefault, declared(0))
	s.Enqueue(item(0), false)
	orphans := s.Apply(&decl.Set{})
	assert.Len(t, orphans, 1)
}

func TestBreakerOpensAndAllowsOneTrial(t *testing.T) {
	var b Breaker
	for range breakerThreshold {
		assert.False(t, b.IsOpen(0))
		b.RecordFailure(0)
	}
	assert.True(t, b.IsOpen(0))
	assert.False(t, b.IsOpen(breakerBase), "half open after the base time")
	b.RecordSend()
	assert.True(t, b.IsOpen(breakerBase), "one trial call at a time")
	b.RecordFailure(breakerBase)
	assert.True(t, b.IsOpen(2*breakerBase), "a failed trial doubles the open time")
	assert.False(t, b.IsOpen(3*breakerBase))
	b.RecordSuccess()
	assert.False(t, b.IsOpen(0))
}

func TestRetryBudgetLimitsRetriesToRatio(t *testing.T) {
	b := NewRetryBudget(0.5)
	for b.TakeToken() {
	}
	granted := 0
	for range 100 {
		b.RecordFirstAttempt()
		if b.TakeToken() {
			granted++
		}
	}
	assert.Equal(t, 50, granted)
}

func TestBackoffIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for attempt := 1; attempt < 40; attempt++ {
		d := Backoff(rng, attempt)
		assert.Positive(t, d)
		assert.LessOrEqual(t, d, retryMax)
	}
}

func TestPeerLoadCounts(t *testing.T) {
	s := newScheduler(t, PolicyDefault, declared(1))
	s.SetPeer("h2", map[string]PeerLoad{"t0": {InFlight: 2 * (1 + DefaultParameters().MaxQueuedBatches)}})
	s.Enqueue(item(0), false)
	it, _ := s.Next(0)
	assert.Nil(t, it)
	s.SetPeer("h2", nil)
	it, _ = s.Next(0)
	assert.NotNil(t, it)
}

func benchmarkNext(b *testing.B, targets int) {
	s := newScheduler(b, PolicyDefault, declared(targets))
	it := item(0)
	b.ReportAllocs()
	for b.Loop() {
		s.Enqueue(it, false)
		_, t := s.Next(0)
		s.Done(0, t.Decl.Name, true, time.Millisecond)
	}
}

func BenchmarkNext10(b *testing.B)   { benchmarkNext(b, 10) }
func BenchmarkNext100(b *testing.B)  { benchmarkNext(b, 100) }
func BenchmarkNext3100(b *testing.B) { benchmarkNext(b, 3100) }
