package balance

import "time"

// Outcome is how a request at a target ended.
type Outcome uint8

// The outcomes of a request.
const (
	// Served means that the target answered.
	Served Outcome = iota
	// Refused means that the target is full.
	Refused
	// Failed means that no valid answer arrived.
	Failed
	// Abandoned means that the caller disconnected; it says nothing about the target.
	Abandoned
)

var outcomeNames = [...]string{Served: "served", Refused: "refused", Failed: "failed", Abandoned: "abandoned"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }

// RecordOutcome records the end of a request that was recorded with RecordSend.
func (t *Target) RecordOutcome(o Outcome, now time.Duration) {
	t.inFlight = max(0, t.inFlight-1)
	t.reported.Running = max(0, t.reported.Running-1)
	t.exchange.countOutcome(o)
	switch o {
	case Served:
		t.idleConns.put(now)
		t.breaker.RecordSuccess()
		t.failures = t.decayedFailures(now) * failureRetention
		t.failuresAt = now
	case Refused:
		t.idleConns.put(now)
		t.breaker.RecordInconclusive()
	case Failed:
		t.breaker.RecordFailure(now)
		t.failures = t.decayedFailures(now) + 1
		t.failuresAt = now
	default:
		t.breaker.RecordInconclusive()
	}
}

const (
	// failureHalfLife lets a failed target be retried after a few seconds.
	failureHalfLife = 3 * time.Second
	// failureRetention is the fraction of the failure count that remains after one success: a target
	// that fails one request in a hundred is not avoided, one that fails four in ten is.
	failureRetention = 0.8
	// maxFailures bounds the failure count that enters the cost.
	maxFailures = 4
)

// decayedFailures returns the failure count of the target, decayed to now.
func (t *Target) decayedFailures(now time.Duration) float64 {
	if t.failures == 0 {
		return 0
	}
	return t.failures * decay(now-t.failuresAt, failureHalfLife)
}
