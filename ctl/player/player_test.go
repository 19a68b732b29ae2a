package player

import (
	"fmt"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const folder = "../../traces/load"

func fleet(t *testing.T) *Fleet { return fleetNamed(t, "small") }

func fleetNamed(t *testing.T, name string) *Fleet {
	t.Helper()
	f, err := ReadFleet(filepath.Join(folder, name+".ini"))
	require.NoError(t, err)
	return f
}

func pattern(t *testing.T, name string) *Pattern {
	t.Helper()
	p, err := ReadPattern(filepath.Join(folder, name+".pattern.ini"))
	require.NoError(t, err)
	return p
}

func policy(t *testing.T, name string) Policy {
	t.Helper()
	p, err := FindPolicy(name)
	require.NoError(t, err)
	return p
}

// outcomeOf is the mean over some seeds.
type outcomeOf struct{ worth, worst, recovery, failed float64 }

func play(t *testing.T, patternName, policyName string, load float64) outcomeOf {
	t.Helper()
	return playOn(t, fleet(t), patternName, policyName, load)
}

func playOn(t *testing.T, f *Fleet, patternName, policyName string, load float64) outcomeOf {
	t.Helper()
	const seeds = 4
	p := pattern(t, patternName)
	p.ScaleBursts(load)
	played := policy(t, policyName)
	var results [seeds]*Result
	var all sync.WaitGroup
	for i := range results {
		all.Go(func() { results[i] = Run(f, p, played, uint64(i)+1) })
	}
	all.Wait()
	var o outcomeOf
	for _, r := range results {
		o.worth += r.Score() / seeds
		o.worst += r.WorstScore() / seeds
		o.failed += float64(r.Failed) / seeds
		o.recovery += r.RecoveryTime().Seconds() / seeds
	}
	return o
}

// All that a run does follows from its seed, also where a cut ends many requests at the
// same instant.
func TestSameSeedSameResult(t *testing.T) {
	for name, f := range map[string]*Fleet{"burst": fleet(t), "cut": RandomFleet(3)} {
		p := pattern(t, name)
		a, b := Run(f, p, policy(t, "default"), 3), Run(f, p, policy(t, "default"), 3)
		require.Equal(t, a.Windows, b.Windows, name)
		require.Equal(t, a.Read, b.Read, name)
		require.NotEqual(t, a.Windows, Run(f, p, policy(t, "default"), 4).Windows, name)
	}
}

func TestAllPatternsAreReadAndServed(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(folder, "*.pattern.ini"))
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 10)
	for _, file := range files {
		p, err := ReadPattern(file)
		require.NoError(t, err)
		t.Run(p.Name, func(t *testing.T) {
			r := Run(fleet(t), p, policy(t, "default"), 1)
			require.Greater(t, r.Score(), 0.6)
			require.Equal(t, r.Programs, r.InTime+r.Late+r.Failed, "every program ends")
		})
	}
}

// A queue costs in proportion. When a full engine cost two units more than one that
// was nearly full, turns fled from their cached prompts as soon as a burst filled the
// engines, and reading these again filled them further.
func TestBurstDoesNotDriveTurnsFromTheirPrompts(t *testing.T) {
	now, before := play(t, "burst", "default", 1), play(t, "burst", "former", 1)
	require.Greater(t, now.worth, 0.98)
	require.Greater(t, now.worst, 0.95)
	require.Less(t, before.worst, 0.8, "the test sees the difference")
}

// 3.6 times the usual load is more than the engines can do. Programs that have not
// begun are turned away, so that those under way end.
func TestFloodDoesNotCollapse(t *testing.T) {
	now, before := play(t, "flood", "default", 1.2), play(t, "flood", "send_at_once", 1.2)
	require.Greater(t, now.worth, before.worth+0.1)
	require.Greater(t, now.worst, 0.3)
	require.Less(t, now.recovery, before.recovery)
}

// Two of four plain targets turn slow: they get less.
func TestSlowTargetsGetLess(t *testing.T) {
	now, before := play(t, "slow", "default", 1), play(t, "slow", "no_pace", 1)
	require.Greater(t, now.worst, before.worst)
}

// Two of nine engines turn four times slower under a burst: they get less, and fewer
// programs fail at them.
func TestSlowEnginesGetLess(t *testing.T) {
	now, before := play(t, "slow-engines", "default", 1), play(t, "slow-engines", "no_pace", 1)
	require.Greater(t, now.worth, before.worth)
	require.Less(t, now.failed, before.failed)
}

// A burst beside slow engines, and one beside a cut, on engines with many places: what
// binds is the reading of prompts, long before places are taken. When an engine whose
// events were stalled cost a multiple, turns fled from their prompts; the worst two seconds
// were at 0.69, with nothing known of slow engines at 0.77.
func TestBurstBesideSlowEnginesWithManyPlaces(t *testing.T) {
	f := fleetNamed(t, "many")
	now, without := playOn(t, f, "burst-slow", "default", 1), playOn(t, f, "burst-slow", "no_pace", 1)
	require.Greater(t, now.worth, 0.88)
	require.Greater(t, now.worst, 0.74)
	require.Greater(t, now.worth, without.worth-0.01)
	require.Less(t, now.failed, without.failed)
}

