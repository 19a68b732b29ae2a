package quorum

import (
	"slices"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// Chain is the turns before a turn that is written, newest first. The zero value is that of a first turn.
type Chain struct {
	Turns []*historypb.Turn
	// Own is ProgramHistory.OwnChain.
	Own bool
	// Reserve reserves memory for n bytes of turns that are about to be sent to a member; nil reserves
	// nothing. If it fails the member counts as failed.
	Reserve func(n int64) error
}

// isStored reports whether each turn is on a quorum of a slot's replicas under the program, as far as that
// slot needs it. If a program stored the last turn itself, the members that acknowledged it had the whole chain,
// or each turn before was on a quorum already. Where writes go to a quorum first, the other replicas are told
// of the program's retention, so this suffices; elsewhere a replica may also have missed that.
func (c *Chain) isStored(m *placement.Map, slot uint32) bool {
	return c.Own && m.AllowsQuorumFirst(int(slot))
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
