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
func (m *member) records(program string) (all, whole int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.calls {
		for _, r := range c.GetWrite().GetRecords() {
			if r.Program != program {
				continue
			}
			all++
			if r.GetTurn() != nil || r.GetSettle().GetRan() != nil {
				whole++
			}
		}
	}
	return all, whole
}

// A reservation goes to a quorum. A turn that is kept goes to a quorum whole; the others are
// told that it is over, which also keeps what they have for as long as the program lives.
func TestAWriteGoesToAQuorumOfTheNearest(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 2, grown...)
		defer f.close()
		e := f.entry("a")
		f.warm(e)
		for i := range placement.GlobalSlotCount {
			p := fmt.Sprintf("p%d", i)
			f.forget()
			require.NoError(t, e.Write(t.Context(), p, keepFor, reservation("1")))
			time.Sleep(10 * time.Millisecond)
			require.Len(t, f.asked(isWrite), 3, p)
			f.forget()
			require.NoError(t, e.Write(t.Context(), p, keepFor, settlement("1"), kept("1", "")))
			time.Sleep(10 * time.Millisecond)
			require.Len(t, f.asked(isWrite), 5, p)
			full, expires := 0, map[int64]bool{}
			for _, m := range f.asked(isWrite) {
				all, whole := m.records(p)
				full += whole
				require.Equal(t, 1+whole/2, all, "a settlement, or both")
				expires[m.calls[0].GetWrite().Records[0].ExpiresMs] = true
			}
			require.Equal(t, 6, full, "a settlement and a turn to each of three")
			require.Len(t, expires, 1, "all keep the program for the same time")
		}
	})
}

// A slot of three replicas, one that a replica joins, and one that a data centre crowds are
// written to all replicas.
func TestAWriteGoesToAllOfASlotThatIsNotSteady(t *testing.T) {
	cases := map[string]struct {
		faults, replicas int
		places           []string
		change           func(*placement.Slot)
	}{
		"few":     {1, 3, []string{"a", "b", "c"}, func(*placement.Slot) {}},
		"joining": {2, 5, grown, func(s *placement.Slot) { s.Replicas[0].Joining = true }},
		"crowded": {2, 5, []string{"a", "a", "a", "b", "c"}, func(*placement.Slot) {}},
		"spans":   {2, 5, []string{"a", "a", "a", "b", "c"}, func(s *placement.Slot) { s.Spanning = true }},
		"guarded": {2, 5, grown, func(s *placement.Slot) { s.Guarded = true }},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				f := newFleet(t, x.faults, x.places...)
				defer f.close()
				x.change(&f.slots.Slots[placement.GlobalSlotOf("p")])
				f.slots.Epoch++
				f.adopt()
				e := f.entry("a")
				f.forget()
				require.NoError(t, e.Write(t.Context(), "p", keepFor, reservation("1")))
				time.Sleep(10 * time.Millisecond)
				require.Len(t, f.asked(isWrite), x.replicas)
			})
		})
	}
}

// A replica that was sent a write and fails holds it up for no longer than the hedge; the
// turn is whole on a quorum of others then.
func TestAWriteGoesOnWithoutAReplicaThatFails(t *testing.T) {
	for _, x := range faults {
		t.Run(x.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				f := newFleet(t, 2, grown...)
				defer f.close()
				e := f.entry("a")
				f.warm(e)
				const program = "p"
				require.NoError(t, e.Write(t.Context(), program, keepFor, reservation("1")))
				broken := f.asked(isWrite)[0]
				x.inject(f, e, broken)
				f.forget()
				took := timed(func() {
					require.NoError(t, e.Write(t.Context(), program, keepFor, settlement("1"), kept("1", "")))
				})
				require.LessOrEqual(t, took, hedgeMost+roundTrip)
				holders := 0
				for _, m := range f.members {
					if _, whole := m.records(program); whole > 0 && m != broken {
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
func TestTwoDisksLostRightAfterTheAcknowledgement(t *testing.T) {
	for spared := range 3 {
		bubble(t, func(t *testing.T) {
			f := newFleet(t, 2, grown...)
			defer f.close()
			e := f.entry("a")
			f.warm(e)
			const program = "p"
			require.NoError(t, e.Write(t.Context(), program, keepFor, reservation("open")))
			holders := f.asked(isWrite)
			require.Len(t, holders, 3)
			require.NoError(t, e.Write(t.Context(), program, keepFor, settlement("1"), kept("1", "")))
			for i, m := range holders {
				if i != spared {
					f.wipe(m)
				}
			}
			f.adopt()
			for _, reader := range []*entry{e, f.entry("d")} {
				past, err := reader.Read(t.Context(), program, "1", "part")
				require.NoError(t, err)
				require.Len(t, past.Chain, 1)
				require.EqualValues(t, 140, past.Usage.TokensExcluding(""), "the open reservation too")
			}
		})
	}
}

// wipe lets a member lose its disk and its host come back with an empty one.
func (f *fleet) wipe(m *member) {
	_ = m.listener.Close()
	f.net.Crash(m.place)
	m.server.Close()
	old := f.slots.Members[m.id]
	m.dir = f.t.TempDir()
	m.open(f)
	old.ID = m.id
	f.slots.Admit(old)
}
