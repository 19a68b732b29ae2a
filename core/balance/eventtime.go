package balance

import "time"

// eventTimeModel fits the time of a stream event of a service's engines, in nanoseconds, to the
// load at which the stream was sent, relative to capacity. Some engines hardly slow down until
// they are full, others take four times as long.
type eventTimeModel struct{ regression }

// Bounds of the fit, and defaults until there are enough observations.
const (
	// minLoadVariance is the variance of loads that a fit needs.
	minLoadVariance = 0.005
	// The load share is the fraction of the event time at full load that is due to load.
	defaultLoadShare           = 0.5
	minLoadShare, maxLoadShare = 0.1, 1
)

// loadShare returns the fraction of the event time at full load that is due to load.
func (s *eventTimeModel) loadShare() float64 {
	atIdle, added, ok := s.fit(minLoadVariance)
	if !ok || atIdle+added <= 0 {
		return defaultLoadShare
	}
	return min(maxLoadShare, max(minLoadShare, added/(atIdle+added)))
}

// expected returns the expected time of an event at a load, in nanoseconds; 0 if nothing is
// known.
func (s *eventTimeModel) expected(load float64) float64 {
	atIdle, added, ok := s.fit(minLoadVariance)
	if !ok {
		return s.mean()
	}
	return max(0, atIdle+added*min(load, 1))
}

const (
	// eventHalfLife is the half-life of a target's own event times: about one turn, so that a
	// target that has become slow or has recovered is recognized at the next turn.
	eventHalfLife = 500 * time.Millisecond
	// eventPriorWeight is the weight of the expected event time at the target's load, in
	// observations; the events of one turn outweigh it.
	eventPriorWeight = 4
	// eventTimeTolerance is the ratio to the expected event time up to which an engine counts as
	// normal: prefill of other prompts stalls its events.
	eventTimeTolerance = 1.5
)

// RecordEvent records how long the target took for one event of a stream that was sent to it at
// a load, relative to capacity.
func (r *Registry) RecordEvent(target string, load float64, duration time.Duration, now time.Duration) {
	t := r.targets[target]
	if t == nil || duration <= 0 {
		return
	}
	if r.usesPredictedFinish(t.service, now) {
		t.recordNormalizedEvent(load, duration, now)
		return
	}
	t.service.eventTimes.observe(min(load, 1), float64(duration))
	t.eventTimes.add(float64(duration), now, eventHalfLife)
}

// excessEventTime returns by how much the target's event times exceed the tolerance at its load,
// relative to the expected time.
func (t *Target) excessEventTime(load float64, now time.Duration) float64 {
	expected := t.service.eventTimes.expected(load)
	if expected <= 0 {
		return 0
	}
	return max(0, t.eventTimes.mean(now, eventHalfLife, expected, eventPriorWeight)/expected-eventTimeTolerance)
}
