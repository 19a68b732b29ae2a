package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/daemon/relay"
)

// SetSeeds gives the addresses of some history hosts, which may be stale: until a slot map is
// known, they are asked in place of the relays.
func (c *Client) SetSeeds(addresses []string) { c.seeds = addresses }

// Relays returns the members that relay the platform, as this host sees them alive, or
// the addresses of the seeds while no slot map is known.
func (c *Client) Relays() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slotMap == nil || len(c.slotMap.Members) == 0 {
		return c.seeds
	}
	now := time.Now()
	return c.slotMap.DataCentreRelays(c.dataCentre, func(id string) bool { return c.failingFor(id, now) == 0 })
}

// AssignedPeers is the client as relay.Peers that names nobody before the slot map has slots. A seed,
// or the first members of a map, would answer all hosts that start together, and have room and
// time for the slot map only: everything else is asked of members once all are known. Until
// then no host serves anyway.
func (c *Client) AssignedPeers() relay.Peers { return assignedPeers{c} }

type assignedPeers struct{ *Client }

// Relays implements relay.Peers.
func (p assignedPeers) Relays() []string {
	if slotMap := p.currentMap(); slotMap == nil || !slotMap.IsAssigned() {
		return nil
	}
	return p.Client.Relays()
}

// Gathering implements relay.Peers.
func (p assignedPeers) Gathering() bool {
	slotMap := p.currentMap()
	return slotMap != nil && !slotMap.IsAssigned()
}

// Gathering implements relay.Peers: the members of a map without slots are asked as well.
func (c *Client) Gathering() bool { return false }

// Relaying implements relay.Peers: entry hosts relay nothing.
func (c *Client) Relaying() bool { return false }

// Ask sends a request that concerns no slot to one member, or to the seed of that address.
func (c *Client) Ask(ctx context.Context, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	if slices.Contains(c.seeds, member) {
		return relay.Ask(ctx, c.pool.Client(member), "", req, wait)
	}
	m := c.currentMap()
	if m == nil {
		return nil, failure.New(failure.PeerUnavailable, "no slot map")
	}
	to, ok := m.Members[member]
	if !ok {
		return nil, failure.New(failure.PeerUnavailable, "member %s is gone", member)
	}
	reply, err := relay.Ask(ctx, c.pool.Client(to.Address), member, req, wait)
	switch {
	case relay.Refused(err):
		c.recordOutcome(member, nil)
	case ctx.Err() == nil: // else this host gave up, and a silent connection ends by itself
		c.recordOutcome(member, err)
	}
	return reply, err
}
