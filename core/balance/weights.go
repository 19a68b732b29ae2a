package balance

import "time"

// Weights of the cost by which Pick chooses, in units of one full target.
type Weights struct {
	// Prefill is the cost of reading a whole prompt that is not cached. Reading stalls
	// all that runs at the engine: mean worth of 12 high days 0.770 with 0.5, 0.798
	// with 1, 0.793 with 2.
	Prefill float64
	// Far is the cost of another data centre: the way, and priced bytes.
	Far float64
	// Full is added where all places are taken.
	Full float64
	// Fault is the cost of one recent failure: enough to leave a target that is idle
	// for one that is nearly full.
	Fault float64
	// Homes makes hosts agree on the engines that keep a shared part; see homes.
	Homes bool
	// Pace makes slow targets cost more; see pace.
	Pace bool
}

// DefaultWeights returns the measured defaults.
func DefaultWeights() Weights {
	return Weights{Prefill: 1.5, Far: 0.1, Full: 2, Fault: 0.4, Homes: true, Pace: true}
}

// slowness is how many times slower than the fastest the target is, as far as that
// counts.
func (r *Registry) slowness(t *Target, fastest float64, now time.Duration) float64 {
	if !r.weights.Pace {
		return 1
	}
	return t.slowness(fastest, now)
}
