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
type hangingDialer struct{}

func (hangingDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// clientOf returns the client of a host in dc0 that knows members spread over data centres.
func newClient(t *testing.T, members, dataCentres int) (*Client, *placement.Map) {
	m := placement.New(2)
	for i := range members {
		id := fmt.Sprintf("m%03d", i)
		m.Admit(placement.Member{ID: id, Host: id, Address: id, DataCentre: fmt.Sprintf("dc%d", i%dataCentres)})
	}
	m.Assign()
	encoded, err := json.Marshal(m)
	require.NoError(t, err)
	c := New(hangingDialer{}, "dc0", log.New(io.Discard), nil)
	c.adopt(encoded, "test")
	return c, m
}

// isDue is due for whoever does not hold mu.
func (c *Client) checkProbeDue(id string, maxSilence time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isProbeDue(id, maxSilence, now)
}

// fails is failingFor for whoever does not hold mu.
func (c *Client) checkFailingFor(id string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failingFor(id, now)
}

// dueAtRest is how many members a host without requests asks for signs of life.
func probesDueWhenIdle(c *Client, m *placement.Map) int {
	n := 0
	for id := range m.Members {
		if c.checkProbeDue(id, maxSilence, time.Now()) {
			n++
		}
	}
	return n
}

// What a host asks at rest does not grow with the members.
func TestIdleHostProbesFewOfManyMembers(t *testing.T) {
	for _, members := range []int{4, 12, 24, 60, 120, 240, 480} {
		c, m := newClient(t, members, 6)
		require.LessOrEqual(t, probesDueWhenIdle(c, m), placement.MaxProbeAllMembers, "%d members", members)
	}
}

func TestAllOfFewMembersAreProbed(t *testing.T) {
	c, m := newClient(t, 24, 6)
	require.Equal(t, 24, probesDueWhenIdle(c, m))
}

var errNoAnswer = failure.New(failure.PeerUnavailable, "silent")

// lose lets all members of some data centres fail, as far as the host watches them.
func (c *Client) failDataCentres(m *placement.Map, dataCentres ...string) {
	for _, dc := range dataCentres {
		for id := range m.Members {
			if m.Members[id].DataCentre == dc && c.probed.members[id] {
				c.recordOutcome(id, errNoAnswer)
			}
		}
	}
}

// A host that is cut off from all members must know it by the few that it watches: it is not
// ready then, and callers are sent elsewhere.
func TestHostWithoutAnsweringProbedMemberIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // calls under way end by themselves
		c, m := newClient(t, 120, 6)
		c.failDataCentres(m, "dc0", "dc1", "dc2", "dc3", "dc4", "dc5")
		time.Sleep(2 * failureWindow)
		c.updateIsolation()
		require.Positive(t, c.IsolatedFor())
		for id := range m.Members {
			if c.probed.members[id] {
				c.recordOutcome(id, nil)
			}
		}
		c.updateIsolation()
		require.Zero(t, c.IsolatedFor())
	})
}

// One data centre that is cut off has at most one replica of each slot.
func TestLossOfOneDataCentreDoesNotIsolate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // calls under way end by themselves
		c, m := newClient(t, 120, 6)
		c.failDataCentres(m, "dc3")
		time.Sleep(2 * failureWindow)
		c.updateIsolation()
		require.Zero(t, c.IsolatedFor())
		for id, member := range m.Members {
			require.Equal(t, member.DataCentre == "dc3", c.checkFailingFor(id, time.Now()) > 0, "unwatched members of dc3 are asked last")
		}
	})
}

// One watched member that fails says nothing of the others of its data centre.
func TestFailingMemberDoesNotAffectOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // calls under way end by themselves
		c, m := newClient(t, 120, 6)
		failed := c.probed.byDataCentre["dc0"][0]
		c.recordOutcome(failed, errNoAnswer)
		for id := range m.Members {
			require.Equal(t, id == failed, c.checkFailingFor(id, time.Now().Add(time.Second)) > 0)
		}
	})
}

// A member that is not watched is asked while it fails, seldom: all hosts that had a request
// for it do so.
func TestUnprobedFailingMemberIsProbedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // calls under way end by themselves
		c, m := newClient(t, 120, 6)
		var unprobed string
		for id := range m.Members {
			if !c.probed.members[id] {
				unprobed = id
			}
		}
		c.recordOutcome(unprobed, errNoAnswer)
		now := time.Now()
		probes := 0
		for elapsed := time.Duration(0); elapsed < 4*time.Second; elapsed += probeInterval {
			if c.checkProbeDue(unprobed, maxSilence, now.Add(elapsed)) {
				probes++
			}
		}
		require.Equal(t, 4, probes)
		c.recordOutcome(unprobed, nil)
		require.False(t, c.checkProbeDue(unprobed, maxSilence, now.Add(time.Minute)))
	})
}
