package quorum

import (
	"github.com/pistachioarch/pistachioarch/daemon/meter"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

// traffic counts the bytes of calls to history hosts, of this data centre and of others.
type traffic struct {
	near, far rpc.Traffic
}

func (t *traffic) serve(m *meter.Meter) {
	t.near.Register(m, "history_near")
	t.far.Register(m, "history_far")
}

// trafficOf returns what counts the bytes of calls to an address. One that no member has
// counts as far.
func (c *Client) trafficOf(address string) *rpc.Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slots != nil {
		for _, m := range c.slots.Members {
			if m.Address == address && m.DataCentre == c.dataCentre {
				return &c.traffic.near
			}
		}
	}
	return &c.traffic.far
}

// Bytes is the account of one kind of call, for operators.
type Bytes struct {
	Kind string `json:"kind"`
	// Near is to and from members of this data centre, Far to and from the others.
	NearCalls int64 `json:"near_calls"`
	Near      int64 `json:"near_bytes"`
	FarCalls  int64 `json:"far_calls"`
	Far       int64 `json:"far_bytes"`
}

// account sums up the bytes by kind, without the kinds that were not used.
func (t *traffic) account() []Bytes {
	var list []Bytes
	for _, k := range rpc.Kinds() {
		b := Bytes{
			Kind:      k.String(),
			NearCalls: t.near.Calls(k), Near: t.near.Sent(k) + t.near.Received(k),
			FarCalls: t.far.Calls(k), Far: t.far.Sent(k) + t.far.Received(k),
		}
		if b.Near+b.Far > 0 {
			list = append(list, b)
		}
	}
	return list
}
