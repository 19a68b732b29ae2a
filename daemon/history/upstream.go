package history

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/daemon/relay"
)

// answers reports whether a member answers, as far as this one knows.
func (k *Controller) answers() func(id string) bool {
	silent := k.peers.silentFor()
	return func(id string) bool {
		_, quiet := silent[id]
		return !quiet
	}
}

// Relays implements relay.Peers.
func (k *Controller) Relays() []string {
	m := k.server.Map()
	if m == nil {
		return nil
	}
	return m.Upstream(k.self.ID, k.self.DataCentre, k.answers())
}

// Gathering implements relay.Peers: members ask those before them, with slots or without.
func (k *Controller) Gathering() bool { return false }

// Relaying implements relay.Peers. Where none is known to ask, nobody relays for this member.
func (k *Controller) Relaying() bool {
	m := k.server.Map()
	if m == nil {
		return true
	}
	return m.IsRelay(k.self.ID, k.self.DataCentre, k.answers()) || len(k.Relays()) == 0
}

// Ask implements relay.Peers.
func (k *Controller) Ask(ctx context.Context, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	m := k.server.Map()
	if m == nil {
		return nil, failure.New(failure.PeerUnavailable, "no slot map")
	}
	to, in := m.Members[member]
	if !in {
		return nil, failure.New(failure.PeerUnavailable, "member %s is gone", member)
	}
	return relay.Ask(ctx, k.peers.pool.Client(to.Address), member, req, wait)
}
