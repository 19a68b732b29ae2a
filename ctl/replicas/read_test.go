package replicas

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

const (
	// hedgeMost is how long a member that fails may hold up a call until others are asked.
	maxHedgeDelay = 30 * time.Millisecond
	// keepFor is the retention of the tests' programs.
	programRetention = time.Minute
)

func isRead(r *historypb.Request) bool  { return r.GetRead() != nil }
func isWrite(r *historypb.Request) bool { return r.GetWrite() != nil }

func reserveRecord(turn string) *historypb.Record {
	return &historypb.Record{Change: &historypb.Record_Reserve{Reserve: &historypb.Reserve{Turn: turn, Tokens: 100}}}
}

func settleRecord(turn string) *historypb.Record {
	return &historypb.Record{Change: &historypb.Record_Settle{Settle: &historypb.Settle{
		Turn: turn, Tokens: 40, Ran: &historypb.Ran{Target: "t", Part: "part", Prompt: 10}}}}
}

func turnRecord(turn, previous string) *historypb.Record {
	return &historypb.Record{Change: &historypb.Record_Turn{Turn: &historypb.Turn{
		Turn: turn, Previous: previous, Content: []byte("content of " + turn)}}}
}

// fault is one that a member may have while a call needs it.
type memberFault struct {
	name   string
	inject func(c *cluster, e *entryHost, m *member)
}

var memberFaults = []memberFault{
	{"killed", func(c *cluster, _ *entryHost, m *member) {
		_ = m.listener.Close()
		c.net.Crash(m.ip)
	}},
	{"frozen", func(c *cluster, _ *entryHost, m *member) { c.net.Freeze(m.ip, true) }},
	{"cut off", func(c *cluster, e *entryHost, m *member) { c.net.Cut(e.ip, m.ip, true) }},
	{"slow", func(_ *cluster, _ *entryHost, m *member) { m.extraDelay.Store(int64(250 * time.Millisecond)) }},
}

// warm plays turns of programs of all slots, so that the client knows how long members take.
func (c *cluster) warmUp(e *entryHost) {
	for i := range 2 * placement.GlobalSlotCount {
		p := fmt.Sprintf("warm-%d", i)
		require.NoError(c.t, e.Write(c.t.Context(), p, programRetention, reserveRecord("1")))
		_, err := e.Read(c.t.Context(), p, "")
		require.NoError(c.t, err)
		require.NoError(c.t, e.Write(c.t.Context(), p, programRetention, settleRecord("1")))
	}
	time.Sleep(100 * time.Millisecond)
	c.resetCalls()
}

// timed returns how long a call takes.
func measure(call func()) time.Duration {
	startedAt := time.Now()
	call()
	return time.Since(startedAt)
}

// A read asks as many replicas as it needs, those of its own data centre first.
func TestReadAsksNearestQuorum(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 2, tenMembers...)
		defer c.close()
		e := c.startEntryHost("a")
		c.warmUp(e)
		for i := range placement.GlobalSlotCount {
			p := fmt.Sprintf("p%d", i)
			c.resetCalls()
			_, err := e.Read(t.Context(), p, "")
			require.NoError(t, err)
			asked := c.membersAsked(isRead)
			require.Len(t, asked, 3, p)
			for _, r := range c.slots.Slots[placement.GlobalSlotOf(p)].Replicas {
				if c.memberByID(r.Member).dataCentre == "a" {
					require.Contains(t, asked, c.memberByID(r.Member), "the near ones first")
				}
			}
		}
	})
}

// A slot of three replicas, or one that a replica joins, is read from all that are active.
func TestReadAsksAllActiveReplicasOfSmallOrJoiningSlot(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		e := c.startEntryHost("a")
		_, err := e.Read(t.Context(), "p", "")
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
		require.Len(t, c.membersAsked(isRead), 3)
		c.close()

		c = newCluster(t, 2, tenMembers...)
		defer c.close()
		slot := placement.GlobalSlotOf("p")
		c.slots.Slots[slot].Replicas[0].Joining = true
		c.slots.Epoch++
		c.distributeMap()
		e = c.startEntryHost("a")
		_, err = e.Read(t.Context(), "p", "")
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
		require.Len(t, c.membersAsked(isRead), 4)
	})
}

