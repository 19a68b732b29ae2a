package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A target that failed is tried with a single request. The trial may be inconclusive, because
// its caller disconnects or the target is full; then the target must be tried again.
func TestInconclusiveBreakerTrialIsRepeated(t *testing.T) {
	for _, outcome := range []Outcome{Abandoned, Refused} {
		t.Run(outcome.String(), func(t *testing.T) {
			r := NewRegistry("dc", DefaultWeights())
			r.SetTarget(TargetInfo{ID: "a", Service: "s", Capacity: 4, DataCentre: "dc"})
			now := time.Second
			pick := func() bool {
				c, ok := r.Pick(Query{Service: "s"}, now)
				if ok {
					c.RecordSend(nil, now)
				}
				return ok
			}
			for range 3 {
				require.True(t, pick())
				r.targets["a"].RecordOutcome(Failed, now)
			}
			require.False(t, pick(), "the breaker is open")
			now += maxBreakerTimeout
			require.True(t, pick(), "first trial")
			require.False(t, pick(), "one trial at a time")
			r.targets["a"].RecordOutcome(outcome, now)
			require.True(t, pick())
		})
	}
}
