package quorum

import (
	"context"
	"math"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

// retryDelay is the delay between two attempts with the replicas of a slot: long enough for a
// killed process to restart, and short against the time a caller waits.
const retryDelay = 50 * time.Millisecond

// retentionMargin allows for clocks of hosts that differ or jump by some seconds.
const retentionMargin = 15 * time.Second

// Write makes records of one program durable. The program is stored for retention from now on.
// Write retries until the context ends, and then returns the last failure, HistoryUnavailable.
// A record may be written more than once.
func (c *Client) Write(ctx context.Context, program string, retention time.Duration, records ...*historypb.Record) error {
	return c.WriteUnlessUnreachable(ctx, maxDuration, program, retention, records...)
}

// maxDuration is longer than any outage.
const maxDuration = time.Duration(math.MaxInt64)

// WriteUnlessUnreachable is like Write but gives up once the program's slot has been unservable
// for longer than unreachableTimeout, because of a network partition for instance: a caller that
// receives the failure can try another host, while one that waits also loses that time.
func (c *Client) WriteUnlessUnreachable(ctx context.Context, unreachableTimeout time.Duration, program string, retention time.Duration, records ...*historypb.Record) error {
	return c.WriteTurn(ctx, unreachableTimeout, program, retention, Chain{}, records...)
}

// WriteTurn is WriteUnlessUnreachable for records with a turn that continues chain. The members that
// acknowledge it have the whole chain in the program, whichever programs stored it before.
func (c *Client) WriteTurn(ctx context.Context, unreachableTimeout time.Duration, program string, retention time.Duration, chain Chain, records ...*historypb.Record) error {
	expiresMs := time.Now().Add(retention + retentionMargin).UnixMilli()
	for _, r := range records {
		r.Program, r.ExpiresMs = program, expiresMs
	}
	startedAt := time.Now()
	for {
		err := c.writeOnce(ctx, chain, records)
		if err == nil {
			c.meter.Observe("history_write", time.Since(startedAt))
			return nil
		}
		c.meter.Count("history_writes", "failed")
		if c.unreachableFor(program) > unreachableTimeout || !wait.For(ctx, retryDelay) {
			return err
		}
	}
}

func (c *Client) writeOnce(ctx context.Context, chain Chain, records []*historypb.Record) error {
	m := c.currentMap()
	if m == nil || !m.IsAssigned() {
		return failure.New(failure.HistoryUnavailable, "no slot map")
	}
	slot, ok := m.Slot(records[0].Program)
	if !ok {
		return failure.New(failure.HistoryUnavailable, "no member in the region of %q", records[0].Program)
	}
	for _, r := range records {
		if r.Slot != slot { // no write if equal: an earlier attempt may still be sending the record
			r.Slot = slot
		}
	}
	if chain.isStored(m, slot) {
		chain = Chain{}
	}
	s := &m.Slots[slot]
	members, first := c.writeMembers(m, slot)
	c.sendUnconfirmed(m, slot, members[first:], spareSettlements(records))
	acks := map[string]bool{}
	r := &round{
		client: c, slotMap: m, slot: slot, members: members,
		build: func(string, bool) *historypb.Request { return writeRequest(records, chain.turnIDs()) },
		accept: func(member string, _ *historypb.Reply) bool {
			acks[member] = true
			return m.IsWriteDurable(s, acks)
		},
		followUp: func(member string, reply *historypb.Reply) *historypb.Request {
			return c.sendMissingTurns(member, reply, chain, records)
		},
	}
	if r.run(ctx, first) {
		return nil
	}
	return incompleteError(r.lastErr, "write acknowledged by %d of %d replicas of slot %d", len(acks), len(members), slot)
}

// writeMembers returns the replicas that may be sent a write, and the number of those that are
// sent it first: the nearest quorum if the slot allows a quorum first, else all replicas.
func (c *Client) writeMembers(m *placement.Map, slot uint32) (members []string, first int) {
	if m.AllowsQuorumFirst(int(slot)) {
		return c.rankedReplicas(m, slot), m.Quorum()
	}
	for _, r := range m.Slots[slot].Replicas {
		members = append(members, r.Member)
	}
	return members, len(members)
}

// incompleteError returns the failure of an operation that too few replicas answered. last is
// the last error of a member; it is nil if all answered but were too few, as in a slot without
// active replicas.
func incompleteError(last error, format string, args ...any) error {
	if last == nil {
		return failure.New(failure.HistoryUnavailable, format, args...)
	}
	return failure.Wrap(last, failure.HistoryUnavailable, format, args...)
}
