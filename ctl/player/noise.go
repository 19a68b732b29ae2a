package player

import (
	"math/rand/v2"

	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/ctl/simclock"
)

// noise slows down a single target for short times, as other tenants of its machine would.
// With factor 0 there is none.
type noise struct {
	sim *simulation
	// factor is how many times longer work takes now; 0 where noise is off, so that load
	// reports carry no slowdown.
	factor float64
	rng    *rand.Rand
}

// newNoise starts the noise of the target with an index. It draws from a separate random
// source, so that the rest of a run is the same with and without noise.
func newNoise(sim *simulation, index int) *noise {
	n := &noise{sim: sim}
	fleet := sim.fleet
	if fleet.NoiseShare <= 0 {
		return n
	}
	const stream = 3
	n.rng = rand.New(rand.NewPCG(sim.seed, stream<<32+uint64(index)))
	n.startPhase(n.rng.Float64() < fleet.NoiseShare)
	return n
}

// startPhase starts a slow or a normal phase and schedules the other one. Durations are
// exponentially distributed; targets are slow for NoiseShare of the time.
func (n *noise) startPhase(slow bool) {
	fleet := n.sim.fleet
	n.factor = 1
	meanMs := fleet.NoiseDurationMs * (1 - fleet.NoiseShare) / fleet.NoiseShare
	if slow {
		n.factor, meanMs = fleet.NoiseFactor, fleet.NoiseDurationMs
	}
	n.sim.After(simclock.Milliseconds(meanMs*n.rng.ExpFloat64()), func() { n.startPhase(!slow) })
}

// slowdown returns how many times longer work takes now; 1 without noise.
func (n *noise) slowdown() float64 {
	if n.factor == 0 {
		return 1
	}
	return n.factor
}

// annotate adds the current slowdown to a load report.
func (n *noise) annotate(report request.Load) request.Load {
	report.Slowdown = n.factor
	return report
}

// slowdownOf returns the static slowdown of the target with an index.
func slowdownOf(slowdowns []float64, index int) float64 {
	if len(slowdowns) == 0 {
		return 1
	}
	return slowdowns[index%len(slowdowns)]
}