// 78 hosts before 45 engines in five data centres: each hears an engine once in seconds.
// While old words of load faded to nothing and hosts used engines of all data centres
// alike, 0.70 of the worth of a high load was earned, and 0.49 once a sixth of the engines
// had left.
func TestManyHostsServeAHighLoad(t *testing.T) {
	f := fleetNamed(t, "eighty")
	require.Greater(t, playOn(t, f, "calm", "default", 1).worth, 0.84)
	require.Greater(t, playOn(t, f, "leave-stay", "default", 1).worth, 0.68)
	// Where one data centre has no engines and two have most of them, staying near is not
	// worse either (0.52 without).
	require.Greater(t, playOn(t, fleetNamed(t, "uneven"), "calm", "default", 1).worth, 0.6)
}

// With many hosts most turns of a program come through another one than the turn before.
// Under a burst, hosts that are told where it ran read a small part of what others read.
func TestTurnsFollowTheirProgram(t *testing.T) {
	f, p := fleetNamed(t, "eighty"), pattern(t, "burst")
	told, untold := Run(f, p, policy(t, "default"), 1), Run(f, p, policy(t, "no_ran"), 1)
	require.Greater(t, told.Score(), untold.Score()+0.2)
	require.Greater(t, told.WorstScore(), untold.WorstScore()+0.3)
	require.Less(t, told.ReadAgain*2, untold.ReadAgain)
}

// Hosts that do not talk agree on the engines that keep a shared part. That pays on engines
// that slow down steeply.
func TestHomesOfSharedPartsAreWorthTheirPlace(t *testing.T) {
	steep := fleetNamed(t, "steep")
	now, before := playOn(t, steep, "flood", "default", 1), playOn(t, steep, "flood", "no_homes", 1)
	require.Greater(t, now.worst, before.worst)
	require.Greater(t, now.worth, before.worth+0.02)
}

// Hosts prefer targets to which they have an idle connection: fewer are opened, and as
// many programs are in time.
func TestFewerConnectionsAreOpened(t *testing.T) {
	f, err := ReadFleet(filepath.Join(folder, "wide.ini"))
	require.NoError(t, err)
	p := pattern(t, "calm")
	now, before := Run(f, p, policy(t, "default"), 1), Run(f, p, policy(t, "no_connect"), 1)
	require.Less(t, float64(now.Connections), 0.8*float64(before.Connections))
	require.Greater(t, now.Score(), before.Score()-0.005)
}

// Many hosts that tell each other what they see of the targets find slow ones sooner and open
// fewer connections; where hosts are few all stays as it was.
func TestManyHostsTellEachOther(t *testing.T) {
	p := pattern(t, "slow-plain")
	f := fleetNamed(t, "uneven")
	now, before := Run(f, p, policy(t, "default"), 1), Run(f, p, policy(t, "no_loads"), 1)
	require.Greater(t, now.Score(), before.Score()+0.02)
	require.Less(t, now.Connections, before.Connections)
	f = fleetNamed(t, "small")
	now, before = Run(f, p, policy(t, "default"), 1), Run(f, p, policy(t, "no_loads"), 1)
	require.Equal(t, before.Score(), now.Score())
	require.Equal(t, before.Connections, now.Connections)
}

func TestBadFilesAreRefused(t *testing.T) {
	_, err := ReadFleet(filepath.Join(folder, "none.ini"))
	require.Error(t, err)
	_, err = ReadFleet(filepath.Join(folder, "burst.pattern.ini"))
	require.Error(t, err)
	_, err = ReadPattern(filepath.Join(folder, "small.ini"))
	require.Error(t, err)
	_, err = FindPolicy("none")
	require.Error(t, err)
}

// On deployments drawn at random, load patterns are served no worse than by the way
// before, without any account of slow engines, and by load alone, beyond the spread
// between seeds. With bursts and floods only, and the same account of slow engines on both
// sides, the check did not see that this account cost 0.2 of the worth under a burst.
func TestRandomDeploymentsAreServedNoWorse(t *testing.T) {
	const (
		deployments = 4
		spread      = 0.03
	)
	for seed := range uint64(deployments) {
		f := RandomFleet(seed)
		for _, name := range []string{"burst", "flood", "burst-slow", "slow-engines", "cut"} {
			t.Run(fmt.Sprintf("%d/%s", seed, name), func(t *testing.T) {
				t.Parallel()
				p := pattern(t, name)
				now := Run(f, p, policy(t, "default"), seed)
				for _, other := range []string{"former", "former_weights", "no_ran", "no_pace", "least_loaded"} {
					before := Run(f, p, policy(t, other), seed)
					require.Greater(t, now.Score(), before.Score()-spread, other)
				}
			})
		}
	}
}
