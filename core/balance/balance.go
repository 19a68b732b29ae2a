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
	"maps"
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

// IDsExcept returns the IDs of all targets that are not in ids, in no order.
func (r *Registry) IDsExcept(ids map[string]bool) []string {
	var list []string
	for id := range r.targets {
		if !ids[id] {
			list = append(list, id)
		}
	}
	return list
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

// AddressHolders returns the targets of a service that are listed at an address. A target that has crashed is
// listed for some time beside the one that has taken its place.
func (r *Registry) AddressHolders(service, address string) []*Target {
	var list []*Target
	for _, t := range r.serviceNamed(service).targets {
		if t.Address == address {
			list = append(list, t)
		}
	}
	return list
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

// HasTargets reports whether a service has targets.
func (r *Registry) HasTargets(service string) bool { return len(r.serviceNamed(service).targets) > 0 }

// Services returns the names of the services that have or had targets, in no order.
func (r *Registry) Services() []string { return slices.Collect(maps.Keys(r.services)) }

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