// A replica that was asked and fails holds a read up for no longer than the hedge, whatever
// the fault; after that it is asked last.
func TestReadSucceedsWithinHedgeDelayOfReplicaFailure(t *testing.T) {
	for _, fault := range memberFaults {
		t.Run(fault.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				c := newCluster(t, 2, tenMembers...)
				defer c.close()
				e := c.startEntryHost("a")
				c.warmUp(e)
				const program = "p"
				require.NoError(t, e.Write(t.Context(), program, programRetention, settleRecord("1"), turnRecord("1", "")))
				c.resetCalls()
				_, err := e.Read(t.Context(), program, "1")
				require.NoError(t, err)
				// The one that fails is the one that would send the chain.
				chainSource := slices.IndexFunc(c.membersAsked(isRead), func(m *member) bool { return m.isAskedForChain() })
				failing := c.membersAsked(isRead)[chainSource]
				fault.inject(c, e, failing)
				duration := measure(func() {
					history, err := e.Read(t.Context(), program, "1")
					require.NoError(t, err)
					require.Len(t, history.Chain, 1)
					require.EqualValues(t, 40, history.Usage.TokensExcluding(""))
				})
				require.LessOrEqual(t, duration, maxHedgeDelay+roundTripTime)
				if fault.name == "slow" {
					return
				}
				time.Sleep(time.Second)
				c.resetCalls()
				duration = measure(func() {
					_, err := e.Read(t.Context(), program, "1")
					require.NoError(t, err)
				})
				require.LessOrEqual(t, duration, roundTripTime, "known to fail")
				require.NotContains(t, c.membersAsked(isRead), failing)
			})
		})
	}
}

// sentChain reports whether the member was asked for a chain.
func (m *member) isAskedForChain() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.calls, func(r *historypb.Request) bool { return r.GetRead().GetTurn() != "" })
}

// While a replica is replaced and two disks of its slot are lost, it may be the only one that
// has what lay on all three: a read is complete with its answer only.
func TestReadRequiresFormerMemberWhenFewReplicasRemain(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 2, tenMembers...)
		defer c.close()
		const program = "p"
		s := &c.slots.Slots[placement.GlobalSlotOf(program)]
		for i := range 3 {
			s.Replicas[i].Joining = true
		}
		nonReplica := slices.IndexFunc(c.members, func(m *member) bool { _, isReplica := s.Replica(m.id); return !isReplica })
		former := c.members[nonReplica]
		s.FormerMember = former.id
		c.slots.Epoch++
		c.distributeMap()
		e := c.startEntryHost("a")
		c.resetCalls()
		_, err := e.Read(t.Context(), program, "")
		require.NoError(t, err)
		require.Len(t, c.membersAsked(isRead), 3)
		require.Contains(t, c.membersAsked(isRead), former)
		c.net.Freeze(former.ip, true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = e.Read(ctx, program, "")
		require.True(t, failure.Is(err, failure.HistoryUnavailable), "%v", err)
	})
}

// A program that comes through another data centre than before finds its chain at one replica
// that both write to: no other is asked for it, but for the nearest.
func TestChainIsFoundFromAnotherDataCentre(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 2, tenMembers...)
		defer c.close()
		a, d := c.startEntryHost("a"), c.startEntryHost("d")
		c.warmUp(a)
		c.warmUp(d)
		for i := range placement.GlobalSlotCount {
			p := fmt.Sprintf("p%d", i)
			require.NoError(t, a.Write(t.Context(), p, programRetention, settleRecord(p+"1"), turnRecord(p+"1", "")))
			require.NoError(t, a.Write(t.Context(), p, programRetention, settleRecord(p+"2"), turnRecord(p+"2", p+"1")))
			c.resetCalls()
			history, err := d.Read(t.Context(), p, p+"2")
			require.NoError(t, err)
			require.Len(t, history.Chain, 2)
			require.False(t, history.ChainInOtherProgram)
			require.LessOrEqual(t, len(c.membersAsked(func(r *historypb.Request) bool { return r.GetRead().GetTurn() != "" })), 2)
		}
	})
}
