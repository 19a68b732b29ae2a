package balance

import (
	"cmp"
	"time"
)

// plainTime is the expected time of a plain request at the target, in nanoseconds. Work on
// a free place takes no longer because another place is busy.
func (t *Target) plainTime(v *view, load float64) float64 {
	return v.work * t.own.factor(v.now) * t.slowdown(v.now) * (1 + t.queued(load))
}

// workOf is how long a kind of plain work usually takes, in nanoseconds.
func (r *Registry) workOf(kind string) float64 {
	return cmp.Or(r.typical[kind], float64(assumedWork))
}

// took notes the time of a plain request at a target that tells its slowdown, as if the
// target were as usual.
func (r *Registry) took(t *Target, work string, d, now time.Duration) {
	usual := float64(d) / t.slowdown(now)
	typical, known := r.typical[work]
	if !known {
		typical = usual
	}
	if t.reported.Waiting == 0 {
		t.own.observe(usual/typical, now)
	}
	r.typical[work] = typical + typicalStep*(min(usual, paceMost*typical)-typical)
}
