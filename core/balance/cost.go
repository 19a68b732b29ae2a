package balance

import "time"

// view is what all targets of a service have in common for one choice.
type view struct {
	q       Query
	now     time.Duration
	service *service
	fastest float64
	busy    float64
	far     float64         // cost of another data centre
	homes   map[string]bool // of the prompt's first part; nil if it has none
	// told is set where the choice is by predicted finish, work is the usual time of the
	// request then, in nanoseconds.
	told bool
	work float64
}

// view looks at a service once for all of its targets.
func (r *Registry) view(s *service, q Query, now time.Duration) view {
	v := view{q: q, now: now, service: s, far: r.weights.CrossDataCentre}
	v.told = r.told(s, now)
	if q.PromptTokens == 0 {
		v.work = r.workOf(q.WorkKind)
		v.fastest = s.fastest(now)
		return v
	}
	s.asked(q.PromptTokens)
	v.far *= s.farFactor(now)
	v.work = s.eventsTime(0)
	v.busy = r.weights.Occupancy * s.speed.busy()
	if r.weights.PrefixAffinity && len(q.Parts) > 1 {
		v.homes = r.homes(q.Service, q.Parts[0].ID)
	}
	return v
}

const (
	// heardEnough is the words of load that a host should hear of each target, a second:
	// below it what it knows of a target is older than a turn takes.
	heardEnough = 1.0
	// heardLeast is the words a second below which their rate says nothing.
	heardLeast = 1.5
	// farMost bounds the factor: an engine with a queue of a full batch is left for
	// another data centre.
	farMost = 8
)

// farFactor makes hosts that hear little of each target stay with those of their own data
// centre, so that they hear these more often, read prompts at fewer of them, and keep
// connections in use. Hosts that hear enough need other data centres to spread a burst.
func (s *service) farFactor(now time.Duration) float64 {
	rate := s.words.rate(now, wordHalfLife)
	if rate < heardLeast {
		return 1
	}
	return min(farMost, max(1, heardEnough*float64(len(s.targets))/rate))
}

// cost of a target, in units of the time of one request at a full target.
func (r *Registry) cost(t *Target, v *view) float64 {
	if v.told {
		return r.finishCost(t, v)
	}
	w := &r.weights
	cost := w.Failure * min(faultMost, t.fade(v.now))
	if t.DataCentre != r.dataCentre {
		cost += v.far
	}
	if !t.idle.any(v.now) {
		cost += w.NewConnection
	}
	load := t.perPlace(float64(t.Load(v.now)))
	if v.q.PromptTokens == 0 {
		return cost + r.plainCost(t, v, load)
	}
	return cost + r.engineCost(t, v, load)
}

// plainCost is the part of the cost of a plain target that its load and pace make up.
// It works on each request by itself, so its load counts as it is.
func (r *Registry) plainCost(t *Target, v *view, load float64) float64 {
	return r.slowness(t, v.fastest, v.now)*(1+load) - 1
}

// engineCost is the part of the cost of an engine that its load, its speed and the
// reading of the prompt make up. Its batch hardly slows down until it is full.
func (r *Registry) engineCost(t *Target, v *view, load float64) float64 {
	w := &r.weights
	cost := v.busy*min(load, 1) + w.Queue*max(0, load-1+t.perPlace(1))
	cost += w.Prefill * float64(t.missing(v)) / v.service.prompt
	return cost + w.SlowEvents*t.excess(load, v.now)
}

// distrust is the recent failures from which on a target is taken to have lost what it has
// read: an engine that breaks connections has mostly started again. Otherwise a program's
// turns would follow its prompt back to an engine that fails each of them.
const distrust = 0.5

// missing is the part of the prompt that the target has not read yet.
func (t *Target) missing(v *view) int64 {
	if t.fade(v.now) >= distrust {
		return v.q.PromptTokens
	}
	covered := t.cache.covered(v.q.Parts)
	if covered == 0 && v.homes[t.ID] {
		covered = int64(homeTrust * float64(v.q.Parts[0].Tokens))
	}
	return max(0, v.q.PromptTokens-covered)
}
