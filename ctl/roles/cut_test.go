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
const goesOnWithin = 1500 * time.Millisecond

// cutOutcome is what a cut of the crowded data centre left behind.
type cutOutcome struct {
	gap                   time.Duration
	keptDuring, keptAfter []string
}

func carryOutCut(t *testing.T) *cutOutcome {
	c := newCrowded(t)
	defer c.close()
	k := newCaller(c)
	defer k.client.CloseIdleConnections()
	over := make(chan struct{})
	var work sync.WaitGroup
	for n := range programs {
		work.Go(func() { k.program(n, turns, over) })
	}
	time.Sleep(time.Second)
	c.cutCentre(true)
	cut := time.Now()
	time.Sleep(5 * time.Second)
	healed := time.Now()
	o := &cutOutcome{keptDuring: c.store.Names(history.PlatformCopyKind)}
	c.cutCentre(false)
	time.Sleep(3 * time.Second)
	close(over)
	work.Wait()
	o.keptAfter, o.gap = c.store.Names(history.PlatformCopyKind), k.longestGap(cut, healed)
	return o
}

// When the data centre with two of three replicas is cut off, the other hosts go on;
// what they keep at the platform meanwhile is gone once both sides are whole again.
func TestTheRestGoesOnAfterACut(t *testing.T) {
	all(t)
	if onlyCase != "" {
		t.Skip("one case of the table was asked for")
	}
	require.NotEmpty(t, afterCut.keptDuring, "a second copy is kept")
	require.Empty(t, afterCut.keptAfter)
	require.LessOrEqual(t, afterCut.gap, goesOnWithin)
}

// longestGap is the longest time between two turns that ended well.
func (k *caller) longestGap(from, to time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := []time.Time{from, to}
	for _, x := range k.tries {
		if x.Path == "/turn/" && x.Status == http.StatusOK && x.Whole && x.Ended.After(from) && x.Ended.Before(to) {
			at = append(at, x.Ended)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	longest := time.Duration(0)
	for i := range at[1:] {
		longest = max(longest, at[i+1].Sub(at[i]))
	}
	return longest
}
