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

// hangingDialer never connects: a dial hangs until its context ends.
type hangingDialer struct{}

func (hangingDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// awaitProbes waits in virtual time until probes by a hangingDialer have timed out.
func awaitProbes() { time.Sleep(time.Minute) }

// newClient returns the client of a host in dc0 and its slot map, with members spread over data
// centres dc0, dc1, ...
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

// checkProbeDue calls isProbeDue with mu held.
func (c *Client) checkProbeDue(id string, maxSilence time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isProbeDue(id, maxSilence, now)
}

// checkFailingFor calls failingFor with mu held.
func (c *Client) checkFailingFor(id string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failingFor(id, now)
}

// probesDueWhenIdle returns the number of members that a host without requests probes.
func probesDueWhenIdle(c *Client, m *placement.Map) int {
	n := 0
	for id := range m.Members {
		if c.checkProbeDue(id, maxSilence, time.Now()) {
			n++
		}
	}
	return n
}

// The probes of an idle host do not grow with the number of members.
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

// failDataCentres records a failure of all probed members of some data centres.
func (c *Client) failDataCentres(m *placement.Map, dataCentres ...string) {
	for _, dataCentre := range dataCentres {
		for id := range m.Members {
			if m.Members[id].DataCentre == dataCentre && c.probed.members[id] {
				c.recordOutcome(id, errNoAnswer)
			}
		}
	}
}

// A host that is isolated from all members must detect it by the few that it probes, so that it
// stops being ready and callers are sent to other hosts.
func TestHostWithoutAnsweringProbedMemberIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // calls in flight end at their timeouts
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

// With members in six data centres, each of these holds at most one replica of a slot, so the loss
// of one must not isolate a host.
func TestLossOfOneDataCentreDoesNotIsolate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // calls in flight end at their timeouts
		c, m := newClient(t, 120, 6)
		c.failDataCentres(m, "dc3")
		time.Sleep(2 * failureWindow)
		c.updateIsolation()
		require.Zero(t, c.IsolatedFor())
		for id, member := range m.Members {
			require.Equal(t, member.DataCentre == "dc3", c.checkFailingFor(id, time.Now()) > 0, "unprobed members of dc3 count as failing too, and are asked last")
		}
	})
}

// A failing probed member must not make the other members of its data centre count as failing.
func TestFailingMemberDoesNotAffectOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // calls in flight end at their timeouts
		c, m := newClient(t, 120, 6)
		failed := c.probed.byDataCentre["dc0"][0]
		c.recordOutcome(failed, errNoAnswer)
		for id := range m.Members {
			require.Equal(t, id == failed, c.checkFailingFor(id, time.Now().Add(time.Second)) > 0)
		}
	})
}

// A failing member outside the probe set is probed at the longer interval, since all hosts that
// had a request for it probe it.
func TestFailingMemberOutsideProbeSetIsProbedAtLongerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // calls in flight end at their timeouts
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
