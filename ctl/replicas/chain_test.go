package replicas

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
)

// writeTurn stores a turn of a program that continues a chain.
func (e *entryHost) writeTurn(t *testing.T, program, turn string, chain ...*historypb.Turn) *historypb.Turn {
	previous := ""
	if len(chain) > 0 {
		previous = chain[0].Turn
	}
	record := turnRecord(turn, previous)
	record.GetTurn().Program = program
	require.NoError(t, e.WriteTurn(t.Context(), time.Hour, program, programRetention, quorum.Chain{Turns: chain}, settleRecord(turn), record))
	return record.GetTurn()
}

// chainOf returns the IDs of the chain that ends with a turn as the member has it, newest first.
func (m *member) chainOf(slots *placement.Map, program, turn string) []string {
	reply := make(chan *historypb.Reply, 1)
	m.server.Handle(&historypb.Request{Member: m.id, Slot: placement.GlobalSlotOf(program), Epoch: slots.Epoch,
		Call: &historypb.Request_Read{Read: &historypb.Read{Program: program, Turn: turn}}}, func(r *historypb.Reply) { reply <- r })
	var ids []string
	for _, t := range (<-reply).Chain {
		ids = append(ids, t.Turn)
	}
	return ids
}

// A replica that missed a turn gets it with a later one that it acknowledges: else the chain would end
// with the replicas that have both, or with the retention of one that missed the later turn.
func TestReplicaThatMissedTurnsGetsThemWithTheNext(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.close()
		stop := make(chan struct{})
		defer close(stop)
		for _, m := range c.members {
			go m.server.Sweep(stop)
		}
		e := c.startEntryHost("a")
		c.net.SetPartitioned(e.ip, c.members[2].ip, true)
		first := e.writeTurn(t, "p", "1")
		c.net.SetPartitioned(e.ip, c.members[2].ip, false)
		time.Sleep(programRetention - time.Second)
		c.net.SetPartitioned(e.ip, c.members[0].ip, true)
		e.writeTurn(t, "p", "2", first)
		time.Sleep(time.Second)
		require.Equal(t, []string{"2", "1"}, c.members[2].chainOf(c.slots, "p", "2"))
		c.net.SetPartitioned(e.ip, c.members[0].ip, false)
		// The replica without the later turn drops the earlier one; then another one loses its disk.
		time.Sleep(30 * time.Second)
		require.Empty(t, c.members[0].chainOf(c.slots, "p", "1"))
		c.net.Crash(c.members[1].ip)
		_ = c.members[1].listener.Close()
		history, err := e.Read(t.Context(), "p", "2")
		require.NoError(t, err)
		require.Len(t, history.Chain, 2)
	})
}

// Turns of other programs reach the replicas of a program that are no replicas of theirs, from an entry
// host that has read them, and each replica is sent only those that it lacks.
func TestProgramTakesOverTurnsOfOtherSlots(t *testing.T) {
	for name, tc := range map[string]struct {
		maxFaults   int
		dataCentres []string
	}{
		"one fault": {1, []string{"a", "b", "c", "d"}}, "two faults": {2, tenMembers},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := newCluster(t, tc.maxFaults, tc.dataCentres...)
				defer c.close()
				a, d := c.startEntryHost("a"), c.startEntryHost("d")
				c.warmUp(a)
				c.warmUp(d)
				first := a.writeTurn(t, "p0", "1")
				second := a.writeTurn(t, "p1", "2", first)
				time.Sleep(time.Second)
				c.resetCalls()
				third := d.writeTurn(t, "p2", "3", second, first)
				time.Sleep(time.Second)
				// A replica whose refusal arrives after those of a quorum have acknowledged gets the turns with
				// a later write.
				whole := []*member(nil)
				for _, m := range c.members {
					if _, isReplica := c.slots.Slots[placement.GlobalSlotOf("p2")].Replica(m.id); isReplica && len(m.ownTurns("p2")) == 3 {
						whole = append(whole, m)
					}
				}
				require.GreaterOrEqual(t, len(whole), c.slots.Quorum())
				c.resetCalls()
				d.writeTurn(t, "p2", "4", third, second, first)
				time.Sleep(time.Second)
				for _, m := range whole {
					require.LessOrEqual(t, m.turnsSent("p2"), 1, "only the new turn is sent")
				}
			})
		})
	}
}

// A replica that takes the place of a slow one in a quorum must not be sent the turns that are on a quorum
// already; a program that goes on from another one's turn has none there.
func TestStoredChainIsNotSentToReplicasBeyondQuorum(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 2, tenMembers...)
		defer c.close()
		e := c.startEntryHost("a")
		c.warmUp(e)
		first := e.writeTurn(t, "p", "1")
		second := e.writeTurn(t, "p", "2", first)
		own, err := e.Read(t.Context(), "p", "2")
		require.NoError(t, err)
		require.True(t, own.OwnChain)
		other, err := e.Read(t.Context(), "q", "2")
		require.NoError(t, err)
		require.False(t, other.OwnChain)

		c.resetCalls()
		c.net.SetFrozen(c.quorumOf("p")[0].ip, true)
		record := turnRecord("3", "2")
		chain := quorum.Chain{Turns: []*historypb.Turn{second, first}, Own: own.OwnChain}
		require.NoError(t, e.WriteTurn(t.Context(), time.Hour, "p", programRetention, chain, settleRecord("3"), record))
		time.Sleep(time.Second)
		for _, m := range c.members {
			require.LessOrEqual(t, m.turnsSent("p"), 1)
		}
	})
}

// quorumOf returns the members that have turns of a program.
func (c *cluster) quorumOf(program string) (list []*member) {
	for _, m := range c.members {
		if len(m.ownTurns(program)) > 0 {
			list = append(list, m)
		}
	}
	require.Len(c.t, list, c.slots.Quorum())
	return list
}

// ownTurns returns the IDs of the turns that the member has in a program.
func (m *member) ownTurns(program string) map[string]bool {
	reply := make(chan *historypb.Reply, 1)
	m.server.Handle(&historypb.Request{Member: m.id, Slot: placement.GlobalSlotOf(program), Epoch: m.server.Map().Epoch,
		Call: &historypb.Request_Copy{Copy: &historypb.Copy{Programs: []string{program}}}}, func(r *historypb.Reply) { reply <- r })
	ids := map[string]bool{}
	for _, r := range (<-reply).Records {
		if r.GetTurn() != nil {
			ids[r.GetTurn().Turn] = true
		}
	}
	return ids
}

// turnsSent returns the number of turns of a program that the member was sent.
func (m *member) turnsSent(program string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, call := range m.calls {
		for _, r := range call.GetWrite().GetRecords() {
			if r.Program == program && r.GetTurn() != nil {
				count++
			}
		}
	}
	return count
}
