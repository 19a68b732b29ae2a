package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/loads"
)

const (
	// exchangeStartRatio and exchangeStopRatio bound the load reports per second from each
	// target of a service, relative to sufficientReportRate: below the first a host receives too
	// few by itself, above the second it receives enough again.
	exchangeStartRatio, exchangeStopRatio = 0.4, 0.8
	// exchangeStartDelay is how long the rate must have been too low: a host that has just
	// started, or whose callers have, receives few reports at first.
	exchangeStartDelay = 3 * time.Second
	// peerTrustWindow is how long the in-flight counts of other hosts count in full after an
	// exchange, so that one lost exchange does not make all targets look empty. After it they
	// halve with each peerHalfLife.
	peerTrustWindow = 300 * time.Millisecond
	peerHalfLife    = 300 * time.Millisecond
	// peerFailureWeight is the weight of a failure seen by another host relative to one of this
	// host's: the network link of a single host may be at fault, but the failures of three hosts
	// are taken to be the target's.
	peerFailureWeight = 0.4
	// minReportAdvance is how much newer a load report must be to replace the present one: ages
	// are transmitted in steps, and a host's own report sent back to it is not newer.
	minReportAdvance = 20 * time.Millisecond
	// maxSendTimes is the number of recent sends remembered per target.
	maxSendTimes = 8
	// sendsGain is the weight of one interval in the mean number of sends per interval.
	sendsGain = 0.2
)

// peerState is the state of the exchange with other hosts.
type peerState struct {
	// salt makes this host's random choices differ from those of hosts with the same
	// information.
	salt uint64
	// updatedAt is the time of the last update and exchanges the number of updates; updated is
	// false before the first one.
	updatedAt time.Duration
	updated   bool
	// regularSince is the first update of the present series without a long gap.
	regularSince time.Duration
	exchanges    uint64
	otherHosts   int
	// targets holds the targets that can be exchanged, in order of ID; nil after a change of the
	// targets. byKey holds the same targets by key.
	targets []*Target
	byKey   map[loads.Key]*Target
}

// exchangeState is what other hosts report about a target, and what this host reports to them.
type exchangeState struct {
	key            loads.Key
	registry       *Registry
	othersInFlight int
	localReport    loads.LoadReport
	hasLocalReport bool
	// failed and served count the outcomes of this host's requests.
	failed, served uint32
	// sendTimes holds the times of the most recent sends, the oldest first.
	sendTimes []time.Duration
}

// sendCounter counts the sends to a service since the last exchange and their mean per interval.
// fillLevel is the load, relative to capacity, to which the other hosts are expected to fill
// targets until the next exchange.
type sendCounter struct {
	sinceExchange   int
	meanPerInterval float64
	fillLevel       float64
}

// SetSalt sets the salt of the host's random choices. Hosts with the same information need
// different salts to choose differently.
func (r *Registry) SetSalt(salt uint64) { r.peers.salt = salt }

// recordSendTime counts a send of this host and remembers its time.
func (t *Target) recordSendTime(now time.Duration) {
	t.service.sends.sinceExchange++
	if len(t.exchange.sendTimes) == maxSendTimes {
		t.exchange.sendTimes = slices.Delete(t.exchange.sendTimes, 0, 1)
	}
	t.exchange.sendTimes = append(t.exchange.sendTimes, now)
}

// countOutcome counts an outcome that says something about the target.
func (x *exchangeState) countOutcome(o Outcome) {
	switch o {
	case Served:
		x.served++
	case Failed:
		x.failed++
	}
}

