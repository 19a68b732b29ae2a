package quorum

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/ledger"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

// ProgramHistory is the stored history of a program, merged from the replies of its replicas.
type ProgramHistory struct {
	// Usage is the program's budget use, in tokens.
	Usage ledger.Usage
	// Chain is the requested chain of turns, newest first.
	Chain []*historypb.Turn
	// Runs lists the targets that have run prompts which end with one of the requested parts.
	Runs []*historypb.Ran
	// BrokenRuns are the broken runs of the requested request.
	BrokenRuns []*historypb.BrokenRun
}

// Read returns the budget use of a program, the chain that ends with turn unless turn is empty,
// and the targets that ran turns whose prompts ended with one of the parts. It retries until the
// context ends. It fails with UnknownTurn only if enough replicas of every slot that could hold
// the turn have answered, with IncompleteChain if they hold it but not a turn before it, and with
// HistoryUnavailable if too few replicas answered.
func (c *Client) Read(ctx context.Context, program, turn string, parts ...string) (*ProgramHistory, error) {
	return c.ReadQuery(ctx, Query{Program: program, Turn: turn, Parts: parts})
}

// Query says what is read of a program.
type Query struct {
	Program string
	// Turn is the last turn of the chain to be read; empty for none.
	Turn string
	// Parts are the parts of prompts for which the targets that ran them are read.
	Parts []string
	// Request is the fingerprint of the request whose broken runs are read; empty for none.
	Request string
}

// ReadQuery is Read for a Query, and also returns the broken runs of a request.
func (c *Client) ReadQuery(ctx context.Context, q Query) (*ProgramHistory, error) {
	startedAt := time.Now()
	for {
		history, err := c.readOnce(ctx, q)
		if err == nil || failure.Is(err, failure.UnknownTurn) || failure.Is(err, failure.IncompleteChain) {
			c.meter.Observe("history_read", time.Since(startedAt))
			return history, err
		}
		c.meter.Count("history_reads", "failed")
		if !wait.For(ctx, retryDelay) {
			return nil, err
		}
	}
}

func (c *Client) readOnce(ctx context.Context, q Query) (*ProgramHistory, error) {
	m := c.currentMap()
	if m == nil || !m.IsAssigned() {
		return nil, failure.New(failure.HistoryUnavailable, "no slot map")
	}
	slot, ok := m.Slot(q.Program)
	if !ok {
		return nil, failure.New(failure.HistoryUnavailable, "no member in the region of %q", q.Program)
	}
	history := &ProgramHistory{}
	turns := map[string]*historypb.Turn{}
	// The first replica to be asked sends the chain, and so do those that are asked because it
	// fails or is late; the others only confirm the budget and the broken runs. The same holds for the targets of
	// earlier turns if the slot allows a quorum first, since the first replica of such a slot
	// knows them as well as the others.
	first, firstReplied := "", false
	err := c.readReplicas(ctx, m, slot, func(member string, additional bool) *historypb.Read {
		if first == "" {
			first = member
		}
		if member == first || additional && !firstReplied {
			return &historypb.Read{Program: q.Program, Turn: q.Turn, Parts: q.Parts, Request: q.Request}
		}
		if m.AllowsQuorumFirst(int(slot)) {
			return &historypb.Read{Program: q.Program, Request: q.Request}
		}
		return &historypb.Read{Program: q.Program, Parts: q.Parts, Request: q.Request}
	}, func(member string, r *historypb.Reply) {
		firstReplied = firstReplied || member == first
		history.Usage.Merge(r.Spending)
		history.Runs = append(history.Runs, r.Ran...)
		history.BrokenRuns = append(history.BrokenRuns, r.BrokenRuns...)
		addTurns(turns, r.Chain)
	})
	if err != nil {
		return nil, err
	}
	missing := history.link(q.Turn, turns)
	for missing != "" {
		if err := c.findTurn(ctx, m, slot, missing, turns); err != nil {
			return nil, err
		}
		if turns[missing] == nil {
			if err := c.findInAnySlot(ctx, m, missing, turns); err != nil {
				return nil, c.chainFailure(err, q.Turn, missing)
			}
		}
		missing = history.link(q.Turn, turns)
	}
	return history, nil
}

