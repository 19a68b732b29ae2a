package balance

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/request"
)

// recordDurations records n answers of each target, in turn.
func recordDurations(r *Registry, n int, now time.Duration, durations map[string]time.Duration) {
	for range n {
		for _, id := range slices.Sorted(maps.Keys(durations)) {
			r.RecordDuration(id, "work", durations[id], now)
		}
	}
}

// Two of four targets become seven times slower while the fast ones are nearly full: the slow
// ones are avoided although they have fewer requests.
func TestSlowPlainTargetsAreAvoidedUntilOthersQueue(t *testing.T) {
	r := newTestRegistry(4)
	now := time.Second
	fast, slow := 30*time.Millisecond, 210*time.Millisecond
	recordDurations(r, 20, now, map[string]time.Duration{"t0": fast, "t1": fast, "t2": fast, "t3": fast})
	recordDurations(r, 20, now, map[string]time.Duration{"t0": slow, "t1": slow, "t2": fast, "t3": fast})
	target(t, r, "t2").RecordLoadReport(request.Load{Running: 8, Capacity: 10}, now)
	target(t, r, "t3").RecordLoadReport(request.Load{Running: 9, Capacity: 10}, now)
	require.Equal(t, "t2", pick(t, r, Query{}))
	// They are used again once the fast ones have a queue.
	target(t, r, "t2").RecordLoadReport(request.Load{Running: 10, Waiting: 30, Capacity: 10}, now)
	target(t, r, "t3").RecordLoadReport(request.Load{Running: 10, Waiting: 30, Capacity: 10}, now)
	require.Contains(t, []string{"t0", "t1"}, pick(t, r, Query{}))
}

func TestSlowPlainTargetIsRetriedAfterDecay(t *testing.T) {
	r := newTestRegistry(2)
	recordDurations(r, 20, time.Second, map[string]time.Duration{"t0": 210 * time.Millisecond, "t1": 30 * time.Millisecond})
	for range 4 {
		target(t, r, "t1").RecordSend(nil, time.Second)
	}
	require.Equal(t, "t1", pick(t, r, Query{}))
	c, ok := r.Pick(Query{Service: "s"}, time.Second+5*latencyHalfLife)
	require.True(t, ok)
	require.Equal(t, "t0", c.ID)
}

// Targets of one service differ by some tenths; that must not move requests.
func TestSmallLatencyDifferencesAreTolerated(t *testing.T) {
	r := newTestRegistry(2)
	recordDurations(r, 40, time.Second, map[string]time.Duration{"t0": 40 * time.Millisecond, "t1": 30 * time.Millisecond})
	require.Equal(t, "t0", pick(t, r, Query{}), "near target")
}

func TestLatencyIsComparedPerKindOfWork(t *testing.T) {
	r := newTestRegistry(2)
	for range 40 {
		r.RecordDuration("t0", "long", 200*time.Millisecond, time.Second)
		r.RecordDuration("t1", "short", 10*time.Millisecond, time.Second)
	}
	require.Equal(t, "t0", pick(t, r, Query{}), "near target")
	r.RecordDuration("unknown", "long", time.Second, time.Second)
}
