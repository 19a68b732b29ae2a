package balance

import (
	"math"
	"time"
)

// Slowdown of targets that share their hosts with others: how many times longer work takes
// there at the moment, as the targets' own words tell. A word is worth something for as long
// as the target stays as it was; after that a target counts as the mean of its service.
const (
	// slowPhase is how long a target stays slow, and slowShare the part of targets that are
	// slow at a time, where a word changes many times in some seconds.
	slowPhase = 600 * time.Millisecond
	slowShare = 0.15
	// meanHalfLife is of a target's word in the mean of its service, which changes slowly.
	meanHalfLife = 4 * time.Second
	// meanPrior is what a usual target counts in the mean, in words.
	meanPrior = 0.5
	// slowdownsEvery bounds how often the mean of a service is worked out.
	slowdownsEvery = 100 * time.Millisecond
	// slowdownMost bounds a word, so that one that is out of all measure does not weigh
	// more than a target that must be left.
	slowdownMost = 16
)

// slowdownHalfLife halves what a word says beyond the mean. A target that turns slow and
// usual by chance forgets its state at the sum of both rates, that is within the time of
// its slow phases times the part of usual ones.
func slowdownHalfLife() time.Duration {
	memory := (1 - slowShare) * slowPhase.Seconds()
	return time.Duration(math.Ln2 * memory * float64(time.Second))
}

// slowdowns is what is known of all targets of a service together.
type slowdowns struct {
	// told is set while some target's last word has its slowdown, mean is that of a target of
	// which nothing is known.
	told bool
	mean float64
	at   time.Duration
}

// slow returns the slowdowns of a service by now.
func (s *service) slow(now time.Duration) *slowdowns {
	d := &s.slowdowns
	if d.mean > 0 && now-d.at < slowdownsEvery {
		return d
	}
	d.at, d.told = now, false
	sum, weight := meanPrior, meanPrior
	for _, t := range s.targets {
		if !t.tells() {
			continue
		}
		d.told = true
		w := fading(now-t.reportedAt, meanHalfLife)
		sum += w * t.saidSlowdown()
		weight += w
	}
	d.mean = sum / weight
	return d
}

// tells reports whether the target's last word has its slowdown.
func (t *Target) tells() bool { return t.hasReport && t.reported.Slowdown > 0 }

func (t *Target) saidSlowdown() float64 { return min(slowdownMost, t.reported.Slowdown) }

// slowdown is how many times longer than usual work is expected to take at the target now:
// its word, fading with its age towards the mean of its service; 1 where none tell.
func (t *Target) slowdown(now time.Duration) float64 {
	d := t.service.slow(now)
	switch {
	case !d.told:
		return 1
	case !t.tells():
		return d.mean
	}
	kept := fading(now-t.reportedAt, slowdownHalfLife())
	return d.mean + kept*(t.saidSlowdown()-d.mean)
}

// ReportsSlowdown reports whether targets of a service tell how long work takes at the moment,
// so that requests go by predicted finish.
func (r *Registry) ReportsSlowdown(name string, now time.Duration) bool {
	s := r.services[name]
	return s != nil && r.told(s, now)
}

func (r *Registry) told(s *service, now time.Duration) bool {
	return r.weights.PredictedFinish && s.slow(now).told
}
