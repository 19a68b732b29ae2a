package sched

import (
	"math/rand/v2"
	"time"
)

// Limits of retries. The first retry waits up to retryBase; the limit doubles with each
// retry up to retryMax. Delays have full jitter.
const (
	retryBase      = 20 * time.Millisecond
	retryMax       = 2 * time.Second
	maxRetryTokens = 10 // retries allowed when a service is new, and the maximum kept
)

// RetryBudget is a token bucket that limits retries to a ratio of first attempts.
type RetryBudget struct {
	ratio  float64
	tokens float64
}

// NewRetryBudget returns a budget of ratio retries per first attempt.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, tokens: maxRetryTokens}
}

// RecordFirstAttempt records one first attempt, which adds ratio tokens.
func (b *RetryBudget) RecordFirstAttempt() { b.tokens = min(maxRetryTokens, b.tokens+b.ratio) }

// TakeToken takes the token for one retry. It returns false if there is none.
func (b *RetryBudget) TakeToken() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the delay before the given retry, counted from 1.
func Backoff(rng *rand.Rand, attempt int) time.Duration {
	limit := min(retryBase<<min(attempt-1, 10), retryMax)
	return time.Duration(rng.Int64N(int64(limit)) + 1)
}
