package player

import (
	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/dispatch"
	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Policies lists what can be compared: the product's, what it does without one of
// its mechanisms, and baselines.
func Policies() []Policy {
	w, l := balance.DefaultWeights(), dispatch.DefaultLimits()
	vary := func(name string, change func(*balance.Weights, *dispatch.Limits)) Policy {
		w, l := w, l
		change(&w, &l)
		return Policy{Name: name, Weights: w, Limits: l, RunRecords: true, HedgeCalls: true, ExchangeLoads: true}
	}
	return []Policy{
		{Name: "default", Weights: w, Limits: l, RunRecords: true, HedgeCalls: true, ExchangeLoads: true},
		{Name: "no_second", Weights: w, Limits: l, RunRecords: true, ExchangeLoads: true},
		{Name: "no_loads", Weights: w, Limits: l, RunRecords: true, HedgeCalls: true},
		{Name: "no_ran", Weights: w, Limits: l, HedgeCalls: true, ExchangeLoads: true},
		vary("send_at_once", func(_ *balance.Weights, l *dispatch.Limits) { *l = dispatch.Limits{} }),
		vary("no_pace", func(w *balance.Weights, _ *dispatch.Limits) { w.Latency, w.SlowEvents = false, 0 }),
		vary("no_finish", func(w *balance.Weights, _ *dispatch.Limits) { w.PredictedFinish = false }),
		vary("no_homes", func(w *balance.Weights, _ *dispatch.Limits) { w.PrefixAffinity = false }),
		vary("no_prefill", func(w *balance.Weights, _ *dispatch.Limits) { w.Prefill = 0 }),
		vary("no_slow", func(w *balance.Weights, _ *dispatch.Limits) { w.SlowEvents = 0 }),
		vary("no_wait", func(w *balance.Weights, _ *dispatch.Limits) { w.Queue = 0 }),
		vary("no_far", func(w *balance.Weights, _ *dispatch.Limits) { w.CrossDataCentre = 0 }),
		vary("no_connect", func(w *balance.Weights, _ *dispatch.Limits) { w.NewConnection = 0 }),
		// The way before, whole; and its weights with what hosts are told now.
		{Name: "former", Weights: balance.BaselineWeights()},
		{Name: "former_weights", Weights: balance.BaselineWeights(), RunRecords: true},
		{Name: "least_loaded", Weights: balance.Weights{Occupancy: 1, Queue: 1}, RunRecords: true},
	}
}

// PolicyNamed returns one of Policies.
func FindPolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, failure.New(failure.Usage, "unknown policy %q", name)
}