// chainFailure returns the failure of a read whose chain lacks a turn: IncompleteChain, logged, if the turn
// itself was found.
func (c *Client) chainFailure(err error, turn, missing string) error {
	if missing == turn || !failure.Is(err, failure.UnknownTurn) {
		return err
	}
	c.meter.Count("history_chains", "broken")
	c.logger.Error("turn is stored without one before it", "turn", turn, "missing", missing)
	return failure.New(failure.IncompleteChain, "turn %s is stored, but not turn %s before it", turn, missing)
}

// addTurns adds the turns of a chain to turns, which is keyed by turn name.
func addTurns(turns map[string]*historypb.Turn, chain []*historypb.Turn) {
	for _, t := range chain {
		turns[t.Turn] = t
	}
}

// link rebuilds the chain that ends with turn from the turns received so far. It returns the name
// of the first turn that is missing, or "" if the chain is complete.
func (h *ProgramHistory) link(turn string, turns map[string]*historypb.Turn) (missing string) {
	h.Chain = h.Chain[:0]
	for turn != "" {
		t := turns[turn]
		if t == nil {
			return turn
		}
		h.Chain = append(h.Chain, t)
		turn = t.Previous
	}
	return ""
}

// readReplicas reads from active replicas of a slot until the read is complete. If the slot allows
// a quorum first, it asks as many replicas as a read needs, and the others only if one of these
// fails or is late. build makes the request to a member; additional reports that the member was
// not among the first. handle is called with each reply.
func (c *Client) readReplicas(ctx context.Context, m *placement.Map, slot uint32, build func(member string, additional bool) *historypb.Read, handle func(string, *historypb.Reply)) error {
	s := &m.Slots[slot]
	repliesNeeded := m.ReadQuorum(s)
	members := c.rankedReplicas(m, slot)
	if former, needed := m.FormerMemberForRead(int(slot)); needed {
		members = append(members, former)
		repliesNeeded = len(members)
	}
	r := &round{
		client: c, slotMap: m, slot: slot, members: members,
		build: func(member string, additional bool) *historypb.Request {
			return &historypb.Request{Call: &historypb.Request_Read{Read: build(member, additional)}}
		},
		accept: func(member string, reply *historypb.Reply) bool {
			handle(member, reply)
			repliesNeeded--
			return repliesNeeded == 0
		},
	}
	first := len(r.members)
	if m.AllowsQuorumFirst(int(slot)) {
		first = repliesNeeded
	}
	if r.run(ctx, first) {
		return nil
	}
	return incompleteError(r.lastErr, "%d more replies needed for a complete read of slot %d", repliesNeeded, slot)
}

// findTurn asks the replicas of a slot for a turn and the turns before it, and adds them to turns.
func (c *Client) findTurn(ctx context.Context, m *placement.Map, slot uint32, turn string, turns map[string]*historypb.Turn) error {
	c.meter.Count("history_chains", "incomplete")
	if m.AllowsQuorumFirst(int(slot)) && c.findAtPreferred(ctx, m, slot, turn, turns) {
		return nil
	}
	return c.readReplicas(ctx, m, slot,
		func(string, bool) *historypb.Read { return &historypb.Read{Turn: turn} },
		func(_ string, r *historypb.Reply) { addTurns(turns, r.Chain) })
}

// findAtPreferred asks the preferred replica, to which all data centres write, for a turn and
// reports whether it has it. A program whose requests move to another data centre then costs the
// transfer of one chain instead of one from each replica.
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

// findInAnySlot asks all members for a turn that another program may have stored. It fails with
// UnknownTurn if the members that answered hold every acknowledged record of all slots, and with
// HistoryUnavailable if too few answered.
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
