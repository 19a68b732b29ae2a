package quorum

import (
	"github.com/pistachioarch/pistachioarch/daemon/meter"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

// traffic counts the calls to history hosts and their bytes: near are those of this data centre, far
// those of others.
type traffic struct {
	near, far rpc.Traffic
}

func (t *traffic) registerGauges(m *meter.Meter) {
	t.near.Register(m, "history_near")
	t.far.Register(m, "history_far")
}

// trafficOf returns the counter for calls to an address. An address that no member has counts as
// far.
func (c *Client) trafficOf(address string) *rpc.Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slotMap != nil {
		for _, member := range c.slotMap.Members {
			if member.Address == address && member.DataCentre == c.dataCentre {
				return &c.traffic.near
			}
		}
	}
	return &c.traffic.far
}

// CallTraffic holds the number and bytes of one kind of call, for operators, in JSON.
type CallTraffic struct {
	// Kind is the name of the kind, as in rpc.Kinds.
	Kind string `json:"kind"`
	// Near counts are of members of this data centre, far counts of the others. Bytes are those
	// sent and received.
	NearCalls int64 `json:"near_calls"`
	NearBytes int64 `json:"near_bytes"`
	FarCalls  int64 `json:"far_calls"`
	FarBytes  int64 `json:"far_bytes"`
}

// byKind returns the traffic by kind of call, without the kinds that were not used.
func (t *traffic) byKind() []CallTraffic {
	var kinds []CallTraffic
	for _, k := range rpc.Kinds() {
		b := CallTraffic{
			Kind:      k.String(),
			NearCalls: t.near.Calls(k), NearBytes: t.near.Sent(k) + t.near.Received(k),
			FarCalls: t.far.Calls(k), FarBytes: t.far.Sent(k) + t.far.Received(k),
		}
		if b.NearBytes+b.FarBytes > 0 {
			kinds = append(kinds, b)
		}
	}
	return kinds
}
