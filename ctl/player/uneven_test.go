package player

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/hedge"
)

// uneven is the fleet of three speeds; wordsMs is how often hosts hear all targets of their
// data centre, 0 for answers only.
func uneven(t *testing.T, wordsMs float64) *Fleet {
	t.Helper()
	f := fleetNamed(t, "uneven-speed")
	f.WordsMs = wordsMs
	return f
}

// played is the sum of some runs.
type played struct {
	programs, inTime, late, moves, second, connections int
	engine, plain                                      Sends
	engineWindows                                      []Sends
	callsP95, callsP99                                 float64
}

// worth counts late programs a tenth.
func (p played) worth() float64 {
	return (float64(p.inTime) + 0.1*float64(p.late)) / float64(p.programs)
}

func playUneven(t *testing.T, f *Fleet, pt *Pattern, policyName string) played {
	t.Helper()
	const seeds = 2
	var results [seeds]*Result
	var all sync.WaitGroup
	with := policy(t, policyName)
	for i := range results {
		all.Go(func() { results[i] = Run(f, pt, with, uint64(i)+1) })
	}
	all.Wait()
	p := played{engineWindows: make([]Sends, len(results[0].EngineWindows))}
	add := func(to *Sends, s Sends) {
		to.Near += s.Near
		to.Far += s.Far
	}
	for _, r := range results {
		p.programs += r.Programs
		p.inTime += r.InTime
		p.late += r.Late
		p.moves += r.Moves
		p.second += r.SecondSends
		p.connections += r.Connections
		p.callsP95 += float64(r.Calls.P95) / seeds
		p.callsP99 += float64(r.Calls.P99) / seeds
		add(&p.engine, r.EngineSends)
		add(&p.plain, r.PlainSends)
		for i, s := range r.EngineWindows {
			add(&p.engineWindows[i], s)
		}
	}
	return p
}

// Engines of three speeds and many plain targets, of which 15 in 100 are slow at a time and
// say so. By predicted finish more programs are in time, calls are shorter, fewer leave their
// data centre, and fewer connections are opened, whether hosts hear only answers to their own
// requests or fresh words of all targets.
func TestPredictedFinishServesUnevenTargets(t *testing.T) {
	for name, words := range map[string]float64{"answers": 0, "fresh words": 100} {
		t.Run(name, func(t *testing.T) {
			f := uneven(t, words)
			for _, load := range []string{"calm", "burst"} {
				now, before := playUneven(t, f, pattern(t, load), "default"), playUneven(t, f, pattern(t, load), "no_finish")
				require.Greater(t, now.worth(), before.worth()+0.05, load)
				require.Greater(t, now.worth(), 0.95, load)
				require.Less(t, now.callsP95, 0.95*before.callsP95, load)
				require.Less(t, now.plain.FarShare(), 0.01, load)
				require.Less(t, now.engine.FarShare(), 0.03, load)
				require.Less(t, float64(now.connections), 1.1*float64(before.connections), load)
			}
		})
	}
	before := playUneven(t, uneven(t, 0), pattern(t, "calm"), "no_finish")
	require.Greater(t, before.plain.FarShare(), 0.1, "the test sees the difference")
}

// Callers of two data centres come in opposite waves: what crosses is a small part, and few
// programs change their data centre on the way.
func TestOppositeWavesDoNotSwing(t *testing.T) {
	for name, words := range map[string]float64{"answers": 0, "fresh words": 100} {
		t.Run(name, func(t *testing.T) {
			f, pt := uneven(t, words), pattern(t, "opposite-waves")
			now, before := playUneven(t, f, pt, "default"), playUneven(t, f, pt, "no_finish")
			require.Greater(t, now.worth(), before.worth()+0.05)
			require.Less(t, now.engine.FarShare(), 0.05)
			require.Less(t, float64(now.moves), 0.04*float64(now.engine.Near+now.engine.Far))
		})
	}
}

// Most callers move to one data centre: turns cross while its engines are full, and stay at
// home again once the callers have left.
func TestTurnsComeHomeWhenThereIsRoom(t *testing.T) {
	f, pt := uneven(t, 100), pattern(t, "moving-callers")
	now, before := playUneven(t, f, pt, "default"), playUneven(t, f, pt, "no_finish")
	require.Greater(t, now.worth(), before.worth()+0.05)
	share := func(from, to int) float64 {
		var s Sends
		for _, x := range now.engineWindows[from/2 : to/2] {
			s.Near += x.Near
			s.Far += x.Far
		}
		return s.FarShare()
	}
	require.Greater(t, share(10, 16), 0.05, "most callers are in one data centre")
	require.Less(t, share(18, 24), share(10, 16)/4, "they have left")
	t.Logf("crossing %.3f while they are there, %.3f after", share(10, 16), share(18, 24))
	require.Less(t, now.moves, before.moves)
}

// Calls are much alike, and some plain targets stall, of which hosts hear too late. Calls that
// may run twice go to another one; the load that this adds stays within its share.
func TestSecondSendsAnswerStalls(t *testing.T) {
	f := uneven(t, 0)
	lookup := *f.Tools[0]
	lookup.MostMs = lookup.WorkMs
	f.Tools = []*Tool{&lookup}
	require.True(t, lookup.Idempotent)
	pt := &Pattern{Name: "stalls", Seconds: 20, Phases: []Phase{{Kind: PhaseSlowPlain, Count: 8, From: 10, To: 14, X: 12}}}
	now, before := playUneven(t, f, pt, "default"), playUneven(t, f, pt, "no_second")
	require.Zero(t, before.second)
	require.Positive(t, now.second)
	const seeds = 2
	most := hedge.BudgetRatio*float64(now.plain.Near+now.plain.Far) + hedge.Burst*float64(seeds*f.Hosts)
	require.LessOrEqual(t, float64(now.second), most)
	t.Logf("calls %.0f and %.0f ms (99th), in time %d and %d, with second sends and without; %d sent", now.callsP99, before.callsP99, now.inTime, before.inTime, now.second)
	require.Less(t, now.callsP99, before.callsP99)
}

// The noise is a two-state process of the share and the length that the settings say.
func TestNoiseHasTheShareThatIsSet(t *testing.T) {
	f := uneven(t, 0)
	w := newWorld(f, &Pattern{Name: "none", Seconds: 2}, policy(t, "default"), 1)
	slow, n := 0, 0
	const samples = 400
	var look func()
	look = func() {
		for _, id := range w.order {
			n++
			if w.wordOf(id).Slowdown > 1 {
				slow++
			}
		}
		w.After(seconds(0.1), look)
	}
	look()
	for n < samples*len(w.order) && w.RunNext() {
		continue
	}
	require.InDelta(t, f.NoiseShare, float64(slow)/float64(n), 0.02)
}
