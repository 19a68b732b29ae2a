package sched

import (
	"cmp"
	"time"
)

// Limits of the circuit breaker. The breaker opens after breakerThreshold
// consecutive failures, for Base, doubled on each further failure up to Max.
// Circuit breaker libraries read the clock themselves, which core must not do.
const (
	breakerThreshold = 3
	breakerBase      = time.Second
	breakerMax       = 30 * time.Second
)

// Breaker is a circuit breaker. Its zero value is closed.
type Breaker struct {
	// Base and Max are the shortest and the longest time for which the breaker is
	// open; 0 selects breakerBase and breakerMax.
	Base, Max time.Duration

	failures      int
	openUntil     time.Duration
	trialInFlight bool
}

// IsOpen reports whether calls must not be sent at now. After the open time the
// breaker is half open and allows one trial call; see RecordSend.
func (b *Breaker) IsOpen(now time.Duration) bool {
	return b.failures >= breakerThreshold && (now < b.openUntil || b.trialInFlight)
}

// RecordSend records that a call was sent. On a half-open breaker it is the trial call.
func (b *Breaker) RecordSend() {
	b.trialInFlight = b.failures >= breakerThreshold
}

// RecordSuccess records a successful call and closes the breaker.
func (b *Breaker) RecordSuccess() { *b = Breaker{Base: b.Base, Max: b.Max} }

// RecordInconclusive records a call that ended without evidence about the target. Another
// trial call may follow.
func (b *Breaker) RecordInconclusive() { b.trialInFlight = false }

// RecordFailure records a failed call at now.
func (b *Breaker) RecordFailure(now time.Duration) {
	b.trialInFlight = false
	b.failures++
	if b.failures < breakerThreshold {
		return
	}
	open := cmp.Or(b.Base, breakerBase) << min(b.failures-breakerThreshold, 10)
	b.openUntil = now + min(open, cmp.Or(b.Max, breakerMax))
}
