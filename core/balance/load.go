package balance

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/loads"
	"github.com/pistachioarch/pistachioarch/core/request"
)

const (
	// wordTrust is how long a target's word of its load counts in full: some turns.
	wordTrust = time.Second
	// wordHalfLife halves it from then on.
	wordHalfLife = time.Second
	// emptyWords is what a service of which nothing is heard counts as empty, in words:
	// a host that turned everybody away hears nothing, and must open again.
	emptyWords = 0.75
)

// RecordLoadReport takes the load that an answer reports.
func (t *Target) RecordLoadReport(load request.Load, now time.Duration) {
	t.reported, t.reportedAt, t.hasReport = load, now, true
	t.told.word, t.told.hasWord = loads.LoadReport{Load: load, ReceivedAt: now}, true
	if load.Capacity > 0 {
		t.Capacity = load.Capacity
	}
	t.service.words.add(t.perPlace(float64(load.Running+load.Waiting)), now, wordHalfLife)
}

// perPlace is a number of requests over the target's places.
func (t *Target) perPlace(requests float64) float64 {
	return requests / float64(max(1, t.Capacity))
}

// Load is the estimate of the requests at the target by which targets are compared: hosts that
// know the same differ in it, so that they do not all choose the same.
func (t *Target) Load(now time.Duration) int { return t.spread(t.estimate(now), now) }

// estimate is the requests at the target, by what all hosts know as far as they tell each other.
func (t *Target) estimate(now time.Duration) int {
	return t.together(t.estimateAlone(now), now)
}

// estimateAlone is the larger of the target's own count and this host's; one that was never
// heard is taken to be new and empty.
// A target's own word fades to the mean of the words of its service. Hosts that are many
// hear a target once in seconds; one that counted as empty then, although all that were
// heard were full, would draw what the engines cannot do, and nobody would be turned away.
func (t *Target) estimateAlone(now time.Duration) int {
	if !t.hasReport {
		return t.inFlight
	}
	told := float64(t.reported.Running + t.reported.Waiting)
	if age := now - t.reportedAt; age > wordTrust {
		kept := fading(age-wordTrust, wordHalfLife)
		mean := t.service.words.by(now, wordHalfLife, 0, emptyWords) * float64(t.Capacity)
		told = kept*told + (1-kept)*mean
	}
	return max(t.inFlight, int(told))
}

// MeanLoad is the load of a service in some data centres over its places.
func (r *Registry) MeanLoad(name string, in DataCentreSet, now time.Duration) float64 {
	load, places := 0, 0
	for _, t := range r.of(name).targets {
		if t.Draining || t.Unreachable || t.evacuated || !in.has(t.DataCentre) {
			continue
		}
		load += t.estimate(now)
		places += t.Capacity
	}
	return float64(load) / float64(max(1, places))
}
