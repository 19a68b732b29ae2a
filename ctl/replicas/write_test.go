package replicas

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/placement"
)

// recordCounts returns how many records of the program the member was sent, and how many of
// them contain a turn or its run record.
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

// A reservation goes to a quorum. A retained turn goes in full to a quorum; the other replicas
// get only its settlement, which also extends the retention of their records to that of the
// program.
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
				require.Equal(t, 1+full/2, total, "a settlement, or a settlement and a turn")
				expires[m.calls[0].GetWrite().Records[0].ExpiresMs] = true
			}
			require.Equal(t, 6, fullCount, "three replicas get a settlement with a run record and a turn each")
			require.Len(t, expires, 1, "all replicas get the same expiry time")
		}
	})
}

// Writes go to all replicas of a slot with only three of them, of one with a joining replica, and
// of a crowded, spanning or guarded slot.
func TestWriteGoesToAllReplicasWithoutQuorumFirst(t *testing.T) {
	cases := map[string]struct {
		maxFaults, wantReplicas int
		dataCentres             []string
		modify                  func(*placement.Slot)
	}{
		"three replicas":  {1, 3, []string{"a", "b", "c"}, func(*placement.Slot) {}},
		"replica joining": {2, 5, tenMembers, func(s *placement.Slot) { s.Replicas[0].Joining = true }},
		"crowded slot":    {2, 5, []string{"a", "a", "a", "b", "c"}, func(*placement.Slot) {}},
		"spanning slot":   {2, 5, []string{"a", "a", "a", "b", "c"}, func(s *placement.Slot) { s.Spanning = true }},
		"guarded slot":    {2, 5, tenMembers, func(s *placement.Slot) { s.Guarded = true }},
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

// A replica that fails after a write was sent to it delays the write by no more than the hedge
// delay; the turn is then stored in full on a quorum of other replicas.
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

// Two of the three disks that acknowledged a turn are lost right afterwards, whichever two: the
// turn and the budget must be found, also by a host that has not handled the program.
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
				require.EqualValues(t, 140, history.Usage.TokensExcluding(""), "includes the open reservation")
			}
		})
	}
}

// wipe kills a member, removes its disk and restarts its host with an empty one.
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
