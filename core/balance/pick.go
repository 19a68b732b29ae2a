package balance

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/request"
)

// Query describes a request for Pick.
type Query struct {
	Service string
	Parts   []request.Part
	// PromptTokens is the length of the prompt; 0 for plain services.
	PromptTokens int64
	// WorkKind is the kind of work of a plain request, as passed to RecordDuration.
	WorkKind string
	// Draw is uniform in [0, 1) and the same for the same request. It breaks ties between equal
	// targets.
	Draw float64
	// Exclude holds the IDs of targets that the request was already sent to.
	Exclude map[string]bool
	// Allowed holds the IDs of the targets that may be chosen; if empty, all may.
	Allowed map[string]bool
	// SpreadBy selects one of the spreadWidth targets of the lowest cost by a hash of this text and the
	// target's ID, so that requests with different texts are kept apart; empty selects the lowest cost.
	SpreadBy string
	// DataCentres holds the data centres whose targets may be chosen.
	DataCentres DataCentreSet
	// SoftwareVersion is the software version that the target must have; if empty, any.
	SoftwareVersion string
}

// allows reports whether the target may be chosen, if it is usable.
func (q *Query) allows(t *Target) bool {
	switch {
	case q.Exclude[t.ID], len(q.Allowed) > 0 && !q.Allowed[t.ID], !q.DataCentres.has(t.DataCentre):
		return false
	}
	return q.SoftwareVersion == "" || q.SoftwareVersion == t.SoftwareVersion
}

// spreadWidth is the number of targets over which SpreadBy spreads requests.
const spreadWidth = 4

// pickSpread returns the target that SpreadBy selects. At least one target is usable.
func (r *Registry) pickSpread(q *Query, sel *selection, s *service, now time.Duration) *Target {
	type candidate struct {
		target *Target
		cost   float64
	}
	var candidates []candidate
	for _, t := range s.targets {
		if q.allows(t) && t.unusableReason(now) == "" {
			candidates = append(candidates, candidate{t, r.cost(t, sel)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	cheapest := candidates[:min(spreadWidth, len(candidates))]
	byRank := func(a, b candidate) int { return cmp.Compare(q.rank(a.target), q.rank(b.target)) }
	return slices.MinFunc(cheapest, byRank).target
}

// rank returns the rank of a target for SpreadBy.
func (q *Query) rank(t *Target) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(q.SpreadBy)) // a hash accepts all writes
	_, _ = h.Write([]byte(t.ID))
	return h.Sum32()
}

// DataCentreSet is a set of data centres; nil contains all of them.
type DataCentreSet map[string]bool

func (c DataCentreSet) has(dataCentre string) bool { return c == nil || c[dataCentre] }

// Choice is the picked target and the values that decided the choice.
type Choice struct {
	*Target
	// Load is the estimated number of requests at the target, Capacity the number that it runs
	// at once.
	Load, Capacity int
	// UncachedTokens is the part of the prompt that the target must prefill.
	UncachedTokens int64
	// ReportAge is the age of the target's last load report; negative if there is none.
	ReportAge time.Duration
	// Candidates is the number of targets that could have been picked.
	Candidates int
	// Slowdown is the factor by which work at the target takes longer than usual, and Predicted
	// the expected time of the request there; 0 if the targets of the service report no slowdown.
	Slowdown  float64
	Predicted time.Duration
	// NearTarget is the ID of the best target in the host's own data centre, and NearPredicted
	// the expected time there. They are set if a target of another data centre was picked by
	// predicted finish.
	NearTarget    string
	NearPredicted time.Duration
}

// Pick returns the target with the lowest cost for a request, or false if no target is usable.
func (r *Registry) Pick(q Query, now time.Duration) (Choice, bool) {
	var best, near *Target
	var bestCost, nearCost float64
	candidates := 0
	s := r.serviceNamed(q.Service)
	sel := r.newSelection(s, q, now)
	for _, t := range s.targets {
		if !q.allows(t) || t.unusableReason(now) != "" {
			continue
		}
		candidates++
		cost := r.cost(t, &sel)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
		if sel.predictFinish && t.DataCentre == r.dataCentre && (near == nil || cost < nearCost) {
			near, nearCost = t, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	if q.SpreadBy != "" {
		best = r.pickSpread(&q, &sel, s, now)
	}
	choice := best.choice(best.uncachedTokens(&sel), now, candidates)
	if sel.predictFinish {
		choice.Slowdown, choice.Predicted = best.slowdown(now), r.predict(best, &sel)
	}
	if near != nil && near != best && best.DataCentre != r.dataCentre {
		choice.NearTarget, choice.NearPredicted = near.ID, r.predict(near, &sel)
	}
	return choice, true
}

func (t *Target) choice(uncached int64, now time.Duration, candidates int) Choice {
	c := Choice{Target: t, Load: t.estimate(now), Capacity: t.Capacity, UncachedTokens: uncached, ReportAge: -1, Candidates: candidates}
	if t.hasReport {
		c.ReportAge = now - t.reportedAt
	}
	return c
}
