package balance

import (
	"math"
	"time"
)

// Slowdown of targets that share their hosts with others: the factor by which work there takes
// longer than usual at the moment, from the targets' own load reports. A report is useful as long
// as the target stays in the same state; after that the target counts as the mean of its service.
const (
	// slowPhaseDuration is how long a target stays slow on average, and slowShare the fraction
	// of targets that are slow at a time, in a fleet whose slowdowns change many times in a few
	// seconds.
	slowPhaseDuration = 600 * time.Millisecond
	slowShare         = 0.15
	// slowdownMeanHalfLife is the half-life of a report in the mean of its service, which
	// changes slowly.
	slowdownMeanHalfLife = 4 * time.Second
	// slowdownPriorWeight is the weight of the prior slowdown 1 in the mean, in reports.
	slowdownPriorWeight = 0.5
	// slowdownRefreshInterval bounds how often the mean of a service is computed.
	slowdownRefreshInterval = 100 * time.Millisecond
	// maxSlowdown bounds a reported slowdown: it suffices to avoid a target, and an implausibly
	// high report weighs no more than that.
	maxSlowdown = 16
)

// slowdownHalfLife returns the half-life of the difference between a report and the mean. If a
// target switches at random between slow and usual, a report of its state loses its value at the
// sum of the rates of both switches. The time constant is therefore the duration of a slow phase
// times the fraction of targets that are not slow.
func slowdownHalfLife() time.Duration {
	timeConstant := (1 - slowShare) * slowPhaseDuration.Seconds()
	return time.Duration(math.Ln2 * timeConstant * float64(time.Second))
}

// slowdownStats summarizes the slowdowns of all targets of a service.
type slowdownStats struct {
	// reported is set if the last load report of some target has a slowdown; mean is the
	// expected slowdown of a target without a report.
	reported bool
	mean     float64
	at       time.Duration
}

// currentSlowdowns returns the slowdown statistics of the service, refreshed if they are old.
func (s *service) currentSlowdowns(now time.Duration) *slowdownStats {
	d := &s.slowdowns
	if d.mean > 0 && now-d.at < slowdownRefreshInterval {
		return d
	}
	d.at, d.reported = now, false
	sum, weight := slowdownPriorWeight, slowdownPriorWeight
	for _, t := range s.targets {
		if !t.reportsSlowdown() {
			continue
		}
		d.reported = true
		weightOfReport := decay(now-t.reportedAt, slowdownMeanHalfLife)
		sum += weightOfReport * t.reportedSlowdown()
		weight += weightOfReport
	}
	d.mean = sum / weight
	return d
}

// reportsSlowdown reports whether the target's last load report has its slowdown.
func (t *Target) reportsSlowdown() bool { return t.hasReport && t.reported.Slowdown > 0 }

func (t *Target) reportedSlowdown() float64 { return min(maxSlowdown, t.reported.Slowdown) }

// slowdown returns the factor by which work at the target is expected to take longer than usual
// now: its report, decayed with its age towards the mean of its service; 1 if no target of the
// service reports a slowdown.
func (t *Target) slowdown(now time.Duration) float64 {
	stats := t.service.currentSlowdowns(now)
	switch {
	case !stats.reported:
		return 1
	case !t.reportsSlowdown():
		return stats.mean
	}
	remaining := decay(now-t.reportedAt, slowdownHalfLife())
	return stats.mean + remaining*(t.reportedSlowdown()-stats.mean)
}

// ReportsSlowdown reports whether targets of a service report their slowdown, so that targets
// are chosen by predicted finish.
func (r *Registry) ReportsSlowdown(name string, now time.Duration) bool {
	s := r.services[name]
	return s != nil && r.usesPredictedFinish(s, now)
}

func (r *Registry) usesPredictedFinish(svc *service, now time.Duration) bool {
	return r.weights.PredictedFinish && svc.currentSlowdowns(now).reported
}
