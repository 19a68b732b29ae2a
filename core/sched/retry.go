package sched

import (
	"math/rand/v2"
	"time"
)

// Retry pacing: the first retry waits up to retryBase, doubled each time up to
// retryMax, with full jitter.
const (
	retryBase  = 20 * time.Millisecond
	retryMax   = 2 * time.Second
	retryBurst = 10 // retries in hand when a service is new, and the most kept
)

// RetryBudget allows retries as a ratio of first attempts.
type RetryBudget struct {
	ratio  float64
	tokens float64
}

// NewRetryBudget returns a budget of ratio retries per first attempt.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, tokens: retryBurst}
}

// First counts one first attempt.
func (b *RetryBudget) First() { b.tokens = min(retryBurst, b.tokens+b.ratio) }

// Take spends one retry, or reports that there is none.
func (b *RetryBudget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the wait before the attempt-th retry, counted from 1.
func Backoff(rng *rand.Rand, attempt int) time.Duration {
	limit := min(retryBase<<min(attempt-1, 10), retryMax)
	return time.Duration(rng.Int64N(int64(limit)) + 1)
}
