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
	// OwnChain reports that the program has all turns of the chain at a member, and stored the last of them
	// itself.
	OwnChain bool
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
	// ReserveChain makes sure that memory is reserved for a chain of n bytes, which is larger than
	// maxUnreservedChainBytes, before a member sends it. If it is nil chains of any size are read.
	ReserveChain func(n int64) error
}

// ReadQuery is Read for a Query, and also returns the broken runs of a request.
func (c *Client) ReadQuery(ctx context.Context, q Query) (*ProgramHistory, error) {
	startedAt := time.Now()
	for {
		history, err := c.readOnce(ctx, q)
		if err == nil || isFinal(err) {
			c.meter.Observe("history_read", time.Since(startedAt))
			return history, err
		}
		c.meter.Count("history_reads", "failed")
		if !wait.For(ctx, retryDelay) {
			return nil, err
		}
	}
}

// isFinal reports whether a failed read would fail again, or must not wait for memory any longer.
func isFinal(err error) bool {
	switch failure.From(err).Kind {
	case failure.UnknownTurn, failure.IncompleteChain, failure.Overloaded:
		return true
	}
	return false
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
	chain := &chainReader{client: c, slotMap: m, slot: slot, reserve: q.ReserveChain, turns: map[string]*historypb.Turn{}}
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
			return &historypb.Read{Program: q.Program, Turn: q.Turn, Parts: q.Parts, Request: q.Request, MaxChainBytes: chain.maxBytes()}
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
		history.OwnChain = history.OwnChain || r.OwnChain
		chain.add(member, r)
	})
	if err == nil {
		err = chain.fetchLeftOut(ctx, q.Turn)
	}
	if err != nil {
		return nil, err
	}
	for missing := history.link(q.Turn, chain.turns); missing != ""; missing = history.link(q.Turn, chain.turns) {
		if err := chain.find(ctx, missing); err != nil {
			return nil, c.chainFailure(err, q.Turn, missing)
		}
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
			return readRequest(build(member, additional))
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
