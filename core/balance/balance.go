// Package balance chooses the target that serves a request.
//
// A Registry holds what one entry host knows about the targets: what the platform lists, the
// load reports in their answers, the outcomes of the host's own requests, and which parts of
// prompts each model engine has in its prefix cache. Pick chooses the target with the lowest
// cost; the caller of the package reports sends, load reports and outcomes with RecordSend,
// RecordLoadReport and RecordOutcome. Where targets report how long work takes at the moment,
// the cost is the predicted time of the request plus penalties expressed as time; see
// Target.slowdown and finishCost.
//
// Times are offsets on a monotonic clock that the caller of the package provides.
package balance

import (
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/core/sched"
	"github.com/pistachioarch/pistachioarch/core/subset"
)

// TargetInfo is what the platform lists about a target.
type TargetInfo struct {
	// ID names the target. A target that restarts under its ID has a later StartedAtMs.
	ID string
	// StartedAtMs is when the target started, in milliseconds since the Unix epoch by the
	// target's own clock; 0 if targets do not report it.
	StartedAtMs int64
	Service     string
	Address     string
	DataCentre  string
	Capacity    int
	// SoftwareVersion is the version of the target's software; empty if it is not known. Targets of
	// several versions may serve side by side in one service.
	SoftwareVersion string
	// Draining targets get no new requests.
	Draining bool
	// ColdFor is how much longer after its start the target accepts only a limited request rate;
	// 0 if it is warm.
	ColdFor time.Duration
}

// Target is a target as this host knows it.
type Target struct {
	TargetInfo
	service  *service
	inFlight int
	// reported is the last load report of the target, adjusted for this host's own sends and
	// completions since then.
	reported   request.Load
	reportedAt time.Duration
	hasReport  bool
	breaker    sched.Breaker
	// failures is the decayed count of recent failures as of failuresAt; see decayedFailures.
	failures   float64
	failuresAt time.Duration
	cache      prefixCache
	latency    relativeLatency
	eventTimes decayingMean // durations of events, in nanoseconds
	intrinsic  intrinsicSlowdown
	idleConns  idleConns
	exchange   exchangeState
	cold       coldState
	// evacuated is set while the data centre of the target is evacuated.
	evacuated bool
	// Unreachable targets are not picked. The code that sets it also probes the target.
	Unreachable bool
}

// Breaker timeouts of a target: a target that fails several requests in a row is excluded for
// the minimum, doubled on each further failure up to the maximum. The maximum is shorter than a
// restart takes, and retries are frequent enough that the capacity of a recovered target is not
// unused for longer than a burst lasts.
const (
	minBreakerTimeout = 250 * time.Millisecond
	maxBreakerTimeout = 2 * time.Second
)

// Registry holds all targets known to a host. It is not safe for concurrent use.
type Registry struct {
	dataCentre     string
	weights        Weights
	targets        map[string]*Target
	services       map[string]*service
	affinityByPart map[string]map[string]bool // by first part of the prompt; sets of target IDs
	typicalTimes   map[string]float64         // nanoseconds, by kind of work
	peers          peerState
	evacuated      map[string]bool // by data centre
	// halvings says which subset of the targets the host holds; see SetHalvings.
	halvings []subset.Halvings
}

// service holds the targets of one service and what they have in common.
type service struct {
	registry *Registry
	targets  []*Target
	// minLatency is the lowest relative latency of the targets as of minLatencyAt.
	minLatency   float64
	minLatencyAt time.Duration
	// meanPromptTokens is the moving average of prompt lengths.
	meanPromptTokens float64
	eventTimes       eventTimeModel
	// reportedLoads is the decaying mean of reported loads, relative to capacity.
	reportedLoads decayingMean
	slowdowns     slowdownStats
	turns         turnStats
	// sends counts this host's sends per exchange with other hosts. needsExchange is set while
	// the load reports that the host itself receives do not suffice; reportsSufficientAt is when
	// they last did.
	sends               sendCounter
	needsExchange       bool
	reportsSufficientAt time.Duration
	// coldStart is what the configuration declares for targets that have just started.
	coldStart ColdStart
}

// promptGain is the weight of one prompt in meanPromptTokens.
const promptGain = 0.02

// recordPrompt adds the length of a prompt to the moving average.
func (s *service) recordPrompt(tokens int64) {
	if s.meanPromptTokens == 0 {
		s.meanPromptTokens = float64(tokens)
	}
	if tokens > 0 {
		s.meanPromptTokens += promptGain * (float64(tokens) - s.meanPromptTokens)
	}
}

// NewRegistry returns an empty registry for a host in dataCentre.
func NewRegistry(dataCentre string, w Weights) *Registry {
	return &Registry{
		dataCentre: dataCentre, weights: w, targets: map[string]*Target{}, services: map[string]*service{},
		affinityByPart: map[string]map[string]bool{}, typicalTimes: map[string]float64{},
	}
}

// serviceNamed returns the service of that name and creates it if necessary.
func (r *Registry) serviceNamed(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{registry: r}
		r.services[name] = s
	}
	return s
}

