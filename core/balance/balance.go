// Package balance decides which target serves a request.
//
// A Registry holds what one entry host knows of the targets: what the platform
// lists, what their answers say of their load, how its own requests fared, and
// which parts of prompts each model engine has read. Pick chooses by a cost that
// weighs these; the caller of the package reports back with Sent, Heard and Done.
// Where targets tell how long work takes at the moment, the cost is the predicted time of
// the request and the prices of the choice as time; see slowdown and finishCost.
package balance

import (
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/core/sched"
	"github.com/pistachioarch/pistachioarch/core/subset"
)

// TargetInfo is what the platform lists of a target.
type TargetInfo struct {
	// ID names the target. One that starts again under its id has a later Born.
	ID string
	// StartedAtMs is when the target started, in milliseconds since the Unix epoch by its own
	// clock; 0 where targets do not say so.
	StartedAtMs int64
	Service     string
	Address     string
	DataCentre  string
	Capacity    int
	// Draining targets get no new requests.
	Draining bool
	// ColdFor is how much longer the target bears few requests after its start; 0 if it is warm.
	ColdFor time.Duration
}

// Target is a target as this host knows it.
type Target struct {
	TargetInfo
	service  *service
	inFlight int
	// reported is the target's own last word of its load, changed since by this
	// host's own requests.
	reported   request.Load
	reportedAt time.Duration
	hasReport  bool
	breaker    sched.Breaker
	// faults is the recent failures, fading; see fade.
	faults   float64
	faultsAt time.Duration
	cache    prefixCache
	pace     pace
	events   recent // times of events, in nanoseconds
	own      own
	idle     idleConnections
	told     told
	cold     cold
	// evacuated is set while the data centre of the target is evacuated.
	evacuated bool
	// Unreachable targets are not picked; whoever set it probes them.
	Unreachable bool
}

// Limits of the breaker of a target: a target that fails some requests in a row is
// left alone for less time than a restart takes, and is tried again often enough
// that its places are not missed for longer than a burst lasts.
const (
	breakerBase = 250 * time.Millisecond
	breakerMax  = 2 * time.Second
)

// Registry holds all targets. Not safe for concurrent use.
type Registry struct {
	dataCentre string
	weights    Weights
	targets    map[string]*Target
	services   map[string]*service
	homeOf     map[string]map[string]bool // by first part, targets
	typical    map[string]float64         // nanoseconds by kind of work
	sharing    sharing
	evacuated  map[string]bool // data centres
	// steps are of the parts that the host holds; see Hold.
	steps []subset.Halvings
}

// service is the targets of one service.
type service struct {
	in      *Registry
	targets []*Target
	// paced is the lowest pace among them, as of pacedAt.
	paced   float64
	pacedAt time.Duration
	// prompt is the running mean of prompts, in tokens.
	prompt float64
	speed  speed
	// words is the mean of the loads that targets told, in places.
	words     recent
	slowdowns slowdowns
	turns     turns
	// sent is this host's sends by exchange with other hosts, hushed whether it hears too
	// little by itself, heardAt when it last did not; see told.go.
	sent    perExchange
	hushed  bool
	heardAt time.Duration
	// coldStart is what the configuration declares of targets that have just started.
	coldStart ColdStart
}

// promptStep is the weight of one prompt in the mean.
const promptStep = 0.02

// asked notes the length of a prompt.
func (s *service) asked(tokens int64) {
	if s.prompt == 0 {
		s.prompt = float64(tokens)
	}
	if tokens > 0 {
		s.prompt += promptStep * (float64(tokens) - s.prompt)
	}
}

// NewRegistry returns an empty registry of a host in dataCentre.
func NewRegistry(dataCentre string, w Weights) *Registry {
	return &Registry{
		dataCentre: dataCentre, weights: w, targets: map[string]*Target{}, services: map[string]*service{},
		homeOf: map[string]map[string]bool{}, typical: map[string]float64{},
	}
}

// of returns the targets of a service.
func (r *Registry) of(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{in: r}
		r.services[name] = s
	}
	return s
}

