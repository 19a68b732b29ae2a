package player

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/hedge"
)

// unevenFleet returns the fleet of three speeds. Hosts get the load reports of all near
// targets each loadReportIntervalMs; 0: only those in answers.
func unevenFleet(t *testing.T, loadReportIntervalMs float64) *Fleet {
	t.Helper()
	fleet := readFleet(t, "uneven-speed")
	fleet.LoadReportIntervalMs = loadReportIntervalMs
	return fleet
}

// runTotals is the sum of the results of runs with different seeds; the percentiles are means.
type runTotals struct {
	programs, inTime, late, moves, secondSends, connections int
	engine, plain                                           Sends
	engineWindows                                           []Sends
	callsP95, callsP99                                      float64
}

// score is the share of programs in time, with late ones counted a tenth.
func (t runTotals) score() float64 {
	return (float64(t.inTime) + 0.1*float64(t.late)) / float64(t.programs)
}

// runUneven runs a pattern on a fleet with two seeds.
func runUneven(t *testing.T, fleet *Fleet, pattern *Pattern, policyName string) runTotals {
	t.Helper()
	const seeds = 2
	var results [seeds]*Result
	var runs sync.WaitGroup
	policy := findPolicy(t, policyName)
	for i := range results {
		runs.Go(func() { results[i] = Run(fleet, pattern, policy, uint64(i)+1) })
	}
	runs.Wait()
	totals := runTotals{engineWindows: make([]Sends, len(results[0].EngineWindows))}
	add := func(to *Sends, s Sends) {
		to.Near += s.Near
		to.Far += s.Far
	}
	for _, r := range results {
		totals.programs += r.Programs
		totals.inTime += r.InTime
		totals.late += r.Late
		totals.moves += r.Moves
		totals.secondSends += r.SecondSends
		totals.connections += r.Connections
		totals.callsP95 += float64(r.Calls.P95) / seeds
		totals.callsP99 += float64(r.Calls.P99) / seeds
		add(&totals.engine, r.EngineSends)
		add(&totals.plain, r.PlainSends)
		for i, s := range r.EngineWindows {
			add(&totals.engineWindows[i], s)
		}
	}
	return totals
}

// Engines of three speeds and many plain targets, of which 15 % are slow at any time and report
// it in their load reports. With the choice by predicted finish more programs are in time,
// calls are shorter, few requests go to another data centre, and connections stay below 1.1
// times those of the baseline, whether hosts get load reports with answers only or periodically
// from all targets.
func TestPredictedFinishOnUnevenTargets(t *testing.T) {
	for name, intervalMs := range map[string]float64{"reports in answers": 0, "periodic reports": 100} {
		t.Run(name, func(t *testing.T) {
			fleet := unevenFleet(t, intervalMs)
			for _, load := range []string{"calm", "burst"} {
				current, baseline := runUneven(t, fleet, readPattern(t, load), "default"), runUneven(t, fleet, readPattern(t, load), "no_finish")
				require.Greater(t, current.score(), baseline.score()+0.05, load)
				require.Greater(t, current.score(), 0.95, load)
				require.Less(t, current.callsP95, 0.95*baseline.callsP95, load)
				require.Less(t, current.plain.FarShare(), 0.01, load)
				require.Less(t, current.engine.FarShare(), 0.03, load)
				require.Less(t, float64(current.connections), 1.1*float64(baseline.connections), load)
			}
		})
	}
	baseline := runUneven(t, unevenFleet(t, 0), readPattern(t, "calm"), "no_finish")
	require.Greater(t, baseline.plain.FarShare(), 0.1, "the baseline must show the failure")
}

