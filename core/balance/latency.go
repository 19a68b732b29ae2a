package balance

import (
	"math"
	"time"
)

// Relative latency of plain targets: the time that a target takes for a kind of work relative to
// the mean of all targets of the service. It detects targets that become slow under a burst.
// Engines are compared by the times of their events instead, see eventTimeModel: a factor on the
// cost of load would drive turns away from engines that are prefilling prompts, and prefilling
// the prompts again elsewhere would spread the slowdown.
const (
	// latencyGain is the weight of one observation of a target. The time of one kind of work
	// varies by as much as its mean, so several observations are needed to call a target slow.
	latencyGain = 0.06
	// typicalGain is the weight of one observation in the mean over all targets.
	typicalGain = 0.02
	// maxLatencyRatio bounds a ratio, so that one stalled answer does not count for long.
	maxLatencyRatio = 8
	// latencyHalfLife lets a slow target be retried.
	latencyHalfLife = 3 * time.Second
	// latencyTolerance is the ratio to the fastest target up to which a target counts as normal:
	// targets of one service differ by some tenths, a full target is slower, and the fastest of
	// many is partly so by chance. With a lower tolerance requests cross data centres for no
	// gain.
	latencyTolerance = 2
	// minLatencyRefreshInterval bounds how often the lowest ratio of a service is computed.
	minLatencyRefreshInterval = 100 * time.Millisecond
)

// relativeLatency is the moving average of the latency ratios of one target.
type relativeLatency struct {
	ratio float64
	at    time.Duration
	known bool
}

// decayed returns the ratio, decayed towards 1 since the last observation.
func (p *relativeLatency) decayed(now time.Duration) float64 {
	if !p.known {
		return 1
	}
	return 1 + (p.ratio-1)*decay(now-p.at, latencyHalfLife)
}

func (p *relativeLatency) observe(ratio float64, now time.Duration) {
	ratio = min(maxLatencyRatio, max(1/float64(maxLatencyRatio), ratio))
	p.ratio = p.decayed(now) + latencyGain*(ratio-p.decayed(now))
	p.at, p.known = now, true
}

// RecordDuration records how long the target took for a request; only durations of the same kind
// of work are compared.
func (r *Registry) RecordDuration(target, workKind string, duration time.Duration, now time.Duration) {
	t := r.targets[target]
	if t == nil || duration <= 0 {
		return
	}
	if r.usesPredictedFinish(t.service, now) {
		r.recordNormalizedDuration(t, workKind, duration, now)
		return
	}
	typical, known := r.typicalTimes[workKind]
	if !known {
		typical = float64(duration)
	}
	t.latency.observe(float64(duration)/typical, now)
	r.typicalTimes[workKind] = typical + typicalGain*(min(float64(duration), maxLatencyRatio*typical)-typical)
}

// minLatencyRatio returns the lowest ratio of the targets of a service.
func (s *service) minLatencyRatio(now time.Duration) float64 {
	if s.minLatencyAt > 0 && now-s.minLatencyAt < minLatencyRefreshInterval {
		return s.minLatency
	}
	s.minLatencyAt, s.minLatency = now, math.Inf(1)
	for _, t := range s.targets {
		s.minLatency = min(s.minLatency, t.latency.decayed(now))
	}
	return s.minLatency
}

// relativeSlowness returns how many times slower than the fastest target the target is, or 1 if
// the ratio is below the tolerance.
func (t *Target) relativeSlowness(fastest float64, now time.Duration) float64 {
	ratio := t.latency.decayed(now) / fastest
	if ratio < latencyTolerance {
		return 1
	}
	return ratio
}