// indexTargets builds the list of targets that can be exchanged: those whose key is unique.
func (r *Registry) indexTargets() {
	peers := &r.peers
	if peers.targets != nil {
		return
	}
	peers.targets, peers.byKey = make([]*Target, 0, len(r.targets)), map[loads.Key]*Target{}
	duplicates := map[loads.Key]bool{}
	for _, t := range r.targets {
		t.exchange.key, t.exchange.registry = loads.KeyOf(t.ID, t.StartedAtMs), r
		if peers.byKey[t.exchange.key] != nil {
			duplicates[t.exchange.key] = true
		}
		peers.byKey[t.exchange.key] = t
		peers.targets = append(peers.targets, t)
	}
	peers.targets = slices.DeleteFunc(peers.targets, func(t *Target) bool { return duplicates[t.exchange.key] })
	slices.SortFunc(peers.targets, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	for key := range duplicates {
		delete(peers.byKey, key)
	}
	for _, svc := range r.services {
		svc.shuffle(peers.salt)
	}
}

// shuffle orders the targets by host, so that hosts choose different ones of equal cost.
func (s *service) shuffle(salt uint64) {
	slices.SortFunc(s.targets, func(a, b *Target) int {
		return cmp.Compare(uniform(salt, uint64(a.exchange.key)), uniform(salt, uint64(b.exchange.key)))
	})
}

// Observations returns what this host itself has observed of each target, in order of ID.
func (r *Registry) Observations() []loads.Observation {
	r.indexTargets()
	list := make([]loads.Observation, 0, len(r.peers.targets))
	for _, t := range r.peers.targets {
		state := &t.exchange
		list = append(list, loads.Observation{
			Key: state.key, InFlight: t.inFlight, Failed: state.failed, Served: state.served, LoadReport: state.localReport, HasLoadReport: state.hasLocalReport,
		})
	}
	return list
}

// InFlight returns the number of this host's requests at all targets.
func (r *Registry) InFlight() int {
	n := 0
	for _, t := range r.targets {
		n += t.inFlight
	}
	return n
}

// NeedsLoadExchange reports whether this host needs load reports from other hosts. It does if it
// receives few reports from the targets of a service; if targets report their slowdown, which
// changes faster than one host receives reports; or if some targets are cold, since each host
// sends a part of their declared rate and must know the number of hosts.
func (r *Registry) NeedsLoadExchange(now time.Duration) bool {
	needed := false
	for _, s := range r.services {
		needed = s.updateNeedsExchange(now) || s.anyCold(now) || needed // each service updates its own state
	}
	return needed
}

// updateNeedsExchange updates and returns needsExchange: whether the host receives too few load
// reports from a service, or its targets report a slowdown. While the host sends few requests,
// the rate of reports is not significant.
func (s *service) updateNeedsExchange(now time.Duration) bool {
	rate, sufficient := s.reportedLoads.rate(now, reportHalfLife), sufficientReportRate*float64(len(s.targets))
	if rate < minReportRate || rate > exchangeStartRatio*sufficient && !s.hasSlowdownReport() {
		s.reportsSufficientAt = now
	}
	switch {
	case rate >= minReportRate && s.hasSlowdownReport(), now-s.reportsSufficientAt > exchangeStartDelay:
		s.needsExchange = true
	case rate > exchangeStopRatio*sufficient:
		s.needsExchange = false
	}
	return s.needsExchange
}

// hasSlowdownReport reports whether a target of the service has reported its slowdown to this
// host.
func (s *service) hasSlowdownReport() bool {
	return slices.ContainsFunc(s.targets, func(t *Target) bool { return t.exchange.hasLocalReport && t.exchange.localReport.Load.Slowdown > 0 })
}

// ApplyUpdate applies an update from the exchange with other hosts.
func (r *Registry) ApplyUpdate(update loads.Update, now time.Duration) {
	if !update.Accepted {
		return
	}
	r.indexTargets()
	peers := &r.peers
	if update.Reset {
		for _, t := range r.targets {
			t.exchange.othersInFlight = 0
		}
	}
	if !peers.updated || now-peers.updatedAt > maxHostCountAge {
		peers.regularSince = now
	}
	peers.updated, peers.updatedAt, peers.otherHosts = true, now, update.OtherHosts
	peers.exchanges++
	for _, targetUpdate := range update.Targets {
		if t := peers.byKey[targetUpdate.Key]; t != nil {
			t.applyUpdate(targetUpdate, now)
		}
	}
	for _, s := range r.services {
		r.startInterval(s, now)
	}
}

// UpdateAge returns the time since the last update from other hosts; negative if there was none.
func (r *Registry) UpdateAge(now time.Duration) time.Duration {
	if !r.peers.updated {
		return -1
	}
	return now - r.peers.updatedAt
}

// applyUpdate applies what other hosts report about the target.
func (t *Target) applyUpdate(update loads.TargetUpdate, now time.Duration) {
	t.exchange.othersInFlight = update.OthersInFlight
	if update.HasLoadReport && (!t.hasReport || update.LoadReport.ReceivedAt > t.reportedAt+minReportAdvance) {
		t.reported, t.reportedAt, t.hasReport = update.LoadReport.Load, update.LoadReport.ReceivedAt, true
		t.reported.Running += t.sentSince(update.LoadReport.ReceivedAt)
	}
	if update.Failed == 0 && (update.Served == 0 || t.failures == 0) {
		return
	}
	// The failures of the other hosts occurred between their successes: on average half of the
	// successes follow each failure.
	remaining := math.Pow(failureRetention, peerFailureWeight*float64(update.Served)/2)
	t.failures = min(maxFailures, (t.decayedFailures(now)*remaining+peerFailureWeight*float64(update.Failed))*remaining)
	t.failuresAt = now
}

// sentSince returns the number of this host's requests that were sent after an instant and may
// still be at the target.
func (t *Target) sentSince(at time.Duration) int {
	n := 0
	for _, sentAt := range t.exchange.sendTimes {
		if sentAt > at {
			n++
		}
	}
	return min(n, t.inFlight)
}

// trust returns the weight in [0, 1] of the in-flight counts of other hosts.
func (s *peerState) trust(now time.Duration) float64 {
	if !s.updated {
		return 0
	}
	return decay(now-s.updatedAt-peerTrustWindow, peerHalfLife)
}

// withOthersInFlight returns the larger of an estimate and the known in-flight requests of all
// hosts. The target's own load report also counts requests from other data centres, but is as
// old as its last answer.
func (t *Target) withOthersInFlight(local int, now time.Duration) int {
	if t.exchange.registry == nil || t.exchange.othersInFlight == 0 {
		return local
	}
	others := t.exchange.registry.peers.trust(now) * float64(t.exchange.othersInFlight)
	return max(local, t.inFlight+int(math.Round(others)))
}

// withExpectedSends adds to an estimate the requests that other hosts are expected to have sent
// since the last exchange. They fill the targets below the fill level. The amount is random, so
// that a host may choose any of these targets, the emptiest most often. Otherwise hosts with the
// same information would all choose the target that was emptiest at their last exchange.
// Estimates for engines stay as they are: turns go where their prompt is cached, which already
// makes the hosts' choices differ, and a random choice would prefill the prompts again.
func (t *Target) withExpectedSends(load int, now time.Duration) int {
	if t.exchange.registry == nil || t.service.meanPromptTokens > 0 {
		return load
	}
	peers := &t.exchange.registry.peers
	free := t.service.sends.fillLevel*float64(t.Capacity) - float64(load)
	if peers.otherHosts == 0 || free <= 0 || now-peers.updatedAt > peerTrustWindow+peerHalfLife {
		return load
	}
	draw := uniform(peers.salt, uint64(t.exchange.key), peers.exchanges, uint64(t.service.sends.sinceExchange))
	return load + int(math.Round(2*draw*free))
}

// startInterval starts the next exchange interval of a service.
func (r *Registry) startInterval(s *service, now time.Duration) {
	p := &s.sends
	p.meanPerInterval += sendsGain * (float64(p.sinceExchange) - p.meanPerInterval)
	p.sinceExchange = 0
	if s.meanPromptTokens > 0 {
		return // see withExpectedSends
	}
	p.fillLevel = r.fillLevel(s, p.meanPerInterval*float64(r.peers.otherHosts), now)
}

// fillLevel returns the load, relative to capacity, to which a number of requests fills the
// preferred targets.
func (r *Registry) fillLevel(s *service, requests float64, now time.Duration) float64 {
	near := r.preferredTargets(s, now)
	slices.SortFunc(near, func(a, b occupancy) int { return cmp.Compare(a.load, b.load) })
	total, capacity := requests, 0.0
	for i, o := range near {
		total += o.load * o.capacity
		capacity += o.capacity
		if level := total / capacity; i+1 == len(near) || level <= near[i+1].load {
			return level
		}
	}
	return 0
}

// occupancy is the load of a target, relative to its capacity, and the capacity.
type occupancy struct{ load, capacity float64 }

// preferredTargets returns the usable targets that hosts of this data centre choose first: its
// own, or all if it has none.
func (r *Registry) preferredTargets(s *service, now time.Duration) []occupancy {
	var near, all []occupancy
	for _, t := range s.targets {
		if t.unusableReason(now) != "" {
			continue
		}
		o := occupancy{t.relativeLoad(float64(t.estimate(now))), float64(max(1, t.Capacity))}
		all = append(all, o)
		if t.DataCentre == r.dataCentre {
			near = append(near, o)
		}
	}
	if len(near) == 0 {
		return all
	}
	return near
}

// uniform returns a number in [0, 1) that is a hash of its arguments.
func uniform(values ...uint64) float64 {
	x := uint64(0)
	for _, v := range values {
		x = (x ^ v) * 0x9e3779b97f4a7c15
		x ^= x >> 32
	}
	return float64(x>>11) / (1 << 53)
}
