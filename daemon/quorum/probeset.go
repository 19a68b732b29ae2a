package quorum

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pistachioarch/pistachioarch/core/placement"
)

// watch is which members are asked for signs of life: where members are many, each host watches
// a few of each data centre.
type probeSet struct {
	// name sets the choice of this host apart from those of others.
	host    string
	members map[string]bool
	// centres is the same by data centre.
	byDataCentre map[string][]string
}

func newProbeSet() probeSet { return probeSet{host: strconv.FormatUint(rand.Uint64(), 36)} }

// over chooses the members to watch of a slot map.
func (p *probeSet) choose(m *placement.Map, dataCentre string) {
	p.members = m.ProbedByHost(p.host, dataCentre)
	p.byDataCentre = map[string][]string{}
	for id := range p.members {
		dc := m.Members[id].DataCentre
		p.byDataCentre[dc] = append(p.byDataCentre[dc], id)
	}
}

// centreFailing is since when all watched members of a member's data centre fail, zero if one
// of them does not; the caller holds mu.
func (c *Client) dataCentreFailingSince(id string) time.Time {
	var latest time.Time
	if c.slotMap == nil {
		return latest
	}
	for _, probed := range c.probed.byDataCentre[c.slotMap.Members[id].DataCentre] {
		h := c.health[probed]
		if h == nil || h.failingSince.IsZero() {
			return time.Time{}
		}
		if h.failingSince.After(latest) {
			latest = h.failingSince
		}
	}
	return latest
}
