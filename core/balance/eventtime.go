package balance

import "time"

// speed is what a host has seen of the engines of a service: the time of an event, in
// nanoseconds, by the load at which its stream was sent, in places. Some engines hardly
// slow down until they are full, others take four times as long.
type speed struct{ line }

// Bounds of what the fit may say, and what is assumed until enough has been seen.
const (
	// loadSpread is the variance of loads that a fit needs.
	loadSpread = 0.005
	// The part of the time at full load that the load makes up.
	assumedBusy         = 0.5
	leastBusy, mostBusy = 0.1, 1
)

// busy is the part of the time at full load that the load makes up.
func (s *speed) busy() float64 {
	idle, added, ok := s.fit(loadSpread)
	if !ok || idle+added <= 0 {
		return assumedBusy
	}
	return min(mostBusy, max(leastBusy, added/(idle+added)))
}

// expected is the time of an event to expect at a load, 0 if nothing is known.
func (s *speed) expected(load float64) float64 {
	idle, added, ok := s.fit(loadSpread)
	if !ok {
		return s.mean()
	}
	return max(0, idle+added*min(load, 1))
}

const (
	// eventHalfLife is how long a target's own event times count: about one turn, so
	// that one that has turned slow or recovered is known as such with the next.
	eventHalfLife = 500 * time.Millisecond
	// eventPrior is what the time to expect at the target's load counts against them,
	// in observations: a turn's events outweigh it.
	eventPrior = 4
	// slowTolerance is the ratio to the time to expect up to which an engine counts as
	// normal: prompts that it reads beside stall its events.
	slowTolerance = 1.5
)

// RecordEvent notes how long the target took for one event of a stream that was sent
// to it at a load, in places.
func (r *Registry) RecordEvent(target string, load float64, d time.Duration, now time.Duration) {
	t := r.targets[target]
	if t == nil || d <= 0 {
		return
	}
	if r.told(t.service, now) {
		t.streamed(load, d, now)
		return
	}
	t.service.speed.observe(min(load, 1), float64(d))
	t.events.add(float64(d), now, eventHalfLife)
}

// excess is by how much the target's events take longer than is to be expected at its
// load, over what is expected, as far as that counts.
func (t *Target) excess(load float64, now time.Duration) float64 {
	expected := t.service.speed.expected(load)
	if expected <= 0 {
		return 0
	}
	return max(0, t.events.by(now, eventHalfLife, expected, eventPrior)/expected-slowTolerance)
}
