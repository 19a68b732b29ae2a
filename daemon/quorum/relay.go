package quorum

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// Relays returns the members that relay the platform: as many as must be lost at
// once to lose them all, the first in the order of their ids that answer.
func (c *Client) Relays() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slots == nil {
		return nil
	}
	now := time.Now()
	var alive []string
	for _, id := range slices.Sorted(maps.Keys(c.slots.Members)) {
		if c.failingFor(id, now) == 0 {
			alive = append(alive, id)
		}
	}
	return alive[:min(len(alive), c.slots.Quorum())]
}

// Ask sends a request that concerns no slot to one member, which may take wait to
// answer it.
func (c *Client) Ask(ctx context.Context, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	m := c.current()
	if m == nil {
		return nil, failure.New(failure.PeerUnavailable, "no slot map")
	}
	to, in := m.Members[member]
	if !in {
		return nil, failure.New(failure.PeerUnavailable, "member %s is gone", member)
	}
	req.Member = member
	reply, err := c.pool.Client(to.Address).CallWaiting(ctx, req, wait)
	c.note(member, err)
	if err != nil {
		return nil, err
	}
	switch reply.Status {
	case historypb.Status_STATUS_OK:
		return reply, nil
	case historypb.Status_STATUS_HISTORY_GONE:
		return nil, failure.New(failure.HistoryGone, "member %s", member)
	default:
		return nil, failure.New(failure.PeerUnavailable, "member %s: %s", member, reply.Status)
	}
}
