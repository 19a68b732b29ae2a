package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/request"
)

// twoStates plays targets that turn slow and usual by chance and returns, for each target,
// its slowdown at every step.
func twoStates(rng *rand.Rand, targets, steps int, step time.Duration) [][]float64 {
	const x = 2.5
	all := make([][]float64, targets)
	for i := range all {
		slow := rng.Float64() < slowShare
		for range steps {
			leave := step.Seconds() / slowPhase.Seconds()
			if !slow {
				leave *= slowShare / (1 - slowShare)
			}
			if rng.Float64() < leave {
				slow = !slow
			}
			v := 1.0
			if slow {
				v = x
			}
			all[i] = append(all[i], v)
		}
	}
	return all
}

// A word that fades to the mean says more than one that is believed, and more than none,
// as long as it is worth anything; from wordless on it is worth nothing, and counts as much.
func TestFadingFollowsWhatAWordIsWorth(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		wordless = 5 // half-lives
	)
	all := twoStates(rand.New(rand.NewPCG(1, 2)), 400, 2000, step)
	mean, n := 0.0, 0.0
	for _, target := range all {
		for _, v := range target {
			mean += v
			n++
		}
	}
	mean /= n
	errors := func(age time.Duration, kept float64) float64 {
		sum, n := 0.0, 0.0
		at := int(age / step)
		for _, target := range all {
			for i := range len(target) - at {
				d := mean + kept*(target[i]-mean) - target[i+at]
				sum += d * d
				n++
			}
		}
		return math.Sqrt(sum / n)
	}
	half := slowdownHalfLife()
	for _, age := range []time.Duration{half / 4, half / 2, half, 2 * half} {
		faded := errors(age, fading(age, half))
		require.Less(t, faded, errors(age, 0)*0.995, "worth more than no word at %v", age)
		require.Less(t, faded, errors(age, 1), "worth more than a word that is believed at %v", age)
	}
	old := wordless * half
	require.InDelta(t, errors(old, 0), errors(old, fading(old, half)), 0.005, "worth nothing when old")
	require.Less(t, fading(old, half), 0.05)
	require.Greater(t, errors(old, 1), 1.3*errors(old, 0), "believed, it misleads")
}

func TestSlowdownFadesToTheMeanOfItsService(t *testing.T) {
	r := registryOf(4)
	now := time.Second
	require.InDelta(t, 1, target(t, r, "t0").slowdown(now), 0, "nobody tells")
	require.False(t, r.ReportsSlowdown("s", now))
	now += slowdownsEvery
	for i, x := range []float64{4, 1, 1} {
		target(t, r, []string{"t0", "t1", "t2"}[i]).RecordLoadReport(request.Load{Capacity: 10, Slowdown: x}, now)
	}
	require.True(t, r.ReportsSlowdown("s", now))
	mean := (4 + 1 + 1 + meanPrior) / (3 + meanPrior)
	require.InDelta(t, 4, target(t, r, "t0").slowdown(now), 0)
	require.InDelta(t, mean, target(t, r, "t3").slowdown(now), 0.01, "it has said nothing")
	later := now + slowdownHalfLife()
	require.InDelta(t, (4+mean)/2, target(t, r, "t0").slowdown(later), 0.1)
	require.InDelta(t, (1+mean)/2, target(t, r, "t1").slowdown(later), 0.1)
}

// A word out of all measure counts, but not without bound; a word without the figure, after
// one that had it, leaves nothing behind.
func TestOddWordsOfSlowdown(t *testing.T) {
	r := registryOf(1)
	x := target(t, r, "t0")
	x.RecordLoadReport(request.Load{Capacity: 10, Slowdown: 1e9}, time.Second)
	require.InDelta(t, slowdownMost, x.slowdown(time.Second), 0)
	x.RecordLoadReport(request.Load{Capacity: 10}, 2*time.Second)
	require.InDelta(t, 1, x.slowdown(2*time.Second), 0)
	require.False(t, r.ReportsSlowdown("s", 2*time.Second))
	require.False(t, r.ReportsSlowdown("none", 0))
	w := DefaultWeights()
	w.PredictedFinish = false
	off := NewRegistry("dc0", w)
	off.SetTarget(TargetInfo{ID: "t", Service: "s", Capacity: 1})
	target(t, off, "t").RecordLoadReport(request.Load{Capacity: 1, Slowdown: 2}, 0)
	require.False(t, off.ReportsSlowdown("s", 0))
}
