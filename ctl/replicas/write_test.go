package replicas

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/placement"
)

// records returns what the member was sent of a program, and what of it is a turn or says
// where one ran.
func (m *member) recordCounts(program string) (total, full int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, call := range m.calls {
		for _, r := range call.GetWrite().GetRecords() {
			if r.Program != program {
				continue
			}
			total++
			if r.GetTurn() != nil || r.GetSettle().GetRan() != nil {
				full++
			}
		}
	}
	return total, full
}

// A reservation goes to a quorum. A turn that is kept goes to a quorum whole; the others are
// told that it is over, which also keeps what they have for as long as the program lives.
func TestWriteGoesToNearestQuorum(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 2, tenMembers...)
		defer c.close()
		e := c.startEntryHost("a")
		c.warmUp(e)
		for i := range placement.GlobalSlotCount {
			p := fmt.Sprintf("p%d", i)
			c.resetCalls()
			require.NoError(t, e.Write(t.Context(), p, programRetention, reserveRecord("1")))
			time.Sleep(10 * time.Millisecond)
			require.Len(t, c.membersAsked(isWrite), 3, p)
			c.resetCalls()
			require.NoError(t, e.Write(t.Context(), p, programRetention, settleRecord("1"), turnRecord("1", "")))
			time.Sleep(10 * time.Millisecond)
			require.Len(t, c.membersAsked(isWrite), 5, p)
			fullCount, expires := 0, map[int64]bool{}
			for _, m := range c.membersAsked(isWrite) {
				total, full := m.recordCounts(p)
				fullCount += full
				require.Equal(t, 1+full/2, total, "a settlement, or both")
				expires[m.calls[0].GetWrite().Records[0].ExpiresMs] = true
			}
			require.Equal(t, 6, fullCount, "a settlement and a turn to each of three")
			require.Len(t, expires, 1, "all keep the program for the same time")
		}
	})
}

// A slot of three replicas, one that a replica joins, and one that a data centre crowds are
// written to all replicas.
func TestWriteGoesToAllReplicasWithoutQuorumFirst(t *testing.T) {
	cases := map[string]struct {
		maxFaults, wantReplicas int
		dataCentres             []string
		modify                  func(*placement.Slot)
	}{
		"few":     {1, 3, []string{"a", "b", "c"}, func(*placement.Slot) {}},
		"joining": {2, 5, tenMembers, func(s *placement.Slot) { s.Replicas[0].Joining = true }},
		"crowded": {2, 5, []string{"a", "a", "a", "b", "c"}, func(*placement.Slot) {}},
		"spans":   {2, 5, []string{"a", "a", "a", "b", "c"}, func(s *placement.Slot) { s.Spanning = true }},
		"guarded": {2, 5, tenMembers, func(s *placement.Slot) { s.Guarded = true }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := newCluster(t, tc.maxFaults, tc.dataCentres...)
				defer c.close()
				tc.modify(&c.slots.Slots[placement.GlobalSlotOf("p")])
				c.slots.Epoch++
				c.distributeMap()
				e := c.startEntryHost("a")
				c.resetCalls()
				require.NoError(t, e.Write(t.Context(), "p", programRetention, reserveRecord("1")))
				time.Sleep(10 * time.Millisecond)
				require.Len(t, c.membersAsked(isWrite), tc.wantReplicas)
			})
		})
	}
}

// A replica that was sent a write and fails holds it up for no longer than the hedge; the
// turn is whole on a quorum of others then.
func TestWriteSucceedsWithinHedgeDelayOfReplicaFailure(t *testing.T) {
	for _, fault := range memberFaults {
		t.Run(fault.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := newCluster(t, 2, tenMembers...)
				defer c.close()
				e := c.startEntryHost("a")
				c.warmUp(e)
				const program = "p"
				require.NoError(t, e.Write(t.Context(), program, programRetention, reserveRecord("1")))
				failing := c.membersAsked(isWrite)[0]
				fault.inject(c, e, failing)
				c.resetCalls()
				duration := measure(func() {
					require.NoError(t, e.Write(t.Context(), program, programRetention, settleRecord("1"), turnRecord("1", "")))
				})
				require.LessOrEqual(t, duration, maxHedgeDelay+roundTripTime)
				holders := 0
				for _, m := range c.members {
					if _, full := m.recordCounts(program); full > 0 && m != failing {
						holders++
					}
				}
				require.Equal(t, 3, holders)
			})
		})
	}
}

// Any two disks of the three that acknowledged a turn are lost right after it: the turn and
// the budget are found, by a host that never saw them.
func TestTurnSurvivesLossOfTwoDisksAfterAcknowledgement(t *testing.T) {
	for survivor := range 3 {
		runInBubble(t, func(t *testing.T) {
			c := newCluster(t, 2, tenMembers...)
			defer c.close()
			e := c.startEntryHost("a")
			c.warmUp(e)
			const program = "p"
			require.NoError(t, e.Write(t.Context(), program, programRetention, reserveRecord("open")))
			holders := c.membersAsked(isWrite)
			require.Len(t, holders, 3)
			require.NoError(t, e.Write(t.Context(), program, programRetention, settleRecord("1"), turnRecord("1", "")))
			for i, m := range holders {
				if i != survivor {
					c.wipe(m)
				}
			}
			c.distributeMap()
			for _, reader := range []*entryHost{e, c.startEntryHost("d")} {
				history, err := reader.Read(t.Context(), program, "1", "part")
				require.NoError(t, err)
				require.Len(t, history.Chain, 1)
				require.EqualValues(t, 140, history.Usage.TokensExcluding(""), "the open reservation too")
			}
		})
	}
}

// wipe lets a member lose its disk and its host come back with an empty one.
func (c *cluster) wipe(m *member) {
	_ = m.listener.Close()
	c.net.Crash(m.ip)
	m.server.Close()
	info := c.slots.Members[m.id]
	m.dir = c.t.TempDir()
	m.start(c)
	info.ID = m.id
	c.slots.Admit(info)
}
