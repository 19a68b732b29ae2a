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
	if c.slots == nil || len(c.slots.Members) == 0 {
		return c.seeds
	}
	now := time.Now()
	return c.slots.DataCentreRelays(c.dataCentre, func(id string) bool { return c.failingFor(id, now) == 0 })
}

// AssignedPeers is the client as relay.Peers that names nobody before the slot map has slots. A seed,
// or the first members of a map, would answer all hosts that start together, and have room and
// time for the slot map only: everything else is asked of members once all are known. Until
// then no host serves anyway.
func (c *Client) AssignedPeers() relay.Peers { return membersOnly{c} }

type membersOnly struct{ *Client }

// Relays implements relay.Peers.
func (m membersOnly) Relays() []string {
	if slots := m.current(); slots == nil || !slots.IsAssigned() {
		return nil
	}
	return m.Client.Relays()
}

// Gathering implements relay.Peers.
func (m membersOnly) Gathering() bool {
	slots := m.current()
	return slots != nil && !slots.IsAssigned()
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
	m := c.current()
	if m == nil {
		return nil, failure.New(failure.PeerUnavailable, "no slot map")
	}
	to, in := m.Members[member]
	if !in {
		return nil, failure.New(failure.PeerUnavailable, "member %s is gone", member)
	}
	reply, err := relay.Ask(ctx, c.pool.Client(to.Address), member, req, wait)
	switch {
	case relay.Refused(err):
		c.note(member, nil)
	case ctx.Err() == nil: // else this host gave up, and a silent connection ends by itself
		c.note(member, err)
	}
	return reply, err
}
