package sched

import (
	"cmp"
	"time"
)

// Limits of the circuit breaker. The breaker opens after breakerThreshold
// failures in a row, for Base, doubled on each further failure up to Max.
// Libraries for it read the clock themselves, which core may not.
const (
	breakerThreshold = 3
	breakerBase      = time.Second
	breakerMax       = 30 * time.Second
)

// Breaker is a circuit breaker; its zero value is closed.
type Breaker struct {
	// Base and Max bound the time for which it is open; zero takes breakerBase and
	// breakerMax.
	Base, Max time.Duration

	failures int
	until    time.Duration
	trial    bool
}

// Open reports whether calls must not be sent at now. After the open time one
// trial call is let through; see Sent.
func (b *Breaker) Open(now time.Duration) bool {
	return b.failures >= breakerThreshold && (now < b.until || b.trial)
}

// Sent notes that a call was sent; on a half-open breaker it is the trial.
func (b *Breaker) Sent() {
	b.trial = b.failures >= breakerThreshold
}

// Success closes the breaker.
func (b *Breaker) Success() { *b = Breaker{Base: b.Base, Max: b.Max} }

// Inconclusive ends a call that says nothing of the target: a trial may follow.
func (b *Breaker) Inconclusive() { b.trial = false }

// Failure counts one failure at now.
func (b *Breaker) Failure(now time.Duration) {
	b.trial = false
	b.failures++
	if b.failures < breakerThreshold {
		return
	}
	open := cmp.Or(b.Base, breakerBase) << min(b.failures-breakerThreshold, 10)
	b.until = now + min(open, cmp.Or(b.Max, breakerMax))
}
