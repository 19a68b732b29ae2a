package balance

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/request"
)

// observe tells the registry of n answers of each target, one after the other.
func observe(r *Registry, n int, now time.Duration, took map[string]time.Duration) {
	for range n {
		for _, id := range slices.Sorted(maps.Keys(took)) {
			r.RecordDuration(id, "work", took[id], now)
		}
	}
}

// Two of four targets turn seven times slower while all places of the fast ones are
// nearly taken: the slow ones are left out although they are emptier.
func TestSlowTargetsGetLess(t *testing.T) {
	r := registryOf(4)
	now := time.Second
	fast, slow := 30*time.Millisecond, 210*time.Millisecond
	observe(r, 20, now, map[string]time.Duration{"t0": fast, "t1": fast, "t2": fast, "t3": fast})
	observe(r, 20, now, map[string]time.Duration{"t0": slow, "t1": slow, "t2": fast, "t3": fast})
	target(t, r, "t2").RecordLoadReport(request.Load{Running: 8, Places: 10}, now)
	target(t, r, "t3").RecordLoadReport(request.Load{Running: 9, Places: 10}, now)
	require.Equal(t, "t2", pick(t, r, Query{}))
	// They are used again once the fast ones have a queue.
	target(t, r, "t2").RecordLoadReport(request.Load{Running: 10, Waiting: 30, Places: 10}, now)
	target(t, r, "t3").RecordLoadReport(request.Load{Running: 10, Waiting: 30, Places: 10}, now)
	require.Contains(t, []string{"t0", "t1"}, pick(t, r, Query{}))
}

func TestSlowTargetIsTriedAgain(t *testing.T) {
	r := registryOf(2)
	observe(r, 20, time.Second, map[string]time.Duration{"t0": 210 * time.Millisecond, "t1": 30 * time.Millisecond})
	for range 4 {
		target(t, r, "t1").RecordSend(nil, time.Second)
	}
	require.Equal(t, "t1", pick(t, r, Query{}))
	c, ok := r.Pick(Query{Service: "s"}, time.Second+5*paceHalfLife)
	require.True(t, ok)
	require.Equal(t, "t0", c.ID)
}

// Targets of one service differ by some tenths; that does not move requests.
func TestUsualDifferencesOfPaceDoNotCount(t *testing.T) {
	r := registryOf(2)
	observe(r, 40, time.Second, map[string]time.Duration{"t0": 40 * time.Millisecond, "t1": 30 * time.Millisecond})
	require.Equal(t, "t0", pick(t, r, Query{}), "the near one")
}

func TestPaceComparesOnlyTheSameKindOfWork(t *testing.T) {
	r := registryOf(2)
	for range 40 {
		r.RecordDuration("t0", "long", 200*time.Millisecond, time.Second)
		r.RecordDuration("t1", "short", 10*time.Millisecond, time.Second)
	}
	require.Equal(t, "t0", pick(t, r, Query{}), "the near one")
	r.RecordDuration("gone", "long", time.Second, time.Second)
}
