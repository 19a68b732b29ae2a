package player

import (
	"math/rand/v2"
	"time"

	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/ctl/simclock"
)

// noise makes single targets slow for short times, one by one, as those are that share
// their hosts with others. The zero value makes none.
type noise struct {
	w *world
	// factor is how many times longer work takes now; 0 where there is no noise, so that
	// targets tell none.
	factor float64
	rng    *rand.Rand
}

// newNoise starts the noise of the i-th target. It draws from a source of its own, so that
// the rest of a run stays the same with and without it.
func newNoise(w *world, i int) *noise {
	n := &noise{w: w}
	f := w.fleet
	if f.NoiseShare <= 0 {
		return n
	}
	const stream = 3
	n.rng = rand.New(rand.NewPCG(w.seed, stream<<32+uint64(i)))
	n.turn(n.rng.Float64() < f.NoiseShare)
	return n
}

// turn begins a phase.
func (n *noise) turn(slow bool) {
	f := n.w.fleet
	n.factor = 1
	mean := f.NoiseDurationMs * (1 - f.NoiseShare) / f.NoiseShare
	if slow {
		n.factor, mean = f.NoiseFactor, f.NoiseDurationMs
	}
	n.w.After(simclock.Milliseconds(mean*n.rng.ExpFloat64()), func() { n.turn(!slow) })
}

// times is how many times longer work takes.
func (n *noise) times() float64 {
	if n.factor == 0 {
		return 1
	}
	return n.factor
}

// say adds the noise to a word of load.
func (n *noise) say(l request.Load) request.Load {
	l.Slowdown = n.factor
	return l
}

// speedOf is the static speed of the i-th target of a list.
func speedOf(speeds []float64, i int) float64 {
	if len(speeds) == 0 {
		return 1
	}
	return speeds[i%len(speeds)]
}

// spreadWords tells all hosts what targets say of their load, every WordsMs: those of their
// own data centre each time, others each wordsFarEvery times.
func (w *world) spreadWords(round int) {
	const wordsFarEvery = 4
	every := simclock.Milliseconds(w.fleet.LoadReportIntervalMs)
	if every <= 0 {
		return
	}
	w.After(every, func() { w.spreadWords(round + 1) })
	for _, id := range w.order {
		l, centre := w.wordOf(id), w.centreOf(id)
		for _, h := range w.hosts {
			if w.apart(h.centre, centre) || h.centre != centre && round%wordsFarEvery != 0 {
				continue
			}
			if t, ok := h.registry.Target(id); ok {
				t.RecordLoadReport(l, w.Now())
			}
		}
	}
}

// wordOf is what a target says of its load.
func (w *world) wordOf(id string) request.Load {
	if e := w.engines[id]; e != nil {
		return e.load()
	}
	return w.plains[id].load()
}

// Sends counts the sends of one service by where they went.
type Sends struct{ Near, Far int }

// sent counts a send.
func (s *Sends) sent(near bool) {
	if near {
		s.Near++
		return
	}
	s.Far++
}

// FarShare is the part of sends that left their data centre.
func (s Sends) FarShare() float64 { return float64(s.Far) / float64(max(1, s.Near+s.Far)) }

// leaning is the data centre that a program begins in, where a phase draws some to one.
func (c *callers) leaning(p *program, usual string) string {
	ph := c.phase(PhaseSkewedCallers)
	if ph == nil || p.rng.Float64() >= ph.Share {
		return usual
	}
	return ph.DataCentre
}

// took counts the time of a plain call.
func (r *Result) took(d time.Duration) {
	_ = r.calls.RecordValue(max(1, d.Milliseconds())) // values over its range count nowhere
}

// draw is a number in [0, 1) that tells calls apart, without a draw of the run's source.
func (c *call) draw() float64 {
	const prime = 1_000_003
	return float64(int64(c.work)%prime) / prime
}

// moved counts a turn that ran in another data centre than the one before it.
func (r *Result) moved(t *turn, target string) {
	before := t.program.ran[t.parts[len(t.parts)-2].ID]
	if before != "" && t.h.w.centreOf(before) != t.h.w.centreOf(target) {
		r.Moves++
	}
}

// sentTurn counts a turn that went to an engine.
func (r *Result) sentTurn(now time.Duration, near bool) {
	r.EngineSends.sent(near)
	r.EngineWindows[min(len(r.EngineWindows)-1, int(now/windowLength))].sent(near)
}
