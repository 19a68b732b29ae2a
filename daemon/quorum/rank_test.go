package quorum

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// fiveOf is a map whose slots have five replicas, two of which are in data centre a.
func fiveReplicaMap() *placement.Map {
	m := placement.New(2)
	for i, dc := range []string{"a", "a", "b", "c", "d"} {
		id := fmt.Sprintf("m%d", i)
		m.Admit(placement.Member{ID: id, Host: id, Address: id, DataCentre: dc})
	}
	m.Assign()
	return m
}

var writeCall, readCall = writeRequest(nil), &historypb.Request{Call: &historypb.Request_Read{Read: &historypb.Read{}}}

// heard lets a client hear a member often.
func recordCalls(c *Client, id string, req *historypb.Request, duration time.Duration) {
	c.recordOutcome(id, nil)
	for range 50 {
		c.recordDuration(id, req, duration)
	}
}

func TestNearReplicasRankFirstAndFailingLast(t *testing.T) {
	m := fiveReplicaMap()
	c := New(&net.Dialer{}, "a", log.New(io.Discard), nil)
	initial := c.rankedReplicas(m, 0)
	require.ElementsMatch(t, []string{"m0", "m1"}, initial[:2])
	require.Equal(t, initial, New(&net.Dialer{}, "a", log.New(io.Discard), nil).rankedReplicas(m, 0), "the same on every host")
	for id := range m.Members {
		recordCalls(c, id, writeCall, 5*time.Millisecond)
	}
	require.Equal(t, initial, c.rankedReplicas(m, 0))
	recordCalls(c, initial[0], writeCall, 20*time.Millisecond)
	require.Equal(t, initial[0], c.rankedReplicas(m, 0)[4], "slow")
	c.recordOutcome(initial[1], failure.New(failure.PeerUnavailable, "silent"))
	require.Equal(t, []string{initial[0], initial[1]}, c.rankedReplicas(m, 0)[3:], "slow, then failing")
	recordCalls(c, initial[0], writeCall, 5*time.Millisecond)
	c.recordOutcome(initial[1], nil)
	require.Equal(t, initial, c.rankedReplicas(m, 0), "well again")
}

// The first by the slot's own order is in the quorum of every data centre.
func TestPreferredReplicaIsInEveryQuorum(t *testing.T) {
	m := fiveReplicaMap()
	for slot := range uint32(placement.GlobalSlotCount) {
		for _, dc := range []string{"a", "b", "c", "d", "elsewhere"} {
			c := New(&net.Dialer{}, dc, log.New(io.Discard), nil)
			require.Contains(t, c.rankedReplicas(m, slot)[:m.Quorum()], c.preferredReplicas(m, slot)[0])
		}
	}
}

func TestHedgeDelayFollowsMedianDuration(t *testing.T) {
	c := New(&net.Dialer{}, "a", log.New(io.Discard), nil)
	members := []string{"m0", "m1", "m2"}
	require.Equal(t, minHedgeDelay, c.hedgeDelay(members, readCall), "nothing known")
	for _, id := range members {
		recordCalls(c, id, readCall, 5*time.Millisecond)
	}
	require.Equal(t, 15*time.Millisecond, c.hedgeDelay(members, readCall))
	recordCalls(c, "m0", readCall, time.Second)
	require.Equal(t, 15*time.Millisecond, c.hedgeDelay(members, readCall), "one is slow")
	recordCalls(c, "m1", readCall, time.Second)
	require.Equal(t, maxHedgeDelay, c.hedgeDelay(members, readCall))
	require.Equal(t, minHedgeDelay, c.hedgeDelay(members, writeCall), "writes are another matter")
}

// Where a read needs the replica that is being replaced, a turn is not known to be nowhere
// without that one's answer, and a slot is refused at once while it does not answer.
func TestFormerMemberIsNeededWhenFewReplicasAreActive(t *testing.T) {
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

	c := New(&net.Dialer{}, "a", log.New(io.Discard), nil)
	c.slotMap = m
	require.True(t, c.IsServable("p"))
	require.Zero(t, c.unreachableFor("p"))
	c.recordOutcome("former", failure.New(failure.PeerUnavailable, "lost"))
	c.health["former"].failingSince = time.Now().Add(-time.Second)
	require.False(t, c.IsServable("p"))
	require.Positive(t, c.unreachableFor("p"))
}
