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

// maxTurnGap bounds the time during a partition in which no turn completes.
const maxTurnGap = 1500 * time.Millisecond

// partitionOutcome is the result of a partition of the crowded data centre. The copies are the
// names of the platform copies of records.
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
	c.partitionCrowdedDataCentre(true)
	partitionedAt := time.Now()
	time.Sleep(5 * time.Second)
	healedAt := time.Now()
	o := &partitionOutcome{copiesDuringPartition: c.store.Names(history.PlatformCopyKind)}
	c.partitionCrowdedDataCentre(false)
	time.Sleep(3 * time.Second)
	close(stopTurns)
	work.Wait()
	o.copiesAfterHealing, o.longestGap = c.store.Names(history.PlatformCopyKind), k.longestGap(partitionedAt, healedAt)
	return o
}

// When the data centre with two of three replicas is partitioned from the rest, the other hosts
// must continue to serve turns. The platform copies that they store meanwhile must be removed
// once the partition has healed and the replicas are complete again.
func TestRemainingHostsServeTurnsDuringPartition(t *testing.T) {
	runAllCases(t)
	if selectedCase != "" {
		t.Skip("ROLES_CASE selects a single case")
	}
	require.NotEmpty(t, partitionResult.copiesDuringPartition, "platform copies must exist during the partition")
	require.Empty(t, partitionResult.copiesAfterHealing)
	require.LessOrEqual(t, partitionResult.longestGap, maxTurnGap)
}

// longestGap returns the longest time between from and to in which no turn completed.
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
