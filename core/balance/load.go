package balance

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/loads"
	"github.com/pistachioarch/pistachioarch/core/request"
)

const (
	// reportTrustWindow is how long a load report counts in full: a few turns.
	reportTrustWindow = time.Second
	// reportHalfLife is the half-life of a load report after that.
	reportHalfLife = time.Second
	// emptyPriorWeight is the weight, in load reports, of the prior that a service is empty. A
	// host that has rejected all requests receives no reports and must accept requests again.
	emptyPriorWeight = 0.75
)

// RecordLoadReport records the load report of an answer from the target.
func (t *Target) RecordLoadReport(load request.Load, now time.Duration) {
	t.reported, t.reportedAt, t.hasReport = load, now, true
	t.exchange.localReport, t.exchange.hasLocalReport = loads.LoadReport{Load: load, ReceivedAt: now}, true
	if load.Capacity > 0 {
		t.Capacity = load.Capacity
	}
	t.service.reportedLoads.add(t.relativeLoad(float64(load.Running+load.Waiting)), now, reportHalfLife)
}

// relativeLoad returns a number of requests relative to the capacity of the target.
func (t *Target) relativeLoad(requests float64) float64 {
	return requests / float64(max(1, t.Capacity))
}

// Load returns the estimated number of requests at the target that is used to compare targets.
// Hosts with the same information get different estimates, so that they do not all choose the
// same target.
func (t *Target) Load(now time.Duration) int { return t.withExpectedSends(t.estimate(now), now) }

// estimate returns the number of requests at the target, from this host's information and from
// what hosts exchange.
func (t *Target) estimate(now time.Duration) int {
	return t.withOthersInFlight(t.localEstimate(now), now)
}

// localEstimate returns the larger of the target's load report and this host's own count of
// requests there. A target that has never reported is treated as new and empty.
//
// An old load report decays to the mean of the reports of its service. Among many hosts, each
// receives a report from a target once in several seconds. If the target then counted as empty
// although all that reported were full, it would attract more than the engines can serve, and no
// program would be rejected.
func (t *Target) localEstimate(now time.Duration) int {
	if !t.hasReport {
		return t.inFlight
	}
	reported := float64(t.reported.Running + t.reported.Waiting)
	if age := now - t.reportedAt; age > reportTrustWindow {
		remaining := decay(age-reportTrustWindow, reportHalfLife)
		mean := t.service.reportedLoads.mean(now, reportHalfLife, 0, emptyPriorWeight) * float64(t.Capacity)
		reported = remaining*reported + (1-remaining)*mean
	}
	return max(t.inFlight, int(reported))
}

// MeanLoad returns the load of a service in some data centres, relative to their capacity.
// Draining, unreachable and evacuated targets are left out.
func (r *Registry) MeanLoad(name string, dataCentres DataCentreSet, now time.Duration) float64 {
	load, capacity := 0, 0
	for _, t := range r.serviceNamed(name).targets {
		if t.Draining || t.Unreachable || t.evacuated || !dataCentres.has(t.DataCentre) {
			continue
		}
		load += t.estimate(now)
		capacity += t.Capacity
	}
	return float64(load) / float64(max(1, capacity))
}
