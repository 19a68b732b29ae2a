package quorum

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pistachioarch/pistachioarch/core/placement"
)

// probeSet holds the members that this host probes whether or not it has requests for them. If there
// are many members, each host probes a few of each data centre.
type probeSet struct {
	// host is a random ID by which this host's choice differs from that of others.
	host    string
	members map[string]bool
	// byDataCentre holds the same members by data centre.
	byDataCentre map[string][]string
}

func newProbeSet() probeSet { return probeSet{host: strconv.FormatUint(rand.Uint64(), 36)} }

// choose selects the members of a slot map to probe. dataCentre is this host's own.
func (p *probeSet) choose(m *placement.Map, dataCentre string) {
	p.members = m.ProbedByHost(p.host, dataCentre)
	p.byDataCentre = map[string][]string{}
	for id := range p.members {
		dc := m.Members[id].DataCentre
		p.byDataCentre[dc] = append(p.byDataCentre[dc], id)
	}
}

// dataCentreFailingSince returns the time since which all probed members of a member's data centre
// have been failing, or zero if one of them is not; the caller holds mu.
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
