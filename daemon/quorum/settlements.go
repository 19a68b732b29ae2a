package quorum

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// spareSettlements returns the records of a write that are also sent to the replicas beyond the
// quorum of a slot that allows a quorum first: its settlements, without the targets that ran the
// turn. A settlement extends the retention of these replicas' records of the program to that of
// the others, and ends a reservation that they may have. They do not need reservations and
// turns: each is on a quorum, as the budget and the chain require.
func spareSettlements(records []*historypb.Record) []*historypb.Record {
	var settlements []*historypb.Record
	for _, r := range records {
		s := r.GetSettle()
		if s == nil {
			continue
		}
		settlements = append(settlements, &historypb.Record{
			Slot: r.Slot, Program: r.Program, ExpiresMs: r.ExpiresMs,
			Change: &historypb.Record_Settle{Settle: &historypb.Settle{Turn: s.Turn, Tokens: s.Tokens, SoftwareVersion: s.SoftwareVersion}},
		})
	}
	return settlements
}

// ExtraRetention returns the time to add to a program's retention so that all its replicas hold it
// until a next turn that lasts up to maxTurnDuration has ended. Replicas beyond the quorum are
// not notified when a turn begins, and would otherwise delete the earlier turns meanwhile.
func (c *Client) ExtraRetention(maxTurnDuration time.Duration) time.Duration {
	if m := c.currentMap(); m == nil || !m.HasSpareReplicas() {
		return 0
	}
	return maxTurnDuration
}

// sendUnconfirmed sends records to members without waiting for their replies.
func (c *Client) sendUnconfirmed(m *placement.Map, slot uint32, members []string, records []*historypb.Record) {
	if len(records) == 0 || len(members) == 0 {
		return
	}
	c.sendAll(m, slot, members, func(string) *historypb.Request { return writeRequest(records, nil) })
}

// writeRequest returns a request to store records; chain holds the turns before the one among them.
func writeRequest(records []*historypb.Record, chain []string) *historypb.Request {
	return &historypb.Request{Call: &historypb.Request_Write{Write: &historypb.Write{Records: records, Chain: chain}}}
}
