package balance

import (
	"cmp"
	"time"
)

// turns is what a host has seen of the turns of a service whose engines tell their slowdown,
// as if engines were as usual: the time to the first event by the tokens read, in thousands,
// and how many events a turn has.
type turns struct {
	reading line
	begun   float64
	events  float64
}

const (
	// readSpread is the variance of the tokens read, in thousands, that a fit needs.
	readSpread = 0.05
	// readLeast and readMost bound the time for a thousand tokens: chance among first
	// events must not make a prompt that has been read worthless, nor bind turns to it.
	readLeast, readMost = 2 * time.Millisecond, 100 * time.Millisecond
	// assumedRead is the time for a thousand tokens until it is known.
	assumedRead = 15 * time.Millisecond
	// assumedEvents is of a turn of which nothing is known.
	assumedEvents = 4
	// knownTurns is what assumedEvents counts, in turns.
	knownTurns = 10
	// readPrice is the weight of the time to read: what is read displaces other prompts in
	// the engine's memory, which will be read again.
	readPrice = 3
	// lasting is the part of a slowdown that counts against an engine.
	lasting = 0.25
)

// RecordFirstEvent notes the first event of a stream for which the target had to read missing tokens.
func (r *Registry) RecordFirstEvent(target string, load float64, missing int64, d, now time.Duration) {
	t := r.targets[target]
	if t == nil || d <= 0 || !r.told(t.service, now) {
		return
	}
	n := &t.service.turns
	n.begun = n.begun*lineKept + 1
	n.events = n.events*lineKept + 1
	if t.queued(load) > 0 {
		return
	}
	n.reading.observe(float64(missing)/1000, float64(d)/(t.slowdown(now)*t.own.factor(now)))
}

// read is the time to read a number of tokens, in nanoseconds.
func (n *turns) read(tokens int64) float64 {
	_, each, ok := n.reading.fit(readSpread)
	if !ok {
		each = float64(assumedRead)
	}
	return float64(tokens) / 1000 * min(float64(readMost), max(float64(readLeast), each))
}

// perTurn is how many events a turn is expected to have.
func (n *turns) perTurn() float64 {
	return (n.events + assumedEvents*knownTurns) / (n.begun + knownTurns)
}

// streamed notes one event of an engine that tells its slowdown.
func (t *Target) streamed(load float64, d, now time.Duration) {
	usual := float64(d) / t.slowdown(now)
	s := t.service
	if expected := s.speed.expected(load); expected > 0 {
		t.own.observe(usual/expected, now)
	}
	s.speed.observe(min(load, 1), usual)
	s.turns.events++
}

// eventsTime is the time of a turn's events at a load, at an engine as usual.
func (s *service) eventsTime(load float64) float64 {
	return s.turns.perTurn() * cmp.Or(s.speed.expected(load), float64(assumedEvent))
}

// turnTime is the expected time of a turn at the engine, in nanoseconds: reading what it has
// not read, its events, and the wait for a place.
func (t *Target) turnTime(v *view, load float64) float64 {
	events := v.service.eventsTime(load)
	work := v.service.turns.read(t.missing(v)) + events*(1+t.queued(load))
	return work * t.own.factor(v.now) * t.slowdown(v.now)
}

// turnCost is the time of a turn at the engine as the choice weighs it, with what it costs
// others, in nanoseconds. A turn that leaves the engine that has its prompt makes another
// one read it, now and at each next turn: so reading weighs more than its time, and a
// slowdown that will soon be over less.
func (t *Target) turnCost(v *view, load float64) float64 {
	read, slowdown := v.service.turns.read(t.missing(v)), t.slowdown(v.now)
	work := readPrice*read + v.service.eventsTime(load)*(1+t.queued(load))
	running := min(1, load) * float64(t.Capacity)
	stalls := read * running * slowdown
	return (work*(1+lasting*(slowdown-1)) + stalls) * t.own.factor(v.now)
}
