package balance

import "time"

// Weights are the weights of the cost by which Pick chooses, in units of the time that one
// request takes at a full target. A full target costs only a little more than a nearly full one:
// each move away from a short queue makes another engine prefill the whole prompt.
type Weights struct {
	// Occupancy is the weight of the fraction of an engine's event time that is due to load; see
	// eventTimeModel.
	Occupancy float64
	// Queue is the cost of a queue as long as the engine's capacity. Leaving a queue makes
	// another engine prefill the prompt; staying in a long one makes the request late.
	Queue float64
	// Prefill is the cost of prefilling a prompt of mean length. Prefill stalls all requests
	// that run at the engine.
	Prefill float64
	// CrossDataCentre is the cost of another data centre: its latency and the price of the
	// bytes.
	CrossDataCentre float64
	// NewConnection is the cost of a target without an idle connection. A new connection takes a
	// round trip, and targets limit and charge for connections. It must not move prompts from
	// the engines that have them cached.
	NewConnection float64
	// Failure is the cost of one recent failure: enough to leave an idle target for one that is
	// nearly full.
	Failure float64
	// PrefixAffinity makes hosts agree on the engines that cache a shared first part; see
	// affinityTargets.
	PrefixAffinity bool
	// SlowEvents is the cost of an engine whose event times exceed the tolerance by the expected
	// event time; see excessEventTime.
	SlowEvents float64
	// Latency makes slow plain targets cost more; see relativeLatency.
	Latency bool
	// PredictedFinish chooses by predicted finish where targets report their slowdown.
	PredictedFinish bool
}

// DefaultWeights returns the weights that hosts use.
func DefaultWeights() Weights {
	return Weights{Occupancy: 1, Queue: 0.35, Prefill: 1, CrossDataCentre: 0.1, NewConnection: 0.1, Failure: 0.4, PrefixAffinity: true, SlowEvents: 0.5, Latency: true, PredictedFinish: true}
}

// BaselineWeights returns weights to compare with: a target without free capacity costs far
// more, and reported slowdowns are ignored.
func BaselineWeights() Weights {
	w := DefaultWeights()
	w.Queue, w.Prefill, w.NewConnection = 24, 1.5, 0
	w.PredictedFinish = false
	return w
}

// slowness returns how many times slower than the fastest target the target is, or 1 if latency
// is not weighed.
func (r *Registry) slowness(t *Target, fastest float64, now time.Duration) float64 {
	if !r.weights.Latency {
		return 1
	}
	return t.relativeSlowness(fastest, now)
}
