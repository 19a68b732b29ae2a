package quorum

import (
	"context"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// maxUnreservedChainBytes bounds a chain that a member sends without memory reserved for it. Of a longer
// one it only sends the size at first.
const maxUnreservedChainBytes = 64 << 10

// chainReader collects the turns of a chain from members.
type chainReader struct {
	client  *Client
	slotMap *placement.Map
	slot    uint32
	// reserve is Query.ReserveChain.
	reserve func(n int64) error
	// turns holds the turns received so far, by ID.
	turns map[string]*historypb.Turn
	// leftOut is the longest chain that a member has left out since the last fetchLeftOut.
	leftOut leftOutChain
}

// leftOutChain is a chain that a member did not send for its size in bytes; the zero value is none.
type leftOutChain struct {
	member string
	bytes  int64
}

// maxBytes returns the bound on the chain that a member may send, 0 for none.
func (r *chainReader) maxBytes() int64 {
	if r.reserve == nil {
		return 0
	}
	return maxUnreservedChainBytes
}

// add adds what a member has replied.
func (r *chainReader) add(member string, reply *historypb.Reply) {
	addTurns(r.turns, reply.Chain)
	if reply.ChainBytes > r.leftOut.bytes {
		r.leftOut = leftOutChain{member, reply.ChainBytes}
	}
}

// has reports whether a turn was received, or a member has it in a chain that it left out.
func (r *chainReader) has(turn string) bool { return r.turns[turn] != nil || r.leftOut.member != "" }

// find asks for a turn and the turns before it: the replicas of the slot, then all members. It fails with
// UnknownTurn if none of them has it.
func (r *chainReader) find(ctx context.Context, turn string) error {
	if err := r.findInSlot(ctx, turn); err != nil {
		return err
	}
	if !r.has(turn) {
		if err := r.findInAnySlot(ctx, turn); err != nil {
			return err
		}
	}
	return r.fetchLeftOut(ctx, turn)
}

// fetchLeftOut reserves memory for the chain that a member left out, and then requests it, unless the turn
// with which it ends was received from another member.
func (r *chainReader) fetchLeftOut(ctx context.Context, turn string) error {
	large := r.leftOut
	r.leftOut = leftOutChain{}
	if large.member == "" || r.turns[turn] != nil {
		return nil
	}
	if err := r.reserve(large.bytes); err != nil {
		return err
	}
	request := readRequest(&historypb.Read{Turn: turn, MaxChainBytes: large.bytes})
	replies := r.client.sendAll(r.slotMap, r.slot, []string{large.member}, func(string) *historypb.Request { return request })
	answer := nextReply(ctx, replies)
	if answer.err != nil {
		return failure.Wrap(answer.err, failure.HistoryUnavailable, "read chain of %d bytes", large.bytes)
	}
	addTurns(r.turns, answer.reply.Chain)
	if r.turns[turn] == nil {
		return failure.New(failure.HistoryUnavailable, "member %s did not send a chain of %d bytes", large.member, large.bytes)
	}
	return nil
}

// findInSlot asks the replicas of the slot for a turn and the turns before it.
func (r *chainReader) findInSlot(ctx context.Context, turn string) error {
	r.client.meter.Count("history_chains", "incomplete")
	if r.slotMap.AllowsQuorumFirst(int(r.slot)) && r.findAtPreferred(ctx, turn) {
		return nil
	}
	return r.client.readReplicas(ctx, r.slotMap, r.slot,
		func(string, bool) *historypb.Read { return &historypb.Read{Turn: turn, MaxChainBytes: r.maxBytes()} }, r.add)
}

// findAtPreferred asks the preferred replica, to which all data centres write, for a turn and
// reports whether it has it. A program whose requests move to another data centre then costs the
// transfer of one chain instead of one from each replica.
func (r *chainReader) findAtPreferred(ctx context.Context, turn string) bool {
	one := &round{
		client: r.client, slotMap: r.slotMap, slot: r.slot, members: r.client.preferredReplicas(r.slotMap, r.slot),
		build: func(string, bool) *historypb.Request {
			return readRequest(&historypb.Read{Turn: turn, MaxChainBytes: r.maxBytes()})
		},
		accept: func(member string, reply *historypb.Reply) bool {
			r.add(member, reply)
			return true
		},
	}
	return one.run(ctx, 1) && r.has(turn)
}

// findInAnySlot asks all members for a turn that another program may have stored. It fails with
// UnknownTurn if the members that answered hold every acknowledged record of all slots, and with
// HistoryUnavailable if too few answered.
func (r *chainReader) findInAnySlot(ctx context.Context, turn string) error {
	m := r.slotMap
	members := make([]string, 0, len(m.Members))
	for id := range m.Members {
		members = append(members, id)
	}
	replies := r.client.sendAll(m, 0, members, func(string) *historypb.Request {
		return readRequest(&historypb.Read{Turn: turn, AnySlot: true, MaxChainBytes: r.maxBytes()})
	})
	answered := map[string]bool{}
	for range members {
		answer := nextReply(ctx, replies)
		if answer.err != nil {
			continue
		}
		answered[answer.member] = true
		r.add(answer.member, answer.reply)
		if r.has(turn) {
			return nil
		}
	}
	if !coversAllSlots(m, answered) {
		return failure.New(failure.HistoryUnavailable, "turn %s not found, %d of %d members answered", turn, len(answered), len(members))
	}
	return failure.New(failure.UnknownTurn, "turn %s", turn)
}

func readRequest(r *historypb.Read) *historypb.Request {
	return &historypb.Request{Call: &historypb.Request_Read{Read: r}}
}

// coversAllSlots reports whether the members that answered together hold every acknowledged
// record: a read quorum of each slot, with the former member where a read needs it.
func coversAllSlots(m *placement.Map, answered map[string]bool) bool {
	for i := range m.Slots {
		s := &m.Slots[i]
		active := 0
		for _, r := range s.Replicas {
			if !r.Joining && answered[r.Member] {
				active++
			}
		}
		if former, needed := m.FormerMemberForRead(i); active < m.ReadQuorum(s) || needed && !answered[former] {
			return false
		}
	}
	return true
}
