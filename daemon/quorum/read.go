package quorum

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/ledger"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// ProgramHistory is what the history hosts know of a program.
type ProgramHistory struct {
	Usage ledger.Usage
	// Chain is the chain of turns asked for, newest first.
	Chain []*historypb.Turn
	// Runs is the targets that have read the parts asked for.
	Runs []*historypb.Ran
	// ChainInOtherProgram reports that the chain was kept by another program.
	ChainInOtherProgram bool
}

// Read returns the budget use of a program, the chain that ends with turn unless that is
// empty, and where turns ran whose prompts ended with one of the parts. It fails with UnknownTurn only if every place where the
// turn could be was asked, and with HistoryUnavailable if not enough answered.
func (c *Client) Read(ctx context.Context, program, turn string, parts ...string) (*ProgramHistory, error) {
	startedAt := time.Now()
	for {
		history, err := c.readOnce(ctx, program, turn, parts)
		if err == nil || failure.Is(err, failure.UnknownTurn) {
			c.meter.Observe("history_read", time.Since(startedAt))
			return history, err
		}
		c.meter.Count("history_reads", "failed")
		if !waitRetryDelay(ctx) {
			return nil, err
		}
	}
}

func (c *Client) readOnce(ctx context.Context, program, turn string, parts []string) (*ProgramHistory, error) {
	m := c.currentMap()
	if m == nil || !m.IsAssigned() {
		return nil, failure.New(failure.HistoryUnavailable, "no slot map")
	}
	slot, ok := m.Slot(program)
	if !ok {
		return nil, failure.New(failure.HistoryUnavailable, "no member in the region of %q", program)
	}
	history := &ProgramHistory{}
	turns := map[string]*historypb.Turn{}
	// One replica sends the chain, the others confirm the budget: the first to be asked, and
	// those that are asked because it fails or is late. So it is with where turns ran, which
	// the first of a steady slot knows as well as the others.
	first, firstReplied := "", false
	err := c.readReplicas(ctx, m, slot, func(member string, more bool) *historypb.Read {
		if first == "" {
			first = member
		}
		if member == first || more && !firstReplied {
			return &historypb.Read{Program: program, Turn: turn, Parts: parts}
		}
		if m.AllowsQuorumFirst(int(slot)) {
			return &historypb.Read{Program: program}
		}
		return &historypb.Read{Program: program, Parts: parts}
	}, func(member string, r *historypb.Reply) {
		firstReplied = firstReplied || member == first
		history.Usage.Merge(r.Spending)
		history.Runs = append(history.Runs, r.Ran...)
		addTurns(turns, r.Chain)
	})
	if err != nil {
		return nil, err
	}
	missing := history.link(turn, turns)
	for missing != "" {
		if err := c.findTurn(ctx, m, slot, missing, turns); err != nil {
			return nil, err
		}
		if turns[missing] == nil {
			history.ChainInOtherProgram = true
			if err := c.findInAnySlot(ctx, m, missing, turns); err != nil {
				return nil, err
			}
		}
		missing = history.link(turn, turns)
	}
	return history, nil
}

func addTurns(turns map[string]*historypb.Turn, chain []*historypb.Turn) {
	for _, t := range chain {
		turns[t.Turn] = t
	}
}

// link rebuilds the chain from the turns at hand and returns the one missing.
func (p *ProgramHistory) link(turn string, turns map[string]*historypb.Turn) (missing string) {
	p.Chain = p.Chain[:0]
	for turn != "" {
		t := turns[turn]
		if t == nil {
			return turn
		}
		p.Chain = append(p.Chain, t)
		turn = t.Previous
	}
	return ""
}

// gather reads from active replicas of a slot until the read is complete: of a steady slot
// from as many as that takes, and from the others where one of these fails or is late.
func (c *Client) readReplicas(ctx context.Context, m *placement.Map, slot uint32, build func(member string, more bool) *historypb.Read, handle func(string, *historypb.Reply)) error {
	s := &m.Slots[slot]
	missing := m.ReadQuorum(s)
	members := c.rankedReplicas(m, slot)
	if former, needed := m.FormerMemberForRead(int(slot)); needed {
		members = append(members, former)
		missing = len(members)
	}
	r := &round{
		client: c, slotMap: m, slot: slot, members: members,
		build: func(member string, more bool) *historypb.Request {
			return &historypb.Request{Call: &historypb.Request_Read{Read: build(member, more)}}
		},
		accept: func(member string, reply *historypb.Reply) bool {
			handle(member, reply)
			missing--
			return missing == 0
		},
	}
	first := len(r.members)
	if m.AllowsQuorumFirst(int(slot)) {
		first = missing
	}
	if r.run(ctx, first) {
		return nil
	}
	return incompleteError(r.lastErr, "%d replicas of slot %d missing", missing, slot)
}

// find asks the replicas of a slot for a turn and those before it.
func (c *Client) findTurn(ctx context.Context, m *placement.Map, slot uint32, turn string, turns map[string]*historypb.Turn) error {
	c.meter.Count("history_chains", "incomplete")
	if m.AllowsQuorumFirst(int(slot)) && c.findAtPreferred(ctx, m, slot, turn, turns) {
		return nil
	}
	return c.readReplicas(ctx, m, slot,
		func(string, bool) *historypb.Read { return &historypb.Read{Turn: turn} },
		func(_ string, r *historypb.Reply) { addTurns(turns, r.Chain) })
}

// findHome asks the replica that all data centres write to for a turn, and reports whether it
// has it: a program that comes from another data centre than before costs one chain then, and
// not one from each replica.
func (c *Client) findAtPreferred(ctx context.Context, m *placement.Map, slot uint32, turn string, turns map[string]*historypb.Turn) bool {
	r := &round{
		client: c, slotMap: m, slot: slot, members: c.preferredReplicas(m, slot),
		build: func(string, bool) *historypb.Request {
			return &historypb.Request{Call: &historypb.Request_Read{Read: &historypb.Read{Turn: turn}}}
		},
		accept: func(_ string, reply *historypb.Reply) bool {
			addTurns(turns, reply.Chain)
			return true
		},
	}
	return r.run(ctx, 1) && turns[turn] != nil
}

// findAnywhere asks all members for a turn that another program may have kept.
// It fails with UnknownTurn if every slot's active replicas answered in number.
func (c *Client) findInAnySlot(ctx context.Context, m *placement.Map, turn string, turns map[string]*historypb.Turn) error {
	members := make([]string, 0, len(m.Members))
	for id := range m.Members {
		members = append(members, id)
	}
	replies := c.sendAll(m, 0, members, func(string) *historypb.Request {
		return &historypb.Request{Call: &historypb.Request_Read{Read: &historypb.Read{Turn: turn, AnySlot: true}}}
	})
	answered := map[string]bool{}
	for range members {
		answer := nextReply(ctx, replies)
		if answer.err != nil {
			continue
		}
		answered[answer.member] = true
		addTurns(turns, answer.reply.Chain)
		if turns[turn] != nil {
			return nil
		}
	}
	if !coversAllSlots(m, answered) {
		return failure.New(failure.HistoryUnavailable, "turn %s not found, %d of %d members answered", turn, len(answered), len(members))
	}
	return failure.New(failure.UnknownTurn, "turn %s", turn)
}

// covers reports whether the members together hold every acknowledged record.
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
