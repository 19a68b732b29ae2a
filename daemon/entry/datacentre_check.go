package entry

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
)

const (
	// suspectMost is how many targets beside an unreachable one are probed at first: enough to
	// tell a cut of their data centre from targets that have failed, and no more where many
	// hosts find one of those.
	maxFirstProbes = 40
	// suspectFor is for how long one suspicion stands for a data centre: while targets that
	// have failed are found one after the other, each would begin another.
	dataCentreCheckWindow = time.Second
)

// suspicion is the probes of the targets beside one that was found unreachable.
type dataCentreCheck struct {
	startedAt time.Time
	// asked is those of the first ones whose probe has not ended.
	pending                 map[string]bool
	firstCount, failedCount int
	// rest is probed once most of the first have been missed.
	remaining []balance.TargetInfo
}

// suspect probes targets beside one that was found unreachable: a cut mostly takes a whole data
// centre, and each target found by a request costs that request. Those that are silent too get
// nothing until their probe has come through.
func (r *reachabilityMonitor) probeDataCentre(target string) {
	r.host.mu.Lock()
	others := r.host.registry.OthersInDataCentre(target)
	r.host.mu.Unlock()
	for _, other := range r.startDataCentreCheck(others) {
		r.probeNeighbour(other)
	}
}

// begin returns the targets of a data centre to probe first, none while a suspicion stands.
func (r *reachabilityMonitor) startDataCentreCheck(others []balance.TargetInfo) []balance.TargetInfo {
	if len(others) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	dataCentre := others[0].DataCentre
	if check := r.dataCentreChecks[dataCentre]; check != nil && time.Since(check.startedAt) < dataCentreCheckWindow {
		return nil
	}
	first := others[:min(maxFirstProbes, len(others))]
	check := &dataCentreCheck{startedAt: time.Now(), pending: map[string]bool{}, firstCount: len(first), remaining: others[len(first):]}
	for _, other := range first {
		check.pending[other.ID] = true
	}
	r.dataCentreChecks[dataCentre] = check
	return first
}

// doubt probes a target, which gets nothing until then if it is silent.
func (r *reachabilityMonitor) probeNeighbour(neighbour balance.TargetInfo) {
	r.mu.Lock()
	silent := time.Since(r.targetLocked(neighbour.ID).lastHeard) >= dataCentreSilenceTimeout
	r.mu.Unlock()
	if silent {
		r.host.setReachable(neighbour.ID, false)
	}
	r.startProbing(neighbour.ID, neighbour.Address)
}

// judge notes the first probe of a target. Where most of those probed at first are missed, the
// data centre is taken to be cut off, and all others are probed.
func (r *reachabilityMonitor) handleFirstProbe(target string, reached bool) {
	for _, neighbour := range r.recordFirstProbe(target, reached) {
		r.probeNeighbour(neighbour)
	}
}

// condemned returns the targets to probe as most of those beside them were missed.
func (r *reachabilityMonitor) recordFirstProbe(target string, reached bool) []balance.TargetInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, check := range r.dataCentreChecks {
		if !check.pending[target] {
			continue
		}
		delete(check.pending, target)
		if !reached {
			check.failedCount++
		}
		if 2*check.failedCount > check.firstCount {
			remaining := check.remaining
			check.remaining = nil
			return remaining
		}
	}
	return nil
}
