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

// membersSentTurnAndReservation returns the members that were sent both a turn of the program and
// a reservation.
func (c *cluster) membersSentTurnAndReservation(program string) (list []*member) {
	sentTo := func(match func(*historypb.Record) bool) []*member {
		return c.membersAsked(func(r *historypb.Request) bool {
			return slices.ContainsFunc(r.GetWrite().GetRecords(), func(record *historypb.Record) bool { return record.Program == program && match(record) })
		})
	}
	reserved := sentTo(func(record *historypb.Record) bool { return record.GetReserve() != nil })
	for _, m := range sentTo(func(record *historypb.Record) bool { return record.GetTurn() != nil }) {
		if slices.Contains(reserved, m) {
			list = append(list, m)
		}
	}
	return list
}

// A turn starts just before the retention of its program ends and runs for the maximum turn
// duration. The turn before it must still be found when the members fail that store it and
// received the new turn's reservation.
func TestChainOutlivesLongTurn(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 2, tenMembers...)
		defer c.close()
		stop := make(chan struct{})
		defer close(stop)
		for _, m := range c.members {
			go m.server.Sweep(stop)
		}
		a, d := c.startEntryHost("a"), c.startEntryHost("d")
		c.warmUp(a)
		c.warmUp(d)
		const maxTurnDuration = 40 * time.Second
		retention := programRetention + a.ExtraRetention(maxTurnDuration)
		for i := range placement.GlobalSlotCount {
			p := fmt.Sprintf("p%d", i)
			require.NoError(t, a.Write(t.Context(), p, retention, settleRecord(p+"1"), turnRecord(p+"1", "")))
		}
		time.Sleep(programRetention - time.Second)
		program, sentBoth := "", []*member(nil)
		for i := 0; program == "" || len(sentBoth) > 2; i++ {
			require.Less(t, i, placement.GlobalSlotCount)
			program = fmt.Sprintf("p%d", i)
			require.NoError(t, d.Write(t.Context(), program, retention, reserveRecord(program+"2")))
			time.Sleep(10 * time.Millisecond)
			sentBoth = c.membersSentTurnAndReservation(program)
		}
		time.Sleep(maxTurnDuration)
		require.NoError(t, d.Write(t.Context(), program, retention, settleRecord(program+"2"), turnRecord(program+"2", program+"1")))
		time.Sleep(time.Second)
		for _, m := range sentBoth {
			c.net.SetFrozen(m.ip, true)
		}
		history, err := a.Read(t.Context(), program, program+"2")
		require.NoError(t, err)
		require.Len(t, history.Chain, 2)
	})
}

// With one tolerated disk failure every write goes to all replicas, so no extra retention is
// needed.
func TestNoExtraRetentionWhenAllReplicasReceiveAllWrites(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.close()
		require.Zero(t, c.startEntryHost("a").ExtraRetention(time.Minute))
	})
}
