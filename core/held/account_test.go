package held

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const memoryLimit = 112 << 20

func TestMaxRequestsFollowsFromLimits(t *testing.T) {
	require.Equal(t, 571, New(134<<20, 4100).MaxRequests())
	require.Equal(t, 100, New(1<<30, 300).MaxRequests(), "descriptors bind")
	require.Equal(t, minRequests, New(1<<20, 0).MaxRequests())
	a := New(0, 60)
	var last *RequestAccount
	for range 20 {
		r, ok := a.Admit()
		require.True(t, ok)
		last = r
	}
	_, ok := a.Admit()
	require.False(t, ok)
	last.Close()
	_, ok = a.Admit()
	require.True(t, ok)
	require.Equal(t, 20, a.ActiveRequests())
}

// Requests of ordinary size must be limited only by their number.
func TestOrdinaryRequestsAreBoundedByCount(t *testing.T) {
	a := New(memoryLimit, 0)
	admitted := 0
	for {
		r, ok := a.Admit()
		if !ok {
			break
		}
		require.True(t, r.Reserve(Body, 12<<10))
		require.True(t, r.Reserve(Prompt, 24<<10))
		require.True(t, r.Reserve(Answer, 4<<10))
		admitted++
	}
	require.Equal(t, a.MaxRequests(), admitted)
}

// If long request bodies fill the request bound, answers must still be allowed beyond it.
func TestAnswersMayExceedRequestBound(t *testing.T) {
	a := New(memoryLimit, 0)
	r, ok := a.Admit()
	require.True(t, ok)
	for r.Reserve(Body, 1<<20) {
	}
	for r.Reserve(Prompt, 1<<10) {
	}
	_, ok = a.Admit()
	require.False(t, ok)
	require.False(t, r.Reserve(Body, 1<<10))
	require.True(t, r.Reserve(Answer, 1<<20))
	require.Greater(t, a.ChargedBytes(), a.requestBoundBytes)
	r.Release(Body, 2<<20)
	require.True(t, r.Reserve(Body, 1<<10), "below the request bound again")
}

func TestEvictionsStartWithMostBytesStalledLongest(t *testing.T) {
	a := New(memoryLimit, 0)
	admit := func(bytes int64, since time.Duration) *RequestAccount {
		r, ok := a.Admit()
		require.True(t, ok)
		require.True(t, r.Reserve(Events, bytes))
		r.StartCallerWait(since)
		return r
	}
	now := 10 * time.Second
	small := admit(100<<10, now-3*time.Second)
	large := admit(1<<20, now-2*time.Second)
	admit(8<<20, now)
	reading := admit(2<<20, 0)
	reading.StopCallerWait()
	freeBytes := a.requestBoundBytes - a.ChargedBytes()

	require.Empty(t, a.SelectEvictions(now, Body, freeBytes), "the bytes fit without an eviction")
	require.Equal(t, []Eviction{{large, 2 * time.Second}}, a.SelectEvictions(now, Body, freeBytes+1<<20))
	require.Empty(t, a.SelectEvictions(now, Body, freeBytes+1<<20), "the earlier eviction frees enough")
	require.Equal(t, []Eviction{{small, 3 * time.Second}}, a.SelectEvictions(now, Body, freeBytes+2<<20))
	require.Empty(t, a.SelectEvictions(now, Body, freeBytes+8<<20), "the others are not slow")
	large.Close()
	require.Empty(t, a.SelectEvictions(now, Body, a.requestBoundBytes-a.ChargedBytes()), "the bytes fit after Close")
}

// At the maximum number of requests one slow caller must be evicted for a new request.
func TestSlowCallerIsEvictedAtMaxRequests(t *testing.T) {
	a := New(memoryLimit, 3*minRequests)
	for range minRequests {
		r, ok := a.Admit()
		require.True(t, ok)
		r.StartCallerWait(0)
	}
	_, ok := a.Admit()
	require.False(t, ok)
	require.Len(t, a.SelectEvictions(time.Second, Body, MinRequestBytes), 1)
	require.Empty(t, a.SelectEvictions(time.Second, Body, MinRequestBytes), "one eviction is enough")
}

// A caller that makes progress within the stall timeout must never be evicted.
func TestCallerMakingProgressIsNotEvicted(t *testing.T) {
	a := New(memoryLimit, 0)
	r, _ := a.Admit()
	for now := time.Duration(0); now < time.Minute; now += stallTimeout / 2 {
		r.StartCallerWait(now)
		require.Empty(t, a.SelectEvictions(now+stallTimeout-1, Body, memoryLimit))
	}
}

func TestClosedRequestChargesNothing(t *testing.T) {
	a := New(memoryLimit, 0)
	r, _ := a.Admit()
	require.True(t, r.Reserve(Body, 1<<20))
	r.StartCallerWait(0)
	r.Close()
	r.Close()
	require.False(t, r.Reserve(Body, 1))
	r.Release(Body, 1)
	require.Zero(t, a.ChargedBytes())
	require.Empty(t, a.SelectEvictions(time.Hour, Body, memoryLimit))
}

// Under random steps no figure may fall below zero or exceed its bound, and all must be zero once
// all requests are closed.
func TestAccountInvariantsHoldUnderRandomSteps(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		a := New(4<<20, 0)
		var requests []*RequestAccount
		now := time.Duration(0)
		for range 1000 {
			now += time.Duration(rng.IntN(50)) * time.Millisecond
			requests = randomStep(a, requests, rng, now)
			requireConsistent(t, a, requests)
		}
		for _, r := range requests {
			r.Close()
		}
		requireConsistent(t, a, nil)
		require.Zero(t, a.ChargedBytes())
	}
}

// randomStep admits or changes one request and returns the open ones.
func randomStep(a *Account, requests []*RequestAccount, rng *rand.Rand, now time.Duration) []*RequestAccount {
	if len(requests) == 0 || rng.IntN(4) == 0 {
		if r, ok := a.Admit(); ok {
			requests = append(requests, r)
		}
		return requests
	}
	i := rng.IntN(len(requests))
	r, k := requests[i], Kind(rng.IntN(int(kindCount)))
	switch rng.IntN(6) {
	case 0, 1:
		r.Reserve(k, rng.Int64N(200<<10))
	case 2:
		r.Release(k, rng.Int64N(200<<10))
	case 3:
		r.StartCallerWait(now)
	case 4:
		a.SelectEvictions(now, k, rng.Int64N(200<<10))
	case 5:
		r.Close()
		return slices.Delete(requests, i, i+1)
	}
	return requests
}

// requireConsistent compares the account with the sums over its requests.
func requireConsistent(t *testing.T, a *Account, requests []*RequestAccount) {
	var charged int64
	var heldByKind [kindCount]int64
	for _, r := range requests {
		var heldBytes int64
		for k, n := range r.heldByKind {
			require.GreaterOrEqual(t, n, int64(0))
			heldByKind[k] += n
			heldBytes += n
		}
		require.Equal(t, heldBytes, r.HeldBytes())
		charged += chargeFor(heldBytes)
	}
	require.Equal(t, heldByKind, a.heldByKind)
	require.Equal(t, charged, a.ChargedBytes())
	require.LessOrEqual(t, charged, a.answerBoundBytes)
	var answerBytes int64
	for _, k := range Kinds() {
		if k.isOfAnswer() {
			answerBytes += heldByKind[k]
		}
	}
	require.LessOrEqual(t, charged-answerBytes, a.requestBoundBytes, "only answers may exceed the request bound")
	require.Equal(t, len(requests), a.ActiveRequests())
}
