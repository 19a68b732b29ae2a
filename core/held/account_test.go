package held

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const memory = 112 << 20

func TestCountFollowsFromTheLimits(t *testing.T) {
	require.Equal(t, 571, New(134<<20, 4100).MaxRequests())
	require.Equal(t, 100, New(1<<30, 300).MaxRequests(), "descriptors bind")
	require.Equal(t, leastRequests, New(1<<20, 0).MaxRequests())
	a := New(0, 60)
	var last *RequestAccount
	for range 20 {
		h, ok := a.Admit()
		require.True(t, ok)
		last = h
	}
	_, ok := a.Admit()
	require.False(t, ok)
	last.Close()
	_, ok = a.Admit()
	require.True(t, ok)
	require.Equal(t, 20, a.ActiveRequests())
}

// Ordinary requests are bounded by their number alone.
func TestOrdinaryLoadIsBoundedByItsNumber(t *testing.T) {
	a := New(memory, 0)
	entered := 0
	for {
		h, ok := a.Admit()
		if !ok {
			break
		}
		require.True(t, h.Reserve(Body, 12<<10))
		require.True(t, h.Reserve(Prompt, 24<<10))
		require.True(t, h.Reserve(Answer, 4<<10))
		entered++
	}
	require.Equal(t, a.MaxRequests(), entered)
}

// Long bodies of a few callers fill the bound; answers still have room beyond it.
func TestAnswersHaveRoomWhereRequestsHaveNone(t *testing.T) {
	a := New(memory, 0)
	h, ok := a.Admit()
	require.True(t, ok)
	for h.Reserve(Body, 1<<20) {
	}
	for h.Reserve(Prompt, 1<<10) {
	}
	_, ok = a.Admit()
	require.False(t, ok)
	require.False(t, h.Reserve(Body, 1<<10))
	require.True(t, h.Reserve(Answer, 1<<20))
	require.Greater(t, a.ChargedBytes(), a.lower)
	h.Release(Body, 2<<20)
	require.True(t, h.Reserve(Body, 1<<10), "room again")
}

func TestSlowestHasTheMostForTheLongest(t *testing.T) {
	a := New(memory, 0)
	enter := func(bytes int64, since time.Duration) *RequestAccount {
		h, ok := a.Admit()
		require.True(t, ok)
		require.True(t, h.Reserve(Events, bytes))
		h.StartCallerWait(since)
		return h
	}
	now := 10 * time.Second
	small := enter(100<<10, now-3*time.Second)
	large := enter(1<<20, now-2*time.Second)
	enter(8<<20, now)
	reading := enter(2<<20, 0)
	reading.StopCallerWait()
	room := a.lower - a.ChargedBytes()

	require.Empty(t, a.SelectEvictions(now, Body, room), "there is room")
	require.Equal(t, []Eviction{{large, 2 * time.Second}}, a.SelectEvictions(now, Body, room+1<<20))
	require.Empty(t, a.SelectEvictions(now, Body, room+1<<20), "what it frees is enough")
	require.Equal(t, []Eviction{{small, 3 * time.Second}}, a.SelectEvictions(now, Body, room+2<<20))
	require.Empty(t, a.SelectEvictions(now, Body, room+8<<20), "the others are not slow")
	large.Close()
	require.Empty(t, a.SelectEvictions(now, Body, a.lower-a.ChargedBytes()), "there is room")
}

// A host that has as many requests as it may sets one slow caller free of its place.
func TestSlowCallerGivesUpItsPlace(t *testing.T) {
	a := New(memory, 3*leastRequests)
	for range leastRequests {
		h, ok := a.Admit()
		require.True(t, ok)
		h.StartCallerWait(0)
	}
	_, ok := a.Admit()
	require.False(t, ok)
	require.Len(t, a.SelectEvictions(time.Second, Body, MinRequestBytes), 1)
	require.Empty(t, a.SelectEvictions(time.Second, Body, MinRequestBytes), "one is enough")
}

// A caller for which something moves in time is never named.
func TestSteadyCallerIsNotSlow(t *testing.T) {
	a := New(memory, 0)
	h, _ := a.Admit()
	for now := time.Duration(0); now < time.Minute; now += stalledAfter / 2 {
		h.StartCallerWait(now)
		require.Empty(t, a.SelectEvictions(now+stalledAfter-1, Body, memory))
	}
}

func TestWhatHasLeftChargesNothing(t *testing.T) {
	a := New(memory, 0)
	h, _ := a.Admit()
	require.True(t, h.Reserve(Body, 1<<20))
	h.StartCallerWait(0)
	h.Close()
	h.Close()
	require.False(t, h.Reserve(Body, 1))
	h.Release(Body, 1)
	require.Zero(t, a.ChargedBytes())
	require.Empty(t, a.SelectEvictions(time.Hour, Body, memory))
}

// Whatever requests do, no figure falls below zero or beyond its bound, and all are zero at
// the end.
func TestAccountIsExact(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 7))
		a := New(4<<20, 0)
		var in []*RequestAccount
		now := time.Duration(0)
		for range 1000 {
			now += time.Duration(random.IntN(50)) * time.Millisecond
			in = step(a, in, random, now)
			check(t, a, in)
		}
		for _, h := range in {
			h.Close()
		}
		check(t, a, nil)
		require.Zero(t, a.ChargedBytes())
	}
}

// step does one thing to a request and returns those that are held.
func step(a *Account, in []*RequestAccount, random *rand.Rand, now time.Duration) []*RequestAccount {
	if len(in) == 0 || random.IntN(4) == 0 {
		if h, ok := a.Admit(); ok {
			in = append(in, h)
		}
		return in
	}
	i := random.IntN(len(in))
	h, k := in[i], Kind(random.IntN(int(kinds)))
	switch random.IntN(6) {
	case 0, 1:
		h.Reserve(k, random.Int64N(200<<10))
	case 2:
		h.Release(k, random.Int64N(200<<10))
	case 3:
		h.StartCallerWait(now)
	case 4:
		a.SelectEvictions(now, k, random.Int64N(200<<10))
	case 5:
		h.Close()
		return slices.Delete(in, i, i+1)
	}
	return in
}

// check compares the account with the sum of what its requests hold.
func check(t *testing.T, a *Account, in []*RequestAccount) {
	var sum int64
	var by [kinds]int64
	for _, h := range in {
		var bytes int64
		for k, n := range h.by {
			require.GreaterOrEqual(t, n, int64(0))
			by[k] += n
			bytes += n
		}
		require.Equal(t, bytes, h.HeldBytes())
		sum += charge(bytes)
	}
	require.Equal(t, by, a.by)
	require.Equal(t, sum, a.ChargedBytes())
	require.LessOrEqual(t, sum, a.upper)
	var answers int64
	for _, k := range Kinds() {
		if k.sent() {
			answers += by[k]
		}
	}
	require.LessOrEqual(t, sum-answers, a.lower, "only answers pass the lower bound")
	require.Equal(t, len(in), a.ActiveRequests())
}
