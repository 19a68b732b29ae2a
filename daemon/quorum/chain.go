package quorum

import (
	"slices"

	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// Chain is the turns before a turn that is written, newest first. The zero value is that of a first turn.
type Chain struct {
	Turns []*historypb.Turn
	// Reserve reserves memory for n bytes of turns that are about to be sent to a member; nil reserves
	// nothing. If it fails the member counts as failed.
	Reserve func(n int64) error
}

// turnIDs returns the IDs of the turns.
func (c *Chain) turnIDs() []string {
	if len(c.Turns) == 0 {
		return nil
	}
	ids := make([]string, 0, len(c.Turns))
	for _, t := range c.Turns {
		ids = append(ids, t.Turn)
	}
	return ids
}

// sendMissingTurns returns the write of records together with the turns of the chain that a member lacks
// according to its reply, nil if the reply names none.
func (c *Client) sendMissingTurns(member string, reply *historypb.Reply, chain Chain, records []*historypb.Record) *historypb.Request {
	if reply.Status != historypb.Status_STATUS_TURNS_MISSING {
		return nil
	}
	size := int64(0)
	all := slices.Clone(records)
	for _, t := range chain.Turns {
		if !slices.Contains(reply.MissingTurns, t.Turn) {
			continue
		}
		size += int64(len(t.Content))
		all = append(all, &historypb.Record{
			Slot: records[0].Slot, Program: records[0].Program, ExpiresMs: records[0].ExpiresMs,
			Change: &historypb.Record_Turn{Turn: t},
		})
	}
	if chain.Reserve != nil {
		if err := chain.Reserve(size); err != nil {
			c.logger.Warn("turns not sent to a member that lacks them", "member", member, "bytes", size, "error", err.Error())
			return nil
		}
	}
	c.meter.Add(int64(len(all)-len(records)), "history_turns", "sent_again")
	return writeRequest(all, chain.turnIDs())
}
