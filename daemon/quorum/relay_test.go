package quorum

import (
	"context"
	"encoding/json"
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

// The seeds are the relays until a slot map lists members, and the first members after that.
func TestRelaysAreSeedsUntilMembersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(hangingDialer{}, "dc0", log.New(io.Discard), nil)
		require.Empty(t, c.Relays())
		c.SetSeeds([]string{"10.0.0.1:1", "10.0.0.2:1"})
		require.Equal(t, []string{"10.0.0.1:1", "10.0.0.2:1"}, c.Relays())
		require.Empty(t, c.AssignedPeers().Relays(), "seeds are asked for the slot map only")
		require.False(t, c.AssignedPeers().AwaitsSlotAssignment(), "no slot map is known")
		encoded, err := json.Marshal(placement.New(1))
		require.NoError(t, err)
		c.adopt(encoded, "test")
		require.True(t, c.AssignedPeers().AwaitsSlotAssignment())
		m := newMap(5)
		encoded, err = json.Marshal(m)
		require.NoError(t, err)
		c.adopt(encoded, "test")
		require.False(t, c.AssignedPeers().AwaitsSlotAssignment())
		relays := c.Relays()
		require.Len(t, relays, m.Quorum())
		require.Equal(t, relays, c.AssignedPeers().Relays())
		for _, id := range relays {
			require.Contains(t, m.Members, id)
		}
		c.recordOutcome(relays[0], failure.New(failure.PeerUnavailable, "silent"))
		time.Sleep(time.Millisecond)
		require.NotContains(t, c.Relays(), relays[0])
		require.Len(t, c.Relays(), m.Quorum())
		awaitProbes()
	})
}

// A host that has received the answer of another member cancels its call to this one, which must
// not mark this member as failing.
func TestCancelledCallDoesNotMarkMemberFailing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	m := newMap(3)
	member := m.Members["m1"]
	member.Address = listener.Addr().String()
	m.Members["m1"] = member
	encoded, err := json.Marshal(m)
	require.NoError(t, err)
	c := New(&net.Dialer{}, "m0", log.New(io.Discard), nil)
	c.adopt(encoded, "test")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Call(ctx, "m1", &historypb.Request{Call: &historypb.Request_ListObjects{ListObjects: &historypb.ListObjects{}}}, 0)
	require.Error(t, err)
	require.Contains(t, c.Relays(), "m1")
}

// A data centre has answered as long as any of its history hosts has.
func TestDataCentreAnswersThroughItsHistoryHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(&net.Dialer{}, "m0", log.New(io.Discard), nil)
		require.False(t, c.AnsweredWithin("m1", time.Minute), "no slot map is known")
		encoded, err := json.Marshal(newMap(3))
		require.NoError(t, err)
		c.adopt(encoded, "test")
		require.False(t, c.AnsweredWithin("m1", time.Minute), "no answer yet")
		c.recordOutcome("m1", nil)
		time.Sleep(time.Second)
		require.True(t, c.AnsweredWithin("m1", time.Second))
		require.False(t, c.AnsweredWithin("m1", time.Second-1))
		require.False(t, c.AnsweredWithin("m2", time.Second), "another data centre")
		c.recordOutcome("m2", failure.New(failure.PeerUnavailable, "silent"))
		require.False(t, c.AnsweredWithin("m2", time.Second), "a failed call is no answer")
	})
}

// An isolated host that does not reach the history hosts of its own data centre is isolated from
// the data centre as well; one that reaches them shares its isolation with the other hosts of the
// data centre.
func TestHostIsolationDiffersFromDataCentreIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errNoAnswer := failure.New(failure.PeerUnavailable, "silent")
		for name, ownErr := range map[string]error{"host isolated": errNoAnswer, "data centre isolated": nil} {
			c := New(&net.Dialer{}, "m0", log.New(io.Discard), nil)
			require.False(t, c.IsIsolatedFromDataCentre(), "no slot map is known")
			encoded, err := json.Marshal(newMap(3))
			require.NoError(t, err)
			c.adopt(encoded, "test")
			c.recordOutcome("m0", ownErr)
			c.recordOutcome("m1", errNoAnswer)
			c.recordOutcome("m2", errNoAnswer)
			time.Sleep(time.Second)
			require.Positive(t, c.IsolatedFor(), name)
			require.Equal(t, ownErr != nil, c.IsIsolatedFromDataCentre(), name)
			c.recordOutcome("m0", nil)
			c.recordOutcome("m1", nil)
			c.updateIsolation()
			require.False(t, c.IsIsolatedFromDataCentre(), "not isolated")
		}
	})
}
