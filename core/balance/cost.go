package balance

import "time"

// selection holds the inputs of one choice that all targets of a service share.
type selection struct {
	query               Query
	now                 time.Duration
	service             *service
	minLatency          float64
	occupancyCost       float64
	crossDataCentreCost float64
	affinityTargets     map[string]bool // affinity targets of the prompt's first part; nil if it has none
	// predictFinish selects the cost by predicted finish; workTime is then the usual time of the
	// request, in nanoseconds.
	predictFinish bool
	workTime      float64
}

// newSelection computes the shared inputs of one choice.
func (r *Registry) newSelection(s *service, q Query, now time.Duration) selection {
	sel := selection{query: q, now: now, service: s, crossDataCentreCost: r.weights.CrossDataCentre}
	sel.predictFinish = r.usesPredictedFinish(s, now)
	if q.PromptTokens == 0 {
		sel.workTime = r.typicalTime(q.WorkKind)
		sel.minLatency = s.minLatencyRatio(now)
		return sel
	}
	s.recordPrompt(q.PromptTokens)
	sel.crossDataCentreCost *= s.crossDataCentreFactor(now)
	sel.workTime = s.turnEventsTime(0)
	sel.occupancyCost = r.weights.Occupancy * s.eventTimes.loadShare()
	if r.weights.PrefixAffinity && len(q.Parts) > 1 {
		sel.affinityTargets = r.affinityTargets(q.Service, q.Parts[0].ID)
	}
	return sel
}

const (
	// sufficientReportRate is the number of load reports per second that a host should receive
	// from each target. Below it, what the host knows about a target is older than a turn takes.
	sufficientReportRate = 1.0
	// minReportRate is the number of load reports per second below which the rate is not
	// significant.
	minReportRate = 1.5
	// maxCrossDataCentreFactor bounds the factor: an engine with a queue of a full batch is
	// still left for another data centre.
	maxCrossDataCentreFactor = 8
)

// crossDataCentreFactor raises the cost of other data centres for hosts that receive few load
// reports from each target. Staying in their own data centre, they receive more reports from its
// targets, prefill prompts at fewer of them and keep connections in use. Hosts that receive
// enough reports need other data centres to spread a burst.
func (s *service) crossDataCentreFactor(now time.Duration) float64 {
	rate := s.reportedLoads.rate(now, reportHalfLife)
	if rate < minReportRate {
		return 1
	}
	return min(maxCrossDataCentreFactor, max(1, sufficientReportRate*float64(len(s.targets))/rate))
}

// cost returns the cost of a target, in units of the time of one request at a full target, or in
// nanoseconds if the choice is by predicted finish.
func (r *Registry) cost(t *Target, sel *selection) float64 {
	if sel.predictFinish {
		return r.finishCost(t, sel)
	}
	w := &r.weights
	cost := w.Failure * min(maxFailures, t.decayedFailures(sel.now))
	if t.DataCentre != r.dataCentre {
		cost += sel.crossDataCentreCost
	}
	if !t.idleConns.available(sel.now) {
		cost += w.NewConnection
	}
	load := t.relativeLoad(float64(t.Load(sel.now)))
	if sel.query.PromptTokens == 0 {
		return cost + r.plainCost(t, sel, load)
	}
	return cost + r.engineCost(t, sel, load)
}

// plainCost returns the part of a plain target's cost that depends on its load and latency. A
// plain target processes each request separately, so its load counts in full.
func (r *Registry) plainCost(t *Target, sel *selection, load float64) float64 {
	return r.slowness(t, sel.minLatency, sel.now)*(1+load) - 1
}

// engineCost returns the part of an engine's cost that depends on its load, its event times and
// the prefill of the prompt. The batch of an engine hardly slows down until it is full.
func (r *Registry) engineCost(t *Target, sel *selection, load float64) float64 {
	w := &r.weights
	cost := sel.occupancyCost*min(load, 1) + w.Queue*max(0, load-1+t.relativeLoad(1))
	cost += w.Prefill * float64(t.uncachedTokens(sel)) / sel.service.meanPromptTokens
	return cost + w.SlowEvents*t.excessEventTime(load, sel.now)
}

// cacheLossFailures is the failure count from which a target is assumed to have lost its prefix
// cache: an engine that resets connections has usually restarted. Otherwise the turns of a
// program would follow their prompt back to an engine that fails each of them.
const cacheLossFailures = 0.5

// uncachedTokens returns the part of the prompt, in tokens, that the target must prefill.
func (t *Target) uncachedTokens(sel *selection) int64 {
	if t.decayedFailures(sel.now) >= cacheLossFailures {
		return sel.query.PromptTokens
	}
	cached := t.cache.cachedTokens(sel.query.Parts)
	if cached == 0 && sel.affinityTargets[t.ID] {
		cached = int64(affinityCachedShare * float64(sel.query.Parts[0].Tokens))
	}
	return max(0, sel.query.PromptTokens-cached)
}
