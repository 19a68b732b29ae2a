package replicas

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// heardOfBoth returns the members that were sent a turn of the program and a reservation.
func (f *fleet) heardOfBoth(program string) (list []*member) {
	of := func(is func(*historypb.Record) bool) []*member {
		return f.asked(func(r *historypb.Request) bool {
			return slices.ContainsFunc(r.GetWrite().GetRecords(), func(x *historypb.Record) bool { return x.Program == program && is(x) })
		})
	}
	reserved := of(func(x *historypb.Record) bool { return x.GetReserve() != nil })
	for _, m := range of(func(x *historypb.Record) bool { return x.GetTurn() != nil }) {
		if slices.Contains(reserved, m) {
			list = append(list, m)
		}
	}
	return list
}

// A turn begins at the end of the retention and runs for as long as turns may: the one before
// it is still found when those fail that have it and heard of
// the new one's begin.
func TestAChainOutlivesALongTurn(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 2, grown...)
		defer f.close()
		stop := make(chan struct{})
		defer close(stop)
		for _, m := range f.members {
			go m.server.Sweep(stop)
		}
		a, d := f.entry("a"), f.entry("d")
		f.warm(a)
		f.warm(d)
		const longest = 40 * time.Second
		keep := keepFor + a.ExtraRetention(longest)
		for i := range placement.GlobalSlotCount {
			p := fmt.Sprintf("p%d", i)
			require.NoError(t, a.Write(t.Context(), p, keep, settlement(p+"1"), kept(p+"1", "")))
		}
		time.Sleep(keepFor - time.Second)
		program, both := "", []*member(nil)
		for i := 0; program == "" || len(both) > 2; i++ {
			require.Less(t, i, placement.GlobalSlotCount)
			program = fmt.Sprintf("p%d", i)
			require.NoError(t, d.Write(t.Context(), program, keep, reservation(program+"2")))
			time.Sleep(10 * time.Millisecond)
			both = f.heardOfBoth(program)
		}
		time.Sleep(longest)
		require.NoError(t, d.Write(t.Context(), program, keep, settlement(program+"2"), kept(program+"2", program+"1")))
		time.Sleep(time.Second)
		for _, m := range both {
			f.net.Freeze(m.place, true)
		}
		past, err := a.Read(t.Context(), program, program+"2")
		require.NoError(t, err)
		require.Len(t, past.Chain, 2)
	})
}

// With one disk to lose, all replicas hear of all writes, and nothing is kept for longer.
func TestNothingIsKeptForLongerWhereAllReplicasHearOfAllWrites(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 1, "a", "b", "c")
		defer f.close()
		require.Zero(t, f.entry("a").ExtraRetention(time.Minute))
	})
}
