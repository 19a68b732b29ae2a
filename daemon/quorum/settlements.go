package quorum

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// brief returns what the replicas of a steady slot beyond the quorum are told of a write:
// settlements, without where the turn ran. A settlement keeps what they have of the program
// for as long as the others do, and ends a reservation that they may have. Reservations and
// turns they do without: each is on a quorum, as the budget and the chain need it.
func spareSettlements(records []*historypb.Record) []*historypb.Record {
	var settlements []*historypb.Record
	for _, r := range records {
		s := r.GetSettle()
		if s == nil {
			continue
		}
		settlements = append(settlements, &historypb.Record{
			Slot: r.Slot, Program: r.Program, ExpiresMs: r.ExpiresMs,
			Change: &historypb.Record_Settle{Settle: &historypb.Settle{Turn: s.Turn, Tokens: s.Tokens}},
		})
	}
	return settlements
}

// ExtraRetention returns by how much longer than for its retention a program must be kept so that all
// its replicas have it until a next turn that lasts up to turn has ended: those beyond the
// quorum are not told that it begins, and would drop the turns before it meanwhile.
func (c *Client) ExtraRetention(maxTurnDuration time.Duration) time.Duration {
	if m := c.currentMap(); m == nil || !m.HasSpareReplicas() {
		return 0
	}
	return maxTurnDuration
}

// tell sends the brief of a write to members; nobody waits for their answers.
func (c *Client) sendUnconfirmed(m *placement.Map, slot uint32, members []string, records []*historypb.Record) {
	if len(records) == 0 || len(members) == 0 {
		return
	}
	c.sendAll(m, slot, members, func(string) *historypb.Request { return writeRequest(records) })
}

func writeRequest(records []*historypb.Record) *historypb.Request {
	return &historypb.Request{Call: &historypb.Request_Write{Write: &historypb.Write{Records: records}}}
}
