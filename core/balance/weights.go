package balance

import "time"

// Weights of the cost by which Pick chooses, in units of the time that one request
// takes at a full target. A full target costs little more than one that is nearly full:
// each move away from a queue of some requests makes another engine read the whole prompt.
type Weights struct {
	// Occupancy weighs how much slower an engine is whose places are all taken; see
	// speed.
	Occupancy float64
	// Queue is the cost of a queue as long as the engine has places. Leaving a queue makes
	// another engine read the prompt; staying in a long one makes the request late.
	Queue float64
	// Prefill is the cost of reading a prompt of mean length. Reading stalls all that
	// runs at the engine.
	Prefill float64
	// CrossDataCentre is the cost of another data centre: the way, and priced bytes.
	CrossDataCentre float64
	// NewConnection is the cost of a target to which no connection is idle: a connection takes
	// a round trip, and targets bound and price them. It must not move prompts from the
	// engines that have them.
	NewConnection float64
	// Failure is the cost of one recent failure: enough to leave a target that is idle
	// for one that is nearly full.
	Failure float64
	// PrefixAffinity makes hosts agree on the engines that keep a shared part; see homes.
	PrefixAffinity bool
	// SlowEvents is the cost of an engine whose events take longer than is to be expected, by as
	// much again beyond what is tolerated; see speed.
	SlowEvents float64
	// Latency makes slow plain targets cost more; see pace.
	Latency bool
	// PredictedFinish chooses by predicted finish where targets tell their slowdown.
	PredictedFinish bool
}

// DefaultWeights returns the weights that hosts choose by.
func DefaultWeights() Weights {
	return Weights{Occupancy: 1, Queue: 0.35, Prefill: 1, CrossDataCentre: 0.1, NewConnection: 0.1, Failure: 0.4, PrefixAffinity: true, SlowEvents: 0.5, Latency: true, PredictedFinish: true}
}

// BaselineWeights are a baseline to compare with: a target without a free place costs
// far more, and slowdowns that targets tell count nothing.
func BaselineWeights() Weights {
	w := DefaultWeights()
	w.Queue, w.Prefill, w.NewConnection = 24, 1.5, 0
	w.PredictedFinish = false
	return w
}

// slowness is how many times slower than the fastest the target is, as far as that
// counts.
func (r *Registry) slowness(t *Target, fastest float64, now time.Duration) float64 {
	if !r.weights.Latency {
		return 1
	}
	return t.slowness(fastest, now)
}
