package roles

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/daemon/history"
)

// goesOnWithin is how long the hosts that are left may serve no turn after a cut.
const maxTurnGap = 1500 * time.Millisecond

// cutOutcome is what a cut of the crowded data centre left behind.
type partitionOutcome struct {
	longestGap                                time.Duration
	copiesDuringPartition, copiesAfterHealing []string
}

func runPartition(t *testing.T) *partitionOutcome {
	c := newCrowdedCluster(t)
	defer c.close()
	k := newCaller(c)
	defer k.client.CloseIdleConnections()
	stopTurns := make(chan struct{})
	var work sync.WaitGroup
	for n := range programCount {
		work.Go(func() { k.runProgram(n, turnsPerProgram, stopTurns) })
	}
	time.Sleep(time.Second)
	c.cutCrowdedDataCentre(true)
	cutAt := time.Now()
	time.Sleep(5 * time.Second)
	healed := time.Now()
	o := &partitionOutcome{copiesDuringPartition: c.store.Names(history.KeptKind)}
	c.cutCrowdedDataCentre(false)
	time.Sleep(3 * time.Second)
	close(stopTurns)
	work.Wait()
	o.copiesAfterHealing, o.longestGap = c.store.Names(history.KeptKind), k.longestGap(cutAt, healed)
	return o
}

// When the data centre with two of three replicas is cut off, the other hosts go on;
// what they keep at the platform meanwhile is gone once both sides are whole again.
func TestRemainingHostsServeTurnsDuringPartition(t *testing.T) {
	runAllCases(t)
	if selectedCase != "" {
		t.Skip("one case of the table was asked for")
	}
	require.NotEmpty(t, partitionResult.copiesDuringPartition, "a second copy is kept")
	require.Empty(t, partitionResult.copiesAfterHealing)
	require.LessOrEqual(t, partitionResult.longestGap, maxTurnGap)
}

// longestGap is the longest time between two turns that ended well.
func (k *caller) longestGap(from, to time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	endTimes := []time.Time{from, to}
	for _, a := range k.attempts {
		if a.Path == "/turn/" && a.Status == http.StatusOK && a.Complete && a.EndedAt.After(from) && a.EndedAt.Before(to) {
			endTimes = append(endTimes, a.EndedAt)
		}
	}
	slices.SortFunc(endTimes, time.Time.Compare)
	longest := time.Duration(0)
	for i := range endTimes[1:] {
		longest = max(longest, endTimes[i+1].Sub(endTimes[i]))
	}
	return longest
}
