package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/request"
)

// simulateSlowdowns simulates targets that change randomly between slow and usual and returns,
// for each target, its slowdown at every step.
func simulateSlowdowns(rng *rand.Rand, targets, steps int, step time.Duration) [][]float64 {
	const slowFactor = 2.5
	all := make([][]float64, targets)
	for i := range all {
		slow := rng.Float64() < slowShare
		for range steps {
			leave := step.Seconds() / slowPhaseDuration.Seconds()
			if !slow {
				leave *= slowShare / (1 - slowShare)
			}
			if rng.Float64() < leave {
				slow = !slow
			}
			v := 1.0
			if slow {
				v = slowFactor
			}
			all[i] = append(all[i], v)
		}
	}
	return all
}

// A report that decays to the mean of the service predicts better than one taken as it is, and
// better than no report, as long as it is recent; after worthlessAfter half-lives it predicts as
// well as no report.
func TestDecayedSlowdownPredictsBetterThanRawReports(t *testing.T) {
	const (
		step           = 10 * time.Millisecond
		worthlessAfter = 5 // half-lives
	)
	all := simulateSlowdowns(rand.New(rand.NewPCG(1, 2)), 400, 2000, step)
	mean, n := 0.0, 0.0
	for _, target := range all {
		for _, v := range target {
			mean += v
			n++
		}
	}
	mean /= n
	rmsError := func(age time.Duration, weight float64) float64 {
		sum, n := 0.0, 0.0
		steps := int(age / step)
		for _, target := range all {
			for i := range len(target) - steps {
				err := mean + weight*(target[i]-mean) - target[i+steps]
				sum += err * err
				n++
			}
		}
		return math.Sqrt(sum / n)
	}
	half := slowdownHalfLife()
	for _, age := range []time.Duration{half / 4, half / 2, half, 2 * half} {
		decayed := rmsError(age, decay(age, half))
		require.Less(t, decayed, rmsError(age, 0)*0.995, "better than no report at %v", age)
		require.Less(t, decayed, rmsError(age, 1), "better than the report as it is at %v", age)
	}
	old := worthlessAfter * half
	require.InDelta(t, rmsError(old, 0), rmsError(old, decay(old, half)), 0.005, "an old report is as good as none")
	require.Less(t, decay(old, half), 0.05)
	require.Greater(t, rmsError(old, 1), 1.3*rmsError(old, 0), "an old report taken as it is misleads")
}

func TestSlowdownDecaysToServiceMean(t *testing.T) {
	r := newTestRegistry(4)
	now := time.Second
	require.InDelta(t, 1, target(t, r, "t0").slowdown(now), 0, "no target reports a slowdown")
	require.False(t, r.ReportsSlowdown("s", now))
	now += slowdownRefreshInterval
	for i, x := range []float64{4, 1, 1} {
		target(t, r, []string{"t0", "t1", "t2"}[i]).RecordLoadReport(request.Load{Capacity: 10, Slowdown: x}, now)
	}
	require.True(t, r.ReportsSlowdown("s", now))
	mean := (4 + 1 + 1 + slowdownPriorWeight) / (3 + slowdownPriorWeight)
	require.InDelta(t, 4, target(t, r, "t0").slowdown(now), 0)
	require.InDelta(t, mean, target(t, r, "t3").slowdown(now), 0.01, "target without a report")
	later := now + slowdownHalfLife()
	require.InDelta(t, (4+mean)/2, target(t, r, "t0").slowdown(later), 0.1)
	require.InDelta(t, (1+mean)/2, target(t, r, "t1").slowdown(later), 0.1)
}

// An extreme slowdown counts, but is bounded; a report without slowdown replaces an earlier one
// that had it.
func TestExtremeAndMissingSlowdownReports(t *testing.T) {
	r := newTestRegistry(1)
	x := target(t, r, "t0")
	x.RecordLoadReport(request.Load{Capacity: 10, Slowdown: 1e9}, time.Second)
	require.InDelta(t, maxSlowdown, x.slowdown(time.Second), 0)
	x.RecordLoadReport(request.Load{Capacity: 10}, 2*time.Second)
	require.InDelta(t, 1, x.slowdown(2*time.Second), 0)
	require.False(t, r.ReportsSlowdown("s", 2*time.Second))
	require.False(t, r.ReportsSlowdown("none", 0))
	w := DefaultWeights()
	w.PredictedFinish = false
	disabled := NewRegistry("dc0", w)
	disabled.SetTarget(TargetInfo{ID: "t", Service: "s", Capacity: 1})
	target(t, disabled, "t").RecordLoadReport(request.Load{Capacity: 1, Slowdown: 2}, 0)
	require.False(t, disabled.ReportsSlowdown("s", 0))
}