// SetTarget adds or changes a target. renewed reports that the target has started again under
// its id: it is a new one, of which nothing is known. What an earlier start said, and comes
// late, is left out.
func (r *Registry) SetTarget(l TargetInfo) (renewed bool) {
	t := r.targets[l.ID]
	switch {
	case t != nil && l.StartedAtMs < t.StartedAtMs:
		return false
	case t != nil && l.StartedAtMs > t.StartedAtMs, t != nil && l.Service != t.Service:
		r.Remove(l.ID)
		t, renewed = nil, true
	}
	if t == nil {
		s := r.of(l.Service)
		t = &Target{service: s, cache: newPrefixCache(), breaker: sched.Breaker{Base: breakerBase, Max: breakerMax}}
		r.targets[l.ID] = t
		s.targets = append(s.targets, t)
		r.sharing.listed = nil
		clear(r.homeOf)
	}
	if t.Draining != l.Draining {
		clear(r.homeOf)
	}
	t.TargetInfo = l
	t.evacuated = r.evacuated[l.DataCentre]
	return renewed
}

// Remove takes a target out that is gone.
func (r *Registry) Remove(id string) {
	t := r.targets[id]
	if t == nil {
		return
	}
	delete(r.targets, id)
	r.sharing.listed = nil
	clear(r.homeOf)
	s := r.of(t.Service)
	s.targets = slices.DeleteFunc(s.targets, func(x *Target) bool { return x == t })
}

// RetainOnly removes all targets that are not in ids.
func (r *Registry) RetainOnly(ids map[string]bool) {
	for id := range r.targets {
		if !ids[id] {
			r.Remove(id)
		}
	}
}

// Target returns a target by id.
func (r *Registry) Target(id string) (*Target, bool) {
	t, ok := r.targets[id]
	return t, ok
}

// TargetIncarnation returns a target if it has not started again since it was listed as born.
func (r *Registry) TargetIncarnation(id string, born int64) (*Target, bool) {
	t, ok := r.targets[id]
	if !ok || t.StartedAtMs != born {
		return nil, false
	}
	return t, true
}

// OthersInDataCentre returns the targets in the data centre of a target, without itself.
func (r *Registry) OthersInDataCentre(id string) []TargetInfo {
	t := r.targets[id]
	if t == nil {
		return nil
	}
	var list []TargetInfo
	for _, x := range r.targets {
		if x != t && x.DataCentre == t.DataCentre {
			list = append(list, x.TargetInfo)
		}
	}
	return list
}

// Size is the number of targets.
func (r *Registry) Size() int { return len(r.targets) }

// RecordSend notes that a request goes to the target.
func (t *Target) RecordSend(parts []request.Part, now time.Duration) {
	t.inFlight++
	t.noteSend(now)
	t.idle.take(now)
	t.spendCold(now)
	t.reported.Running++
	t.breaker.Sent()
	t.cache.add(parts, now)
}

// MarkCached notes that the target has read these parts for another host.
func (t *Target) MarkCached(parts []request.Part, now time.Duration) { t.cache.add(parts, now) }

// CachedTokens is how many tokens of the beginning of a prompt the target is believed to have read.
func (t *Target) CachedTokens(parts []request.Part) int64 { return t.cache.covered(parts) }

// Outcome is how a request at a target ended.
type Outcome uint8

// The outcomes.
const (
	// Served: the target answered.
	Served Outcome = iota
	// Refused: the target is full.
	Refused
	// Failed: no proper answer came.
	Failed
	// Abandoned: the caller left; it says nothing of the target.
	Abandoned
)

var outcomeNames = [...]string{Served: "served", Refused: "refused", Failed: "failed", Abandoned: "abandoned"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }

