package quorum

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pistachioarch/pistachioarch/core/placement"
)

// watch is which members are asked for signs of life: where members are many, each host watches
// a few of each data centre.
type watch struct {
	// name sets the choice of this host apart from those of others.
	name    string
	members map[string]bool
	// centres is the same by data centre.
	centres map[string][]string
}

func newWatch() watch { return watch{name: strconv.FormatUint(rand.Uint64(), 36)} }

// over chooses the members to watch of a slot map.
func (w *watch) over(m *placement.Map, dataCentre string) {
	w.members = m.ProbedByHost(w.name, dataCentre)
	w.centres = map[string][]string{}
	for id := range w.members {
		dc := m.Members[id].DataCentre
		w.centres[dc] = append(w.centres[dc], id)
	}
}

// centreFailing is since when all watched members of a member's data centre fail, zero if one
// of them does not; the caller holds mu.
func (c *Client) centreFailing(id string) time.Time {
	var latest time.Time
	if c.slots == nil {
		return latest
	}
	for _, watched := range c.watch.centres[c.slots.Members[id].DataCentre] {
		h := c.health[watched]
		if h == nil || h.failing.IsZero() {
			return time.Time{}
		}
		if h.failing.After(latest) {
			latest = h.failing
		}
	}
	return latest
}
