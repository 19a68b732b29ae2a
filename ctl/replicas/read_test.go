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
	// maxHedgeDelay bounds the time for which a failing member delays a call until other
	// members are asked.
	maxHedgeDelay    = 30 * time.Millisecond
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

// memberFault is a fault of a member while a call needs it.
type memberFault struct {
	name   string
	inject func(c *cluster, e *entryHost, m *member)
}

var memberFaults = []memberFault{
	{"member process killed", func(c *cluster, _ *entryHost, m *member) {
		_ = m.listener.Close()
		c.net.Crash(m.ip)
	}},
	{"member frozen", func(c *cluster, _ *entryHost, m *member) { c.net.SetFrozen(m.ip, true) }},
	{"member unreachable from entry host", func(c *cluster, e *entryHost, m *member) { c.net.SetPartitioned(e.ip, m.ip, true) }},
	{"member answers 250 ms late", func(_ *cluster, _ *entryHost, m *member) { m.extraDelay.Store(int64(250 * time.Millisecond)) }},
}

// warmUp runs turns of programs in all slots, so that the client knows the call durations of
// the members.
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

// measure returns the duration of call.
func measure(call func()) time.Duration {
	startedAt := time.Now()
	call()
	return time.Since(startedAt)
}

// A read asks only a quorum of the replicas, those in its own data centre first.
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
					require.Contains(t, asked, c.memberByID(r.Member), "replicas of the host's own data centre are asked first")
				}
			}
		}
	})
}

// A read asks all active replicas if the slot has only three or if a replica is joining.
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

// A replica that fails after it was asked delays a read by no more than the hedge delay,
// whatever the fault; afterwards it is asked last.
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
				// The failing replica is the one that would send the chain.
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
				if fault.name == "member answers 250 ms late" {
					return
				}
				time.Sleep(time.Second)
				c.resetCalls()
				duration = measure(func() {
					_, err := e.Read(t.Context(), program, "1")
					require.NoError(t, err)
				})
				require.LessOrEqual(t, duration, roundTripTime, "a replica known to fail must not delay the read")
				require.NotContains(t, c.membersAsked(isRead), failing)
			})
		})
	}
}

// isAskedForChain reports whether the member has been asked for a chain since the last
// resetCalls.
func (m *member) isAskedForChain() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.calls, func(r *historypb.Request) bool { return r.GetRead().GetTurn() != "" })
}

// If two disks of a slot are lost while one of its replicas is being replaced, the former
// member may be the only one that still has the records that all three stored: a read must
// wait for its answer.
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
		c.net.SetFrozen(former.ip, true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = e.Read(ctx, program, "")
		require.True(t, failure.Is(err, failure.HistoryUnavailable), "%v", err)
	})
}

// If the requests of a program arrive at another data centre than before, the chain is read from
// a replica that both data centres write to: only that replica and the nearest one are asked for
// it.
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
			require.Empty(t, c.membersAsked(func(r *historypb.Request) bool { return r.GetRead().GetAnySlot() }))
			require.LessOrEqual(t, len(c.membersAsked(func(r *historypb.Request) bool { return r.GetRead().GetTurn() != "" })), 2)
		}
	})
}
