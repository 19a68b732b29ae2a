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
	near := r.host.registry.OthersInDataCentre(target)
	r.host.mu.Unlock()
	for _, x := range r.startDataCentreCheck(near) {
		r.probeNeighbour(x)
	}
}

// begin returns the targets of a data centre to probe first, none while a suspicion stands.
func (r *reachabilityMonitor) startDataCentreCheck(near []balance.TargetInfo) []balance.TargetInfo {
	if len(near) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	dc := near[0].DataCentre
	if s := r.dataCentreChecks[dc]; s != nil && time.Since(s.startedAt) < dataCentreCheckWindow {
		return nil
	}
	first := near[:min(maxFirstProbes, len(near))]
	s := &dataCentreCheck{startedAt: time.Now(), pending: map[string]bool{}, firstCount: len(first), remaining: near[len(first):]}
	for _, x := range first {
		s.pending[x.ID] = true
	}
	r.dataCentreChecks[dc] = s
	return first
}

// doubt probes a target, which gets nothing until then if it is silent.
func (r *reachabilityMonitor) probeNeighbour(x balance.TargetInfo) {
	r.mu.Lock()
	silent := time.Since(r.targetLocked(x.ID).lastHeard) >= dataCentreSilenceTimeout
	r.mu.Unlock()
	if silent {
		r.host.setReachable(x.ID, false)
	}
	r.startProbing(x.ID, x.Address)
}

// judge notes the first probe of a target. Where most of those probed at first are missed, the
// data centre is taken to be cut off, and all others are probed.
func (r *reachabilityMonitor) handleFirstProbe(target string, reached bool) {
	for _, x := range r.recordFirstProbe(target, reached) {
		r.probeNeighbour(x)
	}
}

// condemned returns the targets to probe as most of those beside them were missed.
func (r *reachabilityMonitor) recordFirstProbe(target string, reached bool) []balance.TargetInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.dataCentreChecks {
		if !s.pending[target] {
			continue
		}
		delete(s.pending, target)
		if !reached {
			s.failedCount++
		}
		if 2*s.failedCount > s.firstCount {
			rest := s.remaining
			s.remaining = nil
			return rest
		}
	}
	return nil
}
