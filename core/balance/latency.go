package balance

import (
	"math"
	"time"
)

// Pace of plain targets: how long one takes for a kind of work against what all targets
// of the service take for it. It answers targets that turn slow under a burst. Engines
// are judged by the times of their events instead, see speed: a ratio that multiplies the
// cost of load would make turns flee from engines that read prompts, and the reading again
// elsewhere would spread it.
const (
	// paceStep is the weight of one observation of a target: work of one kind varies by
	// as much as its mean, so it takes some to make a verdict.
	paceStep = 0.06
	// typicalStep is the weight of one observation in the mean over all targets.
	typicalStep = 0.02
	// paceMost bounds a ratio, so that one stalled answer is not remembered for long.
	paceMost = 8
	// paceHalfLife lets a target that was slow be tried again.
	paceHalfLife = 3 * time.Second
	// paceTolerance is the ratio to the fastest up to which a target counts as normal:
	// targets of one service differ by some tenths, a full one is slower, and the
	// fastest of many owes some of it to luck. Below it bytes cross data centres for
	// nothing.
	paceTolerance = 2
	// pacesEvery bounds how often the fastest target of a service is looked for.
	pacesEvery = 100 * time.Millisecond
)

// pace is the running mean of one target's ratios.
type pace struct {
	ratio float64
	at    time.Duration
	known bool
}

// by is the ratio, faded towards 1 since the last observation.
func (p *pace) by(now time.Duration) float64 {
	if !p.known {
		return 1
	}
	return 1 + (p.ratio-1)*fading(now-p.at, paceHalfLife)
}

func (p *pace) observe(ratio float64, now time.Duration) {
	ratio = min(paceMost, max(1/float64(paceMost), ratio))
	p.ratio = p.by(now) + paceStep*(ratio-p.by(now))
	p.at, p.known = now, true
}

// RecordDuration notes how long the target took for a piece of work; only times of the same
// kind of work are compared.
func (r *Registry) RecordDuration(target, work string, d time.Duration, now time.Duration) {
	t := r.targets[target]
	if t == nil || d <= 0 {
		return
	}
	if r.told(t.service, now) {
		r.took(t, work, d, now)
		return
	}
	typical, known := r.typical[work]
	if !known {
		typical = float64(d)
	}
	t.pace.observe(float64(d)/typical, now)
	r.typical[work] = typical + typicalStep*(min(float64(d), paceMost*typical)-typical)
}

// fastest is the lowest ratio among the targets of a service.
func (s *service) fastest(now time.Duration) float64 {
	if s.pacedAt > 0 && now-s.pacedAt < pacesEvery {
		return s.paced
	}
	s.pacedAt, s.paced = now, math.Inf(1)
	for _, t := range s.targets {
		s.paced = min(s.paced, t.pace.by(now))
	}
	return s.paced
}

// slowness is how many times slower than the fastest the target is; 1 if it is not
// clearly slower.
func (t *Target) slowness(fastest float64, now time.Duration) float64 {
	ratio := t.pace.by(now) / fastest
	if ratio < paceTolerance {
		return 1
	}
	return ratio
}
