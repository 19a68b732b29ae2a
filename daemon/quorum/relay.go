package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/daemon/relay"
)

// SetSeeds sets the addresses of some history hosts, which may be stale. They are asked in place of
// the relays until a slot map is known. It is called before the client is used.
func (c *Client) SetSeeds(addresses []string) { c.seeds = addresses }

// Relays implements relay.Peers. It returns the members that are relays of the platform for this
// data centre, without those that fail, or the addresses of the seeds while no member is known.
func (c *Client) Relays() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slotMap == nil || len(c.slotMap.Members) == 0 {
		return c.seeds
	}
	now := time.Now()
	return c.slotMap.DataCentreRelays(c.dataCentre, func(id string) bool { return c.failingFor(id, now) == 0 })
}

// AssignedPeers returns relay.Peers that have no relays until the slot map has assigned slots. A
// seed, or the first members of a map, would have to answer all hosts that start together, and have
// the capacity to serve only the slot map: everything else is requested once all members are known.
// Until then no host serves requests anyway.
func (c *Client) AssignedPeers() relay.Peers { return assignedPeers{c} }

// assignedPeers implements relay.Peers as described at AssignedPeers.
type assignedPeers struct{ *Client }

// Relays implements relay.Peers.
func (p assignedPeers) Relays() []string {
	if slotMap := p.currentMap(); slotMap == nil || !slotMap.IsAssigned() {
		return nil
	}
	return p.Client.Relays()
}

// AwaitsSlotAssignment implements relay.Peers: a slot map without assigned slots is known.
func (p assignedPeers) AwaitsSlotAssignment() bool {
	slotMap := p.currentMap()
	return slotMap != nil && !slotMap.IsAssigned()
}

// AwaitsSlotAssignment implements relay.Peers: members are asked even if no slots are assigned yet.
func (c *Client) AwaitsSlotAssignment() bool { return false }

// IsRelay implements relay.Peers: entry hosts are not relays.
func (c *Client) IsRelay() bool { return false }

// Call implements relay.Peers: it sends a request that concerns no slot to one member, or to the
// seed of that address. The reply may take up to wait. It fails with PeerUnavailable if the member
// is unknown or does not answer, and with an error for which relay.IsRefusal holds if the member
// answered but cannot serve the request; such a member does not count as failing.
func (c *Client) Call(ctx context.Context, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	if slices.Contains(c.seeds, member) {
		return relay.Call(ctx, c.pool.Client(member), "", req, wait)
	}
	m := c.currentMap()
	if m == nil {
		return nil, failure.New(failure.PeerUnavailable, "no slot map")
	}
	to, ok := m.Members[member]
	if !ok {
		return nil, failure.New(failure.PeerUnavailable, "member %s is not in the slot map", member)
	}
	reply, err := relay.Call(ctx, c.pool.Client(to.Address), member, req, wait)
	switch {
	case relay.IsRefusal(err):
		c.recordOutcome(member, nil)
	case ctx.Err() == nil: // else the caller gave up; a silent connection is closed on its own
		c.recordOutcome(member, err)
	}
	return reply, err
}
