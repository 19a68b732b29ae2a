package player

import (
	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/dispatch"
	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Policies returns the policies to compare: the product's, the same without one of its
// mechanisms each, and baselines. Their names are values of the replay command's option.
func Policies() []Policy {
	weights, limits := balance.DefaultWeights(), dispatch.DefaultLimits()
	vary := func(name string, change func(*balance.Weights, *dispatch.Limits)) Policy {
		weights, limits := weights, limits
		change(&weights, &limits)
		return Policy{Name: name, Weights: weights, Limits: limits, RunRecords: true, HedgeCalls: true, ExchangeLoads: true}
	}
	return []Policy{
		{Name: "default", Weights: weights, Limits: limits, RunRecords: true, HedgeCalls: true, ExchangeLoads: true},
		{Name: "no_second", Weights: weights, Limits: limits, RunRecords: true, ExchangeLoads: true},
		{Name: "no_loads", Weights: weights, Limits: limits, RunRecords: true, HedgeCalls: true},
		{Name: "no_ran", Weights: weights, Limits: limits, HedgeCalls: true, ExchangeLoads: true},
		vary("send_at_once", func(_ *balance.Weights, l *dispatch.Limits) { *l = dispatch.Limits{} }),
		vary("no_pace", func(w *balance.Weights, _ *dispatch.Limits) { w.Latency, w.SlowEvents = false, 0 }),
		vary("no_finish", func(w *balance.Weights, _ *dispatch.Limits) { w.PredictedFinish = false }),
		vary("no_homes", func(w *balance.Weights, _ *dispatch.Limits) { w.PrefixAffinity = false }),
		vary("no_prefill", func(w *balance.Weights, _ *dispatch.Limits) { w.Prefill = 0 }),
		vary("no_slow", func(w *balance.Weights, _ *dispatch.Limits) { w.SlowEvents = 0 }),
		vary("no_wait", func(w *balance.Weights, _ *dispatch.Limits) { w.Queue = 0 }),
		vary("no_far", func(w *balance.Weights, _ *dispatch.Limits) { w.CrossDataCentre = 0 }),
		vary("no_connect", func(w *balance.Weights, _ *dispatch.Limits) { w.NewConnection = 0 }),
		// The baseline weights without any other mechanism, and with run records.
		{Name: "former", Weights: balance.BaselineWeights()},
		{Name: "former_weights", Weights: balance.BaselineWeights(), RunRecords: true},
		{Name: "least_loaded", Weights: balance.Weights{Occupancy: 1, Queue: 1}, RunRecords: true},
	}
}

// FindPolicy returns the policy with a name, or an error of kind Usage.
func FindPolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, failure.New(failure.Usage, "unknown policy %q", name)
}