// The load of two data centres changes in opposite waves. Only a small share of turns goes to
// another data centre, and few programs move between data centres.
func TestOppositeWavesDoNotOscillate(t *testing.T) {
	for name, intervalMs := range map[string]float64{"reports in answers": 0, "periodic reports": 100} {
		t.Run(name, func(t *testing.T) {
			fleet, pattern := unevenFleet(t, intervalMs), readPattern(t, "opposite-waves")
			current, baseline := runUneven(t, fleet, pattern, "default"), runUneven(t, fleet, pattern, "no_finish")
			require.Greater(t, current.score(), baseline.score()+0.05)
			require.Less(t, current.engine.FarShare(), 0.05)
			require.Less(t, float64(current.moves), 0.04*float64(current.engine.Near+current.engine.Far))
		})
	}
}

// Most callers move to one data centre. Turns go to other data centres while its engines are
// full, and to near engines again after the callers have left.
func TestTurnsReturnToNearEngines(t *testing.T) {
	fleet, pattern := unevenFleet(t, 100), readPattern(t, "moving-callers")
	current, baseline := runUneven(t, fleet, pattern, "default"), runUneven(t, fleet, pattern, "no_finish")
	require.Greater(t, current.score(), baseline.score()+0.05)
	farShare := func(from, to int) float64 {
		var sum Sends
		for _, x := range current.engineWindows[from/2 : to/2] {
			sum.Near += x.Near
			sum.Far += x.Far
		}
		return sum.FarShare()
	}
	require.Greater(t, farShare(10, 16), 0.05, "most callers are in one data centre")
	require.Less(t, farShare(18, 24), farShare(10, 16)/4, "the callers have left")
	t.Logf("share of far sends: %.3f with most callers in one data centre, %.3f after they have left", farShare(10, 16), farShare(18, 24))
	require.Less(t, current.moves, baseline.moves)
}

// Calls have similar durations, and some plain targets stall without a load report in time.
// Idempotent calls are hedged at another target, and the added load stays within the hedge
// budget.
func TestHedgesShortenStalledCalls(t *testing.T) {
	fleet := unevenFleet(t, 0)
	lookup := *fleet.Tools[0]
	lookup.MaxWorkMs = lookup.MeanWorkMs
	fleet.Tools = []*Tool{&lookup}
	require.True(t, lookup.Idempotent)
	pattern := &Pattern{Name: "stalls", ArrivalSeconds: 20, Phases: []Phase{{Kind: PhaseSlowPlainTargets, Count: 8, From: 10, To: 14, Value: 12}}}
	current, baseline := runUneven(t, fleet, pattern, "default"), runUneven(t, fleet, pattern, "no_second")
	require.Zero(t, baseline.secondSends)
	require.Positive(t, current.secondSends)
	const seeds = 2
	maxHedges := hedge.BudgetRatio*float64(current.plain.Near+current.plain.Far) + hedge.Burst*float64(seeds*fleet.Hosts)
	require.LessOrEqual(t, float64(current.secondSends), maxHedges)
	t.Logf("with and without hedges: calls %.0f and %.0f ms (99th percentile), in time %d and %d programs; %d hedges", current.callsP99, baseline.callsP99, current.inTime, baseline.inTime, current.secondSends)
	require.Less(t, current.callsP99, baseline.callsP99)
}

// Noise is a two-state process. The share of slow targets has to match NoiseShare.
func TestNoiseShareMatchesSetting(t *testing.T) {
	fleet := unevenFleet(t, 0)
	sim := newSimulation(fleet, &Pattern{Name: "none", ArrivalSeconds: 2}, findPolicy(t, "default"), 1)
	slow, observed := 0, 0
	const rounds = 400
	var sample func()
	sample = func() {
		for _, id := range sim.targetIDs {
			observed++
			if sim.loadReportOf(id).Slowdown > 1 {
				slow++
			}
		}
		sim.After(seconds(0.1), sample)
	}
	sample()
	for observed < rounds*len(sim.targetIDs) && sim.RunNext() {
		continue
	}
	require.InDelta(t, fleet.NoiseShare, float64(slow)/float64(observed), 0.02)
}
