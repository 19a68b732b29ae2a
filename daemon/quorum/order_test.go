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
func fiveOf() *placement.Map {
	m := placement.New(2)
	for i, dc := range []string{"a", "a", "b", "c", "d"} {
		id := fmt.Sprintf("m%d", i)
		m.Admit(placement.Member{ID: id, Host: id, Address: id, DataCentre: dc})
	}
	m.Assign()
	return m
}

var aWrite, aRead = writeOf(nil), &historypb.Request{Call: &historypb.Request_Read{Read: &historypb.Read{}}}

// heard lets a client hear a member often.
func heard(c *Client, id string, req *historypb.Request, took time.Duration) {
	c.note(id, nil)
	for range 50 {
		c.observe(id, req, took)
	}
}

func TestNearReplicasAreAskedFirstAndFailingOnesLast(t *testing.T) {
	m := fiveOf()
	c := New(&net.Dialer{}, "a", log.New(io.Discard), nil)
	usual := c.ranked(m, 0)
	require.ElementsMatch(t, []string{"m0", "m1"}, usual[:2])
	require.Equal(t, usual, New(&net.Dialer{}, "a", log.New(io.Discard), nil).ranked(m, 0), "the same on every host")
	for id := range m.Members {
		heard(c, id, aWrite, 5*time.Millisecond)
	}
	require.Equal(t, usual, c.ranked(m, 0))
	heard(c, usual[0], aWrite, 20*time.Millisecond)
	require.Equal(t, usual[0], c.ranked(m, 0)[4], "slow")
	c.note(usual[1], failure.New(failure.PeerUnavailable, "silent"))
	require.Equal(t, []string{usual[0], usual[1]}, c.ranked(m, 0)[3:], "slow, then failing")
	heard(c, usual[0], aWrite, 5*time.Millisecond)
	c.note(usual[1], nil)
	require.Equal(t, usual, c.ranked(m, 0), "well again")
}

// The first by the slot's own order is in the quorum of every data centre.
func TestTheHomeReplicaIsInEveryQuorum(t *testing.T) {
	m := fiveOf()
	for slot := range uint32(placement.GlobalSlotCount) {
		for _, dc := range []string{"a", "b", "c", "d", "elsewhere"} {
			c := New(&net.Dialer{}, dc, log.New(io.Discard), nil)
			require.Contains(t, c.ranked(m, slot)[:m.Quorum()], c.home(m, slot)[0])
		}
	}
}

func TestAHedgeFollowsWhatMembersUsuallyTake(t *testing.T) {
	c := New(&net.Dialer{}, "a", log.New(io.Discard), nil)
	asked := []string{"m0", "m1", "m2"}
	require.Equal(t, hedgeLeast, c.hedge(asked, aRead), "nothing known")
	for _, id := range asked {
		heard(c, id, aRead, 5*time.Millisecond)
	}
	require.Equal(t, 15*time.Millisecond, c.hedge(asked, aRead))
	heard(c, "m0", aRead, time.Second)
	require.Equal(t, 15*time.Millisecond, c.hedge(asked, aRead), "one is slow")
	heard(c, "m1", aRead, time.Second)
	require.Equal(t, hedgeMost, c.hedge(asked, aRead))
	require.Equal(t, hedgeLeast, c.hedge(asked, aWrite), "writes are another matter")
}

// Where a read needs the replica that is being replaced, a turn is not known to be nowhere
// without that one's answer, and a slot is refused at once while it does not answer.
func TestTheFormerReplicaIsNeededWhereFewAreActive(t *testing.T) {
	m := fiveOf()
	m.Admit(placement.Member{ID: "former", Host: "former", Address: "former", DataCentre: "e"})
	s := &m.Slots[placement.GlobalSlotOf("p")]
	for i := range 3 {
		s.Replicas[i].Joining = true
	}
	answered := map[string]bool{"m0": true, "m1": true, "m2": true, "m3": true, "m4": true}
	require.True(t, covers(m, answered))
	s.FormerMember = "former"
	require.False(t, covers(m, answered))
	answered["former"] = true
	require.True(t, covers(m, answered))

	c := New(&net.Dialer{}, "a", log.New(io.Discard), nil)
	c.slots = m
	require.True(t, c.IsServable("p"))
	require.Zero(t, c.outOfReach("p"))
	c.note("former", failure.New(failure.PeerUnavailable, "lost"))
	c.health["former"].failing = time.Now().Add(-time.Second)
	require.False(t, c.IsServable("p"))
	require.Positive(t, c.outOfReach("p"))
}