// SetTarget adds or updates a target. restarted reports that the target has restarted under its
// ID, or belongs to another service than before; it is then treated as a new target without
// history. Late information about an earlier incarnation is ignored.
func (r *Registry) SetTarget(info TargetInfo) (restarted bool) {
	t := r.targets[info.ID]
	switch {
	case t != nil && info.StartedAtMs < t.StartedAtMs:
		return false
	case t != nil && info.StartedAtMs > t.StartedAtMs, t != nil && info.Service != t.Service:
		r.Remove(info.ID)
		t, restarted = nil, true
	}
	if t == nil {
		s := r.serviceNamed(info.Service)
		t = &Target{service: s, cache: newPrefixCache(), breaker: sched.Breaker{Base: minBreakerTimeout, Max: maxBreakerTimeout}}
		r.targets[info.ID] = t
		s.targets = append(s.targets, t)
		r.peers.targets = nil
		clear(r.affinityByPart)
	}
	if t.Draining != info.Draining {
		clear(r.affinityByPart)
	}
	t.TargetInfo = info
	t.evacuated = r.evacuated[info.DataCentre]
	return restarted
}

// Remove removes a target; unknown IDs are ignored.
func (r *Registry) Remove(id string) {
	t := r.targets[id]
	if t == nil {
		return
	}
	delete(r.targets, id)
	r.peers.targets = nil
	clear(r.affinityByPart)
	s := r.serviceNamed(t.Service)
	s.targets = slices.DeleteFunc(s.targets, func(x *Target) bool { return x == t })
}

// RetainOnly removes all targets whose IDs are not in ids.
func (r *Registry) RetainOnly(ids map[string]bool) {
	for id := range r.targets {
		if !ids[id] {
			r.Remove(id)
		}
	}
}

// Target returns the target with this ID.
func (r *Registry) Target(id string) (*Target, bool) {
	t, ok := r.targets[id]
	return t, ok
}

// TargetIncarnation returns the target with this ID if it is still the incarnation that started
// at startedAtMs.
func (r *Registry) TargetIncarnation(id string, startedAtMs int64) (*Target, bool) {
	t, ok := r.targets[id]
	if !ok || t.StartedAtMs != startedAtMs {
		return nil, false
	}
	return t, true
}

// OthersInDataCentre returns the other targets in the data centre of a target, in no particular
// order.
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

// SoftwareVersions returns the known software versions of the targets of a service, each once.
func (r *Registry) SoftwareVersions(service string) []string {
	var versions []string
	for _, t := range r.serviceNamed(service).targets {
		if t.SoftwareVersion != "" && !slices.Contains(versions, t.SoftwareVersion) {
			versions = append(versions, t.SoftwareVersion)
		}
	}
	return versions
}

// Size returns the number of targets.
func (r *Registry) Size() int { return len(r.targets) }

// RecordSend records that a request with these prompt parts is sent to the target.
func (t *Target) RecordSend(parts []request.Part, now time.Duration) {
	t.inFlight++
	t.recordSendTime(now)
	t.idleConns.take(now)
	t.useColdWindow(now)
	t.reported.Running++
	t.breaker.RecordSend()
	t.cache.add(parts, now)
}

// MarkCached records that the target has prefilled these parts for another host.
func (t *Target) MarkCached(parts []request.Part, now time.Duration) { t.cache.add(parts, now) }

// CachedTokens returns the length in tokens of the prompt prefix that the target is expected to
// have in its prefix cache.
func (t *Target) CachedTokens(parts []request.Part) int64 { return t.cache.cachedTokens(parts) }

// Outcome is how a request at a target ended.
type Outcome uint8

// The outcomes of a request.
const (
	// Served means that the target answered.
	Served Outcome = iota
	// Refused means that the target is full.
	Refused
	// Failed means that no valid answer arrived.
	Failed
	// Abandoned means that the caller disconnected; it says nothing about the target.
	Abandoned
)

var outcomeNames = [...]string{Served: "served", Refused: "refused", Failed: "failed", Abandoned: "abandoned"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }

// RecordOutcome records the end of a request that was recorded with RecordSend.
func (t *Target) RecordOutcome(o Outcome, now time.Duration) {
	t.inFlight = max(0, t.inFlight-1)
	t.reported.Running = max(0, t.reported.Running-1)
	t.exchange.countOutcome(o)
	switch o {
	case Served:
		t.idleConns.put(now)
		t.breaker.RecordSuccess()
		t.failures = t.decayedFailures(now) * failureRetention
		t.failuresAt = now
	case Refused:
		t.idleConns.put(now)
		t.breaker.RecordInconclusive()
	case Failed:
		t.breaker.RecordFailure(now)
		t.failures = t.decayedFailures(now) + 1
		t.failuresAt = now
	default:
		t.breaker.RecordInconclusive()
	}
}

const (
	// failureHalfLife lets a failed target be retried after a few seconds.
	failureHalfLife = 3 * time.Second
	// failureRetention is the fraction of the failure count that remains after one success: a target
	// that fails one request in a hundred is not avoided, one that fails four in ten is.
	failureRetention = 0.8
	// maxFailures bounds the failure count that enters the cost.
	maxFailures = 4
)

// decayedFailures returns the failure count of the target, decayed to now.
func (t *Target) decayedFailures(now time.Duration) float64 {
	if t.failures == 0 {
		return 0
	}
	return t.failures * decay(now-t.failuresAt, failureHalfLife)
}

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