// RecordOutcome notes the end of a request.
func (t *Target) RecordOutcome(o Outcome, now time.Duration) {
	t.inFlight = max(0, t.inFlight-1)
	t.reported.Running = max(0, t.reported.Running-1)
	t.told.count(o)
	switch o {
	case Served:
		t.idle.put(now)
		t.breaker.Success()
		t.faults = t.fade(now) * faultKept
		t.faultsAt = now
	case Refused:
		t.idle.put(now)
		t.breaker.Inconclusive()
	case Failed:
		t.breaker.Failure(now)
		t.faults = t.fade(now) + 1
		t.faultsAt = now
	default:
		t.breaker.Inconclusive()
	}
}

const (
	// faultHalfLife lets a target that failed be tried again after some seconds.
	faultHalfLife = 3 * time.Second
	// faultKept is what one success leaves of the failures before it: a target that
	// fails one request in a hundred is not avoided, one that fails four in ten is.
	faultKept = 0.8
	// faultMost bounds the failures counted.
	faultMost = 4
)

// fade is the target's failures by now.
func (t *Target) fade(now time.Duration) float64 {
	if t.faults == 0 {
		return 0
	}
	return t.faults * fading(now-t.faultsAt, faultHalfLife)
}

// Query is what Pick needs to know of a request.
type Query struct {
	Service string
	Parts   []request.Part
	// PromptTokens is the length of the prompt; 0 for plain services.
	PromptTokens int64
	// WorkKind is the kind of work of a plain request, as for Took.
	WorkKind string
	// Draw is uniform in [0, 1), the same for the same request: it tells equal targets apart.
	Draw float64
	// Exclude lists targets that the request was at already.
	Exclude map[string]bool
	// Allowed lists the targets that may be chosen; empty: all.
	Allowed map[string]bool
	// DataCentres is the data centres whose targets may be chosen.
	DataCentres DataCentreSet
}

// DataCentreSet is a set of data centres; nil is all of them.
type DataCentreSet map[string]bool

func (c DataCentreSet) has(dataCentre string) bool { return c == nil || c[dataCentre] }

// Choice is the target picked, and what decided.
type Choice struct {
	*Target
	// Load and Capacity are the target's estimated requests and its places.
	Load, Capacity int
	// UncachedTokens is the part of the prompt, in tokens, that the target must read.
	UncachedTokens int64
	// ReportAge is the age of the target's last word of its load; negative if none.
	ReportAge time.Duration
	// Candidates is how many targets could have been picked.
	Candidates int
	// Slowdown is how many times longer than usual work takes at the target, and Predicted
	// the time of the request there; 0 where targets do not tell.
	Slowdown  float64
	Predicted time.Duration
	// NearTarget is the best target of the own data centre, and NearPredicted the time there,
	// where a target of another one was picked by predicted finish.
	NearTarget    string
	NearPredicted time.Duration
}

// Pick returns the best target for a request, if there is any.
func (r *Registry) Pick(q Query, now time.Duration) (Choice, bool) {
	var best, near *Target
	var bestCost, nearCost float64
	candidates := 0
	s := r.of(q.Service)
	v := r.view(s, q, now)
	for _, t := range s.targets {
		if q.Exclude[t.ID] || len(q.Allowed) > 0 && !q.Allowed[t.ID] || !q.DataCentres.has(t.DataCentre) || t.obstacle(now) != "" {
			continue
		}
		candidates++
		cost := r.cost(t, &v)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
		if v.told && t.DataCentre == r.dataCentre && (near == nil || cost < nearCost) {
			near, nearCost = t, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	c := best.choice(best.missing(&v), now, candidates)
	if v.told {
		c.Slowdown, c.Predicted = best.slowdown(now), r.predict(best, &v)
	}
	if near != nil && near != best && best.DataCentre != r.dataCentre {
		c.NearTarget, c.NearPredicted = near.ID, r.predict(near, &v)
	}
	return c, true
}

func (t *Target) choice(missing int64, now time.Duration, candidates int) Choice {
	c := Choice{Target: t, Load: t.estimate(now), Capacity: t.Capacity, UncachedTokens: missing, ReportAge: -1, Candidates: candidates}
	if t.hasReport {
		c.ReportAge = now - t.reportedAt
	}
	return c
}
