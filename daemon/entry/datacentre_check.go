package entry

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
)

const (
	// maxFirstProbes bounds how many other targets of its data centre are probed first when a
	// target is unreachable: enough to tell a partition of the data centre from failed targets,
	// without excess probes when many hosts detect the same failed target.
	maxFirstProbes = 40
	// dataCentreCheckWindow is how long one check suppresses further checks of its data centre.
	// Otherwise each of several failed targets, detected one after the other, would start one.
	dataCentreCheckWindow = time.Second
)

// dataCentreCheck tracks the probes of the other targets of a data centre after one of them was
// found unreachable.
type dataCentreCheck struct {
	startedAt time.Time
	// pending holds the IDs of the targets probed first whose first probe has not ended.
	pending                 map[string]bool
	firstCount, failedCount int
	// remaining holds the other targets, which are probed once more than half of the first
	// probes have failed.
	remaining []balance.TargetInfo
}

// probeDataCentre probes other targets in the data centre of a target that was found
// unreachable: a partition usually affects a whole data centre, and a target that is found
// unreachable by a request costs that request. Targets that are silent too get no requests
// until their probe succeeds.
func (m *reachabilityMonitor) probeDataCentre(target string) {
	m.host.mu.Lock()
	others := m.host.registry.OthersInDataCentre(target)
	m.host.mu.Unlock()
	for _, other := range m.startDataCentreCheck(others) {
		m.probeNeighbour(other)
	}
}

// startDataCentreCheck starts a check of the data centre of others and returns the targets to
// probe first. It returns none while the window of an earlier check lasts.
func (m *reachabilityMonitor) startDataCentreCheck(others []balance.TargetInfo) []balance.TargetInfo {
	if len(others) == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	dataCentre := others[0].DataCentre
	if check := m.dataCentreChecks[dataCentre]; check != nil && time.Since(check.startedAt) < dataCentreCheckWindow {
		return nil
	}
	first := others[:min(maxFirstProbes, len(others))]
	check := &dataCentreCheck{startedAt: time.Now(), pending: map[string]bool{}, firstCount: len(first), remaining: others[len(first):]}
	for _, other := range first {
		check.pending[other.ID] = true
	}
	m.dataCentreChecks[dataCentre] = check
	return first
}

// probeNeighbour starts probes of a target. If the target is silent, it gets no requests until
// a probe succeeds.
func (m *reachabilityMonitor) probeNeighbour(neighbour balance.TargetInfo) {
	m.mu.Lock()
	silent := time.Since(m.targetLocked(neighbour.ID).lastHeard) >= dataCentreSilenceTimeout
	m.mu.Unlock()
	if silent {
		m.host.setReachable(neighbour.ID, false)
	}
	m.startProbing(neighbour.ID, neighbour.Address)
}

// handleFirstProbe handles the result of the first probe of a target. If more than half of the
// targets probed first could not be reached, the data centre is taken to be partitioned and all
// its remaining targets are probed.
func (m *reachabilityMonitor) handleFirstProbe(target string, reached bool) {
	for _, neighbour := range m.recordFirstProbe(target, reached) {
		m.probeNeighbour(neighbour)
	}
}

// recordFirstProbe records the result of the first probe of a target. It returns the remaining
// targets, once, when more than half of the first probes have failed.
func (m *reachabilityMonitor) recordFirstProbe(target string, reached bool) []balance.TargetInfo {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, check := range m.dataCentreChecks {
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
