package balance

import (
	"cmp"
	"time"
)

// turnStats holds what a host has observed of the turns of a service whose engines report their
// slowdown, normalized to an engine at its usual speed: the time to the first event as a
// function of the uncached tokens, in thousands, and the number of events per turn.
type turnStats struct {
	prefillTime regression
	// started and events count turns and their events, decayed by regressionRetention with each
	// turn.
	started float64
	events  float64
}

const (
	// minPrefillVariance is the variance of the uncached tokens, counted in thousands, that a fit
	// needs.
	minPrefillVariance = 0.05
	// minPrefillTime and maxPrefillTime bound the prefill time of a thousand tokens: random variation
	// of first events must neither make a cached prompt worthless nor bind turns to it.
	minPrefillTime, maxPrefillTime = 2 * time.Millisecond, 100 * time.Millisecond
	// defaultPrefillTime is the prefill time of a thousand tokens until it is known.
	defaultPrefillTime = 15 * time.Millisecond
	// defaultEventsPerTurn is the number of events of a turn until it is known.
	defaultEventsPerTurn = 4
	// eventsPriorTurns is the weight of defaultEventsPerTurn, in turns.
	eventsPriorTurns = 10
	// prefillTimeWeight is the weight of the prefill time in the cost: a prefilled prompt displaces
	// others in the memory of the engine, which must be prefilled again later.
	prefillTimeWeight = 3
	// turnSlowdownWeight is the fraction of a slowdown that counts against an engine: a turn
	// should not lose its cached prompt to a slowdown that will soon be over.
	turnSlowdownWeight = 0.25
)

// RecordFirstEvent records the delay of the first event of a stream that was sent at a load,
// relative to capacity, and for which the target had to prefill a number of uncached tokens.
func (r *Registry) RecordFirstEvent(target string, load float64, uncached int64, delay, now time.Duration) {
	t := r.targets[target]
	if t == nil || delay <= 0 || !r.usesPredictedFinish(t.service, now) {
		return
	}
	stats := &t.service.turns
	stats.started = stats.started*regressionRetention + 1
	stats.events = stats.events*regressionRetention + 1
	if t.waitShare(load) > 0 {
		return
	}
	stats.prefillTime.observe(float64(uncached)/1000, float64(delay)/(t.slowdown(now)*t.intrinsic.factor(now)))
}

// timeToPrefill returns the time to prefill a number of tokens, in nanoseconds.
func (n *turnStats) timeToPrefill(tokens int64) float64 {
	_, perThousand, ok := n.prefillTime.fit(minPrefillVariance)
	if !ok {
		perThousand = float64(defaultPrefillTime)
	}
	return float64(tokens) / 1000 * min(float64(maxPrefillTime), max(float64(minPrefillTime), perThousand))
}

// eventsPerTurn returns the expected number of events of a turn.
func (n *turnStats) eventsPerTurn() float64 {
	return (n.events + defaultEventsPerTurn*eventsPriorTurns) / (n.started + eventsPriorTurns)
}

// recordNormalizedEvent records the duration of one event of an engine that reports its
// slowdown, divided by that slowdown.
func (t *Target) recordNormalizedEvent(load float64, duration, now time.Duration) {
	normalized := float64(duration) / t.slowdown(now)
	svc := t.service
	if expected := svc.eventTimes.expected(load); expected > 0 {
		t.intrinsic.observe(normalized/expected, now)
	}
	svc.eventTimes.observe(min(load, 1), normalized)
	svc.turns.events++
}

// turnEventsTime returns the time of a turn's events at a load on an engine at its usual speed,
// in nanoseconds.
func (s *service) turnEventsTime(load float64) float64 {
	return s.turns.eventsPerTurn() * cmp.Or(s.eventTimes.expected(load), float64(defaultEventTime))
}

// turnTime returns the expected time of a turn at the engine, in nanoseconds: prefill of the
// uncached tokens, events, and the wait in the queue.
func (t *Target) turnTime(sel *selection, load float64) float64 {
	eventsTime := sel.service.turnEventsTime(load)
	total := sel.service.turns.timeToPrefill(t.uncachedTokens(sel)) + eventsTime*(1+t.waitShare(load))
	return total * t.intrinsic.factor(sel.now) * t.slowdown(sel.now)
}

// turnCost returns the cost of a turn at the engine, in nanoseconds: its time and the delay that
// it causes to others. A turn that leaves the engine with its cached prompt must be prefilled at
// another engine, now and perhaps at each later turn. So prefill weighs more than its time, and
// a slowdown that will soon be over weighs less.
func (t *Target) turnCost(sel *selection, load float64) float64 {
	prefillTime, slowdown := sel.service.turns.timeToPrefill(t.uncachedTokens(sel)), t.slowdown(sel.now)
	total := prefillTimeWeight*prefillTime + sel.service.turnEventsTime(load)*(1+t.waitShare(load))
	runningRequests := min(1, load) * float64(t.Capacity)
	stallTime := prefillTime * runningRequests * slowdown
	return (total*(1+turnSlowdownWeight*(slowdown-1)) + stallTime) * t.intrinsic.factor(sel.now)
}
