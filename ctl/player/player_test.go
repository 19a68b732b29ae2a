package player

import (
	"fmt"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const traceDir = "../../traces/load"

func smallFleet(t *testing.T) *Fleet { return readFleet(t, "small") }

func readFleet(t *testing.T, name string) *Fleet {
	t.Helper()
	fleet, err := ReadFleet(filepath.Join(traceDir, name+".ini"))
	require.NoError(t, err)
	return fleet
}

func readPattern(t *testing.T, name string) *Pattern {
	t.Helper()
	pattern, err := ReadPattern(filepath.Join(traceDir, name+".pattern.ini"))
	require.NoError(t, err)
	return pattern
}

func findPolicy(t *testing.T, name string) Policy {
	t.Helper()
	p, err := FindPolicy(name)
	require.NoError(t, err)
	return p
}

// meanResult is the mean of the results of runs with different seeds.
type meanResult struct{ score, worstScore, recoverySeconds, failed float64 }

// runMean runs a pattern on the small fleet, with the load factor of bursts multiplied by
// burstFactor.
func runMean(t *testing.T, patternName, policyName string, burstFactor float64) meanResult {
	t.Helper()
	return runMeanOn(t, smallFleet(t), patternName, policyName, burstFactor)
}

// runMeanOn does the same on any fleet.
func runMeanOn(t *testing.T, fleet *Fleet, patternName, policyName string, burstFactor float64) meanResult {
	t.Helper()
	const seeds = 4
	pattern := readPattern(t, patternName)
	pattern.ScaleBursts(burstFactor)
	policy := findPolicy(t, policyName)
	var results [seeds]*Result
	var runs sync.WaitGroup
	for i := range results {
		runs.Go(func() { results[i] = Run(fleet, pattern, policy, uint64(i)+1) })
	}
	runs.Wait()
	var mean meanResult
	for _, r := range results {
		mean.score += r.Score() / seeds
		mean.worstScore += r.WorstScore() / seeds
		mean.failed += float64(r.Failed) / seeds
		mean.recoverySeconds += r.RecoveryTime().Seconds() / seeds
	}
	return mean
}

// A run is determined by its seed, also where a partition fails many requests at the same
// instant.
func TestSameSeedGivesSameResult(t *testing.T) {
	for name, fleet := range map[string]*Fleet{"burst": smallFleet(t), "cut": RandomFleet(3)} {
		pattern := readPattern(t, name)
		a, b := Run(fleet, pattern, findPolicy(t, "default"), 3), Run(fleet, pattern, findPolicy(t, "default"), 3)
		require.Equal(t, a.Windows, b.Windows, name)
		require.Equal(t, a.Read, b.Read, name)
		require.NotEqual(t, a.Windows, Run(fleet, pattern, findPolicy(t, "default"), 4).Windows, name)
	}
}

func TestAllPatternsAreServed(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(traceDir, "*.pattern.ini"))
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 10)
	for _, file := range files {
		pattern, err := ReadPattern(file)
		require.NoError(t, err)
		t.Run(pattern.Name, func(t *testing.T) {
			r := Run(smallFleet(t), pattern, findPolicy(t, "default"), 1)
			require.Greater(t, r.Score(), 0.6)
			require.Equal(t, r.Programs, r.InTime+r.Late+r.Failed, "every program ends")
		})
	}
}

// The cost of a queue is proportional to its length. When a full engine cost two units more
// than one that was nearly full, a burst that filled the engines moved turns away from their
// cached prompts, and the repeated prefill filled the engines further.
func TestBurstDoesNotMoveTurnsFromCachedPrompts(t *testing.T) {
	current, baseline := runMean(t, "burst", "default", 1), runMean(t, "burst", "former", 1)
	require.Greater(t, current.score, 0.98)
	require.Greater(t, current.worstScore, 0.95)
	require.Less(t, baseline.worstScore, 0.8, "the baseline must show the failure")
}

// 3.6 times the usual load exceeds the capacity of the engines. Hosts reject the first turns
// of new programs, so that running programs complete.
func TestOverloadDoesNotCollapse(t *testing.T) {
	current, baseline := runMean(t, "flood", "default", 1.2), runMean(t, "flood", "send_at_once", 1.2)
	require.Greater(t, current.score, baseline.score+0.1)
	require.Greater(t, current.worstScore, 0.3)
	require.Less(t, current.recoverySeconds, baseline.recoverySeconds)
}

// Two of four plain targets become slow and have to get fewer calls: the worst score is higher
// than without weighing latency and slow events.
func TestLatencyWeightHelpsWithSlowPlainTargets(t *testing.T) {
	current, baseline := runMean(t, "slow", "default", 1), runMean(t, "slow", "no_pace", 1)
	require.Greater(t, current.worstScore, baseline.worstScore)
}

// Two of nine engines become four times slower during a burst and have to get fewer turns: the
// score is higher and fewer programs fail than without weighing latency and slow events.
func TestLatencyWeightHelpsWithSlowEngines(t *testing.T) {
	current, baseline := runMean(t, "slow-engines", "default", 1), runMean(t, "slow-engines", "no_pace", 1)
	require.Greater(t, current.score, baseline.score)
	require.Less(t, current.failed, baseline.failed)
}

// A burst with slow engines, and one with a partition, on engines of high capacity: prefill is
// the bottleneck, long before all slots are in use. When the cost of an engine with stalled
// events was multiplied, turns moved away from their cached prompts, and the worst score was
// 0.69, against 0.77 without any account of slow engines.
func TestBurstWithSlowEnginesOfHighCapacity(t *testing.T) {
	fleet := readFleet(t, "many")
	current, unaware := runMeanOn(t, fleet, "burst-slow", "default", 1), runMeanOn(t, fleet, "burst-slow", "no_pace", 1)
	require.Greater(t, current.score, 0.88)
	require.Greater(t, current.worstScore, 0.74)
	require.Greater(t, current.score, unaware.score-0.01)
	require.Less(t, current.failed, unaware.failed)
}

