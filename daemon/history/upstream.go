package history

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/daemon/relay"
)

// memberAnswers returns a function that reports whether a member answers, as far as this one
// knows.
func (c *Controller) memberAnswers() func(id string) bool {
	silent := c.peers.silenceDurations()
	return func(id string) bool {
		_, isSilent := silent[id]
		return !isSilent
	}
}

// Relays implements relay.Peers. It returns the IDs of the upstream of this member.
func (c *Controller) Relays() []string {
	m := c.server.Map()
	if m == nil {
		return nil
	}
	return m.Upstream(c.self.ID, c.self.DataCentre, c.memberAnswers())
}

// AwaitsSlotAssignment implements relay.Peers. It is always false, since a member follows its
// upstream whether slots are assigned or not.
func (c *Controller) AwaitsSlotAssignment() bool { return false }

// IsRelay implements relay.Peers. A member without a map or an upstream reads the
// platform directly, and so is a relay.
func (c *Controller) IsRelay() bool {
	m := c.server.Map()
	if m == nil {
		return true
	}
	return m.IsRelay(c.self.ID, c.self.DataCentre, c.memberAnswers()) || len(c.Relays()) == 0
}

// Call implements relay.Peers.
func (c *Controller) Call(ctx context.Context, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	m := c.server.Map()
	if m == nil {
		return nil, failure.New(failure.PeerUnavailable, "no slot map")
	}
	target, in := m.Members[member]
	if !in {
		return nil, failure.New(failure.PeerUnavailable, "member %s is not in the slot map", member)
	}
	return relay.Call(ctx, c.peers.pool.Client(target.Address), member, req, wait)
}
