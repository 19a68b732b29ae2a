package balance

import (
	"cmp"
	"time"
)

// plainTime returns the expected time of a plain request at the target, in nanoseconds. Requests
// below the target's capacity do not slow each other down.
func (t *Target) plainTime(sel *selection, load float64) float64 {
	return sel.workTime * t.intrinsic.factor(sel.now) * t.slowdown(sel.now) * (1 + t.waitShare(load))
}

// typicalTime returns the usual time of a kind of plain work, in nanoseconds.
func (r *Registry) typicalTime(kind string) float64 {
	return cmp.Or(r.typicalTimes[kind], float64(defaultWorkTime))
}

// recordNormalizedDuration records the duration of a plain request at a target that reports its
// slowdown, divided by that slowdown.
func (r *Registry) recordNormalizedDuration(t *Target, workKind string, duration, now time.Duration) {
	normalized := float64(duration) / t.slowdown(now)
	typical, known := r.typicalTimes[workKind]
	if !known {
		typical = normalized
	}
	if t.reported.Waiting == 0 {
		t.intrinsic.observe(normalized/typical, now)
	}
	r.typicalTimes[workKind] = typical + typicalGain*(min(normalized, maxLatencyRatio*typical)-typical)
}