// With 78 hosts and 45 engines in five data centres, a host gets a load report of an engine
// only once in seconds. When old load reports decayed to zero and hosts used the engines of all
// data centres equally, the score under high load was 0.70, and 0.49 after a sixth of the
// engines had left.
func TestManyHostsServeHighLoad(t *testing.T) {
	fleet := readFleet(t, "eighty")
	require.Greater(t, runMeanOn(t, fleet, "calm", "default", 1).score, 0.84)
	require.Greater(t, runMeanOn(t, fleet, "leave-stay", "default", 1).score, 0.68)
	// Preferring near engines is no worse where one data centre has no engines and two have
	// most of them: the score is 0.52 without that preference.
	require.Greater(t, runMeanOn(t, readFleet(t, "uneven"), "calm", "default", 1).score, 0.6)
}

// With many hosts most turns of a program arrive at another host than the turn before. During
// a burst, with run records, engines repeat the prefill of fewer than half as many shared
// prompt tokens.
func TestTurnsFollowRunRecords(t *testing.T) {
	fleet, pattern := readFleet(t, "eighty"), readPattern(t, "burst")
	informed, uninformed := Run(fleet, pattern, findPolicy(t, "default"), 1), Run(fleet, pattern, findPolicy(t, "no_ran"), 1)
	require.Greater(t, informed.Score(), uninformed.Score()+0.2)
	require.Greater(t, informed.WorstScore(), uninformed.WorstScore()+0.3)
	require.Less(t, informed.ReadAgain*2, uninformed.ReadAgain)
}

// With prefix affinity, hosts that do not communicate agree on the engines that cache a shared
// prefix. That pays on engines whose steps slow down steeply with the batch.
func TestPrefixAffinityPaysOnSteepEngines(t *testing.T) {
	steep := readFleet(t, "steep")
	current, baseline := runMeanOn(t, steep, "flood", "default", 1), runMeanOn(t, steep, "flood", "no_homes", 1)
	require.Greater(t, current.worstScore, baseline.worstScore)
	require.Greater(t, current.score, baseline.score+0.02)
}

// Hosts prefer targets to which they have an idle connection: they open fewer connections, and
// as many programs are in time.
func TestIdleConnectionsArePreferred(t *testing.T) {
	fleet, err := ReadFleet(filepath.Join(traceDir, "wide.ini"))
	require.NoError(t, err)
	pattern := readPattern(t, "calm")
	current, baseline := Run(fleet, pattern, findPolicy(t, "default"), 1), Run(fleet, pattern, findPolicy(t, "no_connect"), 1)
	require.Less(t, float64(current.Connections), 0.8*float64(baseline.Connections))
	require.Greater(t, current.Score(), baseline.Score()-0.005)
}

// Many hosts that exchange their observations of targets detect slow targets sooner and open
// fewer connections. With few hosts the exchange changes nothing.
func TestLoadExchangeHelpsManyHostsOnly(t *testing.T) {
	pattern := readPattern(t, "slow-plain")
	fleet := readFleet(t, "uneven")
	current, baseline := Run(fleet, pattern, findPolicy(t, "default"), 1), Run(fleet, pattern, findPolicy(t, "no_loads"), 1)
	require.Greater(t, current.Score(), baseline.Score()+0.02)
	require.Less(t, current.Connections, baseline.Connections)
	fleet = readFleet(t, "small")
	current, baseline = Run(fleet, pattern, findPolicy(t, "default"), 1), Run(fleet, pattern, findPolicy(t, "no_loads"), 1)
	require.Equal(t, baseline.Score(), current.Score())
	require.Equal(t, baseline.Connections, current.Connections)
}

func TestInvalidFilesAreRejected(t *testing.T) {
	_, err := ReadFleet(filepath.Join(traceDir, "none.ini"))
	require.Error(t, err)
	_, err = ReadFleet(filepath.Join(traceDir, "burst.pattern.ini"))
	require.Error(t, err)
	_, err = ReadPattern(filepath.Join(traceDir, "small.ini"))
	require.Error(t, err)
	_, err = FindPolicy("none")
	require.Error(t, err)
}

// On random fleets, the default policy scores no worse than the baselines, than without run
// records, than without any account of slow engines and than by load alone, apart from the
// spread between seeds. With the patterns burst and flood only, and the same account of slow
// engines in both policies, the test missed that this account cost 0.2 of the score in a burst.
func TestRandomFleetsAreServedNoWorseThanBaselines(t *testing.T) {
	const (
		fleets     = 4
		seedSpread = 0.03
	)
	for seed := range uint64(fleets) {
		fleet := RandomFleet(seed)
		for _, name := range []string{"burst", "flood", "burst-slow", "slow-engines", "cut"} {
			t.Run(fmt.Sprintf("%d/%s", seed, name), func(t *testing.T) {
				t.Parallel()
				pattern := readPattern(t, name)
				current := Run(fleet, pattern, findPolicy(t, "default"), seed)
				for _, other := range []string{"former", "former_weights", "no_ran", "no_pace", "least_loaded"} {
					baseline := Run(fleet, pattern, findPolicy(t, other), seed)
					require.Greater(t, current.Score(), baseline.Score()-seedSpread, other)
				}
			})
		}
	}
}
