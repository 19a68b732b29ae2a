package quorum

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// hanging dials nobody.
type hanging struct{}

func (hanging) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// clientOf returns the client of a host in dc0 that knows members spread over data centres.
func clientOf(t *testing.T, members, centres int) (*Client, *placement.Map) {
	m := placement.New(2)
	for i := range members {
		id := fmt.Sprintf("m%03d", i)
		m.Admit(placement.Member{ID: id, Host: id, Address: id, DataCentre: fmt.Sprintf("dc%d", i%centres)})
	}
	m.Assign()
	text, err := json.Marshal(m)
	require.NoError(t, err)
	c := New(hanging{}, "dc0", log.New(io.Discard), nil)
	c.adopt(text, "test")
	return c, m
}

// isDue is due for whoever does not hold mu.
func (c *Client) isDue(id string, quiet time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.due(id, quiet, now)
}

// fails is failingFor for whoever does not hold mu.
func (c *Client) fails(id string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failingFor(id, now)
}

// dueAtRest is how many members a host without requests asks for signs of life.
func dueAtRest(c *Client, m *placement.Map) int {
	n := 0
	for id := range m.Members {
		if c.isDue(id, quietFor, time.Now()) {
			n++
		}
	}
	return n
}

// What a host asks at rest does not grow with the members.
func TestAHostAtRestAsksAFewOfManyMembers(t *testing.T) {
	for _, members := range []int{4, 12, 24, 60, 120, 240, 480} {
		c, m := clientOf(t, members, 6)
		require.LessOrEqual(t, dueAtRest(c, m), placement.MaxProbeAllMembers, "%d members", members)
	}
}

func TestAllOfAFewMembersAreAsked(t *testing.T) {
	c, m := clientOf(t, 24, 6)
	require.Equal(t, 24, dueAtRest(c, m))
}

var silent = failure.New(failure.PeerUnavailable, "silent")

// lose lets all members of some data centres fail, as far as the host watches them.
func (c *Client) lose(m *placement.Map, centres ...string) {
	for _, dc := range centres {
		for id := range m.Members {
			if m.Members[id].DataCentre == dc && c.watch.members[id] {
				c.note(id, silent)
			}
		}
	}
}

// A host that is cut off from all members must know it by the few that it watches: it is not
// ready then, and callers are sent elsewhere.
func TestAHostThatReachesNoWatchedMemberIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // calls under way end by themselves
		c, m := clientOf(t, 120, 6)
		c.lose(m, "dc0", "dc1", "dc2", "dc3", "dc4", "dc5")
		time.Sleep(2 * doubtFor)
		c.judge()
		require.Positive(t, c.IsolatedFor())
		for id := range m.Members {
			if c.watch.members[id] {
				c.note(id, nil)
			}
		}
		c.judge()
		require.Zero(t, c.IsolatedFor())
	})
}

// One data centre that is cut off has at most one replica of each slot.
func TestTheLossOfADataCentreIsolatesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // calls under way end by themselves
		c, m := clientOf(t, 120, 6)
		c.lose(m, "dc3")
		time.Sleep(2 * doubtFor)
		c.judge()
		require.Zero(t, c.IsolatedFor())
		for id, x := range m.Members {
			require.Equal(t, x.DataCentre == "dc3", c.fails(id, time.Now()) > 0, "unwatched members of dc3 are asked last")
		}
	})
}

// One watched member that fails says nothing of the others of its data centre.
func TestAMemberThatFailsSaysNothingOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // calls under way end by themselves
		c, m := clientOf(t, 120, 6)
		failed := c.watch.centres["dc0"][0]
		c.note(failed, silent)
		for id := range m.Members {
			require.Equal(t, id == failed, c.fails(id, time.Now().Add(time.Second)) > 0)
		}
	})
}

// A member that is not watched is asked while it fails, seldom: all hosts that had a request
// for it do so.
func TestAnUnwatchedMemberThatFailsIsAskedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // calls under way end by themselves
		c, m := clientOf(t, 120, 6)
		var other string
		for id := range m.Members {
			if !c.watch.members[id] {
				other = id
			}
		}
		c.note(other, silent)
		now := time.Now()
		asked := 0
		for at := time.Duration(0); at < 4*time.Second; at += probeEvery {
			if c.isDue(other, quietFor, now.Add(at)) {
				asked++
			}
		}
		require.Equal(t, 4, asked)
		c.note(other, nil)
		require.False(t, c.isDue(other, quietFor, now.Add(time.Minute)))
	})
}
