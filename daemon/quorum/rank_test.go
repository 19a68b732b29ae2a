package quorum

import (
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// fiveReplicaMap returns a map whose slots have five replicas, two of which are in data centre a.
func fiveReplicaMap() *placement.Map {
	m := placement.New(2)
	for i, dataCentre := range []string{"a", "a", "b", "c", "d"} {
		id := fmt.Sprintf("m%d", i)
		m.Admit(placement.Member{ID: id, Host: id, Address: id, DataCentre: dataCentre})
	}
	m.Assign()
	return m
}

var writeCall, readCall = writeRequest(nil, nil), &historypb.Request{Call: &historypb.Request_Read{Read: &historypb.Read{}}}

// recordCalls records enough answered calls to a member that its average duration becomes duration.
func recordCalls(c *Client, id string, req *historypb.Request, duration time.Duration) {
	c.recordOutcome(id, nil)
	for range 50 {
		c.recordDuration(id, req, duration)
	}
}

func TestNearReplicasRankFirstAndFailingLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fiveReplicaMap()
		c := New(hangingDialer{}, "a", log.New(io.Discard), nil)
		initial := c.rankedReplicas(m, 0)
		require.ElementsMatch(t, []string{"m0", "m1"}, initial[:2])
		require.Equal(t, initial, New(hangingDialer{}, "a", log.New(io.Discard), nil).rankedReplicas(m, 0), "the order is the same on every host")
		for id := range m.Members {
			recordCalls(c, id, writeCall, 5*time.Millisecond)
		}
		require.Equal(t, initial, c.rankedReplicas(m, 0))
		recordCalls(c, initial[0], writeCall, 20*time.Millisecond)
		require.Equal(t, initial[0], c.rankedReplicas(m, 0)[4], "a slow replica is last")
		c.recordOutcome(initial[1], failure.New(failure.PeerUnavailable, "silent"))
		time.Sleep(time.Millisecond)
		require.Equal(t, []string{initial[0], initial[1]}, c.rankedReplicas(m, 0)[3:], "the slow replica precedes the failing one")
		recordCalls(c, initial[0], writeCall, 5*time.Millisecond)
		c.recordOutcome(initial[1], nil)
		require.Equal(t, initial, c.rankedReplicas(m, 0), "all replicas have recovered")
		awaitProbes()
	})
}

// The preferred replica of a slot is in the quorum that each data centre asks first.
func TestPreferredReplicaIsInEveryQuorum(t *testing.T) {
	m := fiveReplicaMap()
	for slot := range uint32(placement.GlobalSlotCount) {
		for _, dataCentre := range []string{"a", "b", "c", "d", "elsewhere"} {
			c := New(&net.Dialer{}, dataCentre, log.New(io.Discard), nil)
			require.Contains(t, c.rankedReplicas(m, slot)[:m.Quorum()], c.preferredReplicas(m, slot)[0])
		}
	}
}

func TestHedgeDelayFollowsMedianDuration(t *testing.T) {
	c := New(&net.Dialer{}, "a", log.New(io.Discard), nil)
	members := []string{"m0", "m1", "m2"}
	require.Equal(t, minHedgeDelay, c.hedgeDelay(members, readCall), "no durations known")
	for _, id := range members {
		recordCalls(c, id, readCall, 5*time.Millisecond)
	}
	require.Equal(t, 15*time.Millisecond, c.hedgeDelay(members, readCall))
	recordCalls(c, "m0", readCall, time.Second)
	require.Equal(t, 15*time.Millisecond, c.hedgeDelay(members, readCall), "one slow member does not change the median")
	recordCalls(c, "m1", readCall, time.Second)
	require.Equal(t, maxHedgeDelay, c.hedgeDelay(members, readCall))
	require.Equal(t, minHedgeDelay, c.hedgeDelay(members, writeCall), "durations of reads do not count for writes")
}

// If a read needs the member that is being replaced, a turn counts as unknown only after that
// member's answer, and the slot is not servable while it does not answer.
func TestFormerMemberIsNeededWhenFewReplicasAreActive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := fiveReplicaMap()
		m.Admit(placement.Member{ID: "former", Host: "former", Address: "former", DataCentre: "e"})
		s := &m.Slots[placement.GlobalSlotOf("p")]
		for i := range 3 {
			s.Replicas[i].Joining = true
		}
		answered := map[string]bool{"m0": true, "m1": true, "m2": true, "m3": true, "m4": true}
		require.True(t, coversAllSlots(m, answered))
		s.FormerMember = "former"
		require.False(t, coversAllSlots(m, answered))
		answered["former"] = true
		require.True(t, coversAllSlots(m, answered))

		c := New(hangingDialer{}, "a", log.New(io.Discard), nil)
		c.slotMap = m
		require.True(t, c.IsServable("p"))
		require.Zero(t, c.unreachableFor("p"))
		c.recordOutcome("former", failure.New(failure.PeerUnavailable, "lost"))
		c.mu.Lock()
		c.health["former"].failingSince = time.Now().Add(-time.Second)
		c.mu.Unlock()
		require.False(t, c.IsServable("p"))
		require.Positive(t, c.unreachableFor("p"))
		awaitProbes()
	})
}
