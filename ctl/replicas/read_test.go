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
	hedgeMost = 30 * time.Millisecond
	// keepFor is the retention of the tests' programs.
	keepFor = time.Minute
)

func isRead(r *historypb.Request) bool  { return r.GetRead() != nil }
func isWrite(r *historypb.Request) bool { return r.GetWrite() != nil }

func reservation(turn string) *historypb.Record {
	return &historypb.Record{Change: &historypb.Record_Reserve{Reserve: &historypb.Reserve{Turn: turn, Tokens: 100}}}
}

func settlement(turn string) *historypb.Record {
	return &historypb.Record{Change: &historypb.Record_Settle{Settle: &historypb.Settle{
		Turn: turn, Tokens: 40, Ran: &historypb.Ran{Target: "t", Part: "part", Prompt: 10}}}}
}

func kept(turn, previous string) *historypb.Record {
	return &historypb.Record{Change: &historypb.Record_Turn{Turn: &historypb.Turn{
		Turn: turn, Previous: previous, Content: []byte("content of " + turn)}}}
}

// fault is one that a member may have while a call needs it.
type fault struct {
	name   string
	inject func(f *fleet, e *entry, m *member)
}

var faults = []fault{
	{"killed", func(f *fleet, _ *entry, m *member) {
		_ = m.listener.Close()
		f.net.Crash(m.place)
	}},
	{"frozen", func(f *fleet, _ *entry, m *member) { f.net.Freeze(m.place, true) }},
	{"cut off", func(f *fleet, e *entry, m *member) { f.net.Cut(e.place, m.place, true) }},
	{"slow", func(_ *fleet, _ *entry, m *member) { m.extra.Store(int64(250 * time.Millisecond)) }},
}

// warm plays turns of programs of all slots, so that the client knows how long members take.
func (f *fleet) warm(e *entry) {
	for i := range 2 * placement.GlobalSlotCount {
		p := fmt.Sprintf("warm-%d", i)
		require.NoError(f.t, e.Write(f.t.Context(), p, keepFor, reservation("1")))
		_, err := e.Read(f.t.Context(), p, "")
		require.NoError(f.t, err)
		require.NoError(f.t, e.Write(f.t.Context(), p, keepFor, settlement("1")))
	}
	time.Sleep(100 * time.Millisecond)
	f.forget()
}

// timed returns how long a call takes.
func timed(call func()) time.Duration {
	began := time.Now()
	call()
	return time.Since(began)
}

// A read asks as many replicas as it needs, those of its own data centre first.
func TestAReadAsksAQuorumOfTheNearest(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 2, grown...)
		defer f.close()
		e := f.entry("a")
		f.warm(e)
		for i := range placement.GlobalSlotCount {
			p := fmt.Sprintf("p%d", i)
			f.forget()
			_, err := e.Read(t.Context(), p, "")
			require.NoError(t, err)
			asked := f.asked(isRead)
			require.Len(t, asked, 3, p)
			for _, r := range f.slots.Slots[placement.GlobalSlotOf(p)].Replicas {
				if f.by(r.Member).dataCentre == "a" {
					require.Contains(t, asked, f.by(r.Member), "the near ones first")
				}
			}
		}
	})
}

// A slot of three replicas, or one that a replica joins, is read from all that are active.
func TestAReadAsksAllWhereReplicasAreFewOrJoin(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 1, "a", "b", "c")
		e := f.entry("a")
		_, err := e.Read(t.Context(), "p", "")
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
		require.Len(t, f.asked(isRead), 3)
		f.close()

		f = newFleet(t, 2, grown...)
		defer f.close()
		slot := placement.GlobalSlotOf("p")
		f.slots.Slots[slot].Replicas[0].Joining = true
		f.slots.Epoch++
		f.adopt()
		e = f.entry("a")
		_, err = e.Read(t.Context(), "p", "")
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
		require.Len(t, f.asked(isRead), 4)
	})
}

// A replica that was asked and fails holds a read up for no longer than the hedge, whatever
// the fault; after that it is asked last.
func TestAReadGoesOnWithoutAReplicaThatFails(t *testing.T) {
	for _, x := range faults {
		t.Run(x.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				f := newFleet(t, 2, grown...)
				defer f.close()
				e := f.entry("a")
				f.warm(e)
				const program = "p"
				require.NoError(t, e.Write(t.Context(), program, keepFor, settlement("1"), kept("1", "")))
				f.forget()
				_, err := e.Read(t.Context(), program, "1")
				require.NoError(t, err)
				// The one that fails is the one that would send the chain.
				near := slices.IndexFunc(f.asked(isRead), func(m *member) bool { return m.sentChain() })
				broken := f.asked(isRead)[near]
				x.inject(f, e, broken)
				took := timed(func() {
					past, err := e.Read(t.Context(), program, "1")
					require.NoError(t, err)
					require.Len(t, past.Chain, 1)
					require.EqualValues(t, 40, past.Usage.TokensExcluding(""))
				})
				require.LessOrEqual(t, took, hedgeMost+roundTrip)
				if x.name == "slow" {
					return
				}
				time.Sleep(time.Second)
				f.forget()
				took = timed(func() {
					_, err := e.Read(t.Context(), program, "1")
					require.NoError(t, err)
				})
				require.LessOrEqual(t, took, roundTrip, "known to fail")
				require.NotContains(t, f.asked(isRead), broken)
			})
		})
	}
}

// sentChain reports whether the member was asked for a chain.
func (m *member) sentChain() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.calls, func(r *historypb.Request) bool { return r.GetRead().GetTurn() != "" })
}

// While a replica is replaced and two disks of its slot are lost, it may be the only one that
// has what lay on all three: a read is complete with its answer only.
func TestAReadNeedsTheFormerReplicaWhereFewAreLeft(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 2, grown...)
		defer f.close()
		const program = "p"
		s := &f.slots.Slots[placement.GlobalSlotOf(program)]
		for i := range 3 {
			s.Replicas[i].Joining = true
		}
		outside := slices.IndexFunc(f.members, func(m *member) bool { _, in := s.Replica(m.id); return !in })
		former := f.members[outside]
		s.FormerMember = former.id
		f.slots.Epoch++
		f.adopt()
		e := f.entry("a")
		f.forget()
		_, err := e.Read(t.Context(), program, "")
		require.NoError(t, err)
		require.Len(t, f.asked(isRead), 3)
		require.Contains(t, f.asked(isRead), former)
		f.net.Freeze(former.place, true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = e.Read(ctx, program, "")
		require.True(t, failure.Is(err, failure.HistoryUnavailable), "%v", err)
	})
}

// A program that comes through another data centre than before finds its chain at one replica
// that both write to: no other is asked for it, but for the nearest.
func TestAChainIsFoundFromAnotherDataCentre(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 2, grown...)
		defer f.close()
		a, d := f.entry("a"), f.entry("d")
		f.warm(a)
		f.warm(d)
		for i := range placement.GlobalSlotCount {
			p := fmt.Sprintf("p%d", i)
			require.NoError(t, a.Write(t.Context(), p, keepFor, settlement(p+"1"), kept(p+"1", "")))
			require.NoError(t, a.Write(t.Context(), p, keepFor, settlement(p+"2"), kept(p+"2", p+"1")))
			f.forget()
			past, err := d.Read(t.Context(), p, p+"2")
			require.NoError(t, err)
			require.Len(t, past.Chain, 2)
			require.False(t, past.ChainInOtherProgram)
			require.LessOrEqual(t, len(f.asked(func(r *historypb.Request) bool { return r.GetRead().GetTurn() != "" })), 2)
		}
	})
}
