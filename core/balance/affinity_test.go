package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/subset"
)

// partOfFleet is the registry of a host that holds its part of a fleet of engines.
func partOfFleet(host string, centres, engines int) *Registry {
	x := subset.NewIndex(subset.DefaultSizes())
	r := NewRegistry("dc0", DefaultWeights())
	for c := range centres {
		for range engines {
			x.Add(subset.Group{Service: "llm", DataCentre: fmt.Sprintf("dc%d", c)})
		}
	}
	for c := range centres {
		g := subset.Group{Service: "llm", DataCentre: fmt.Sprintf("dc%d", c)}
		for i := range engines {
			id := fmt.Sprintf("e-%d-%d", c, i)
			if x.Holds(host, "dc0", g, id) {
				r.SetTarget(TargetInfo{ID: id, Service: "llm", DataCentre: g.DataCentre, Capacity: 6})
			}
		}
	}
	r.SetHalvings(x.Halvings("dc0"))
	return r
}

// homesAt is the homes of a part in a data centre.
func homesAt(r *Registry, part, dataCentre string) map[string]bool {
	at := map[string]bool{}
	for id := range r.homes("llm", part) {
		if r.targets[id].DataCentre == dataCentre {
			at[id] = true
		}
	}
	return at
}

// Hosts that hold different parts of a fleet agree on where a shared part is read, and the
// engines that read it do not grow with the fleet.
func TestHostsWithPartsOfAFleetAgreeOnHomes(t *testing.T) {
	for _, engines := range []int{130, 400, 942, 2000} {
		first := partOfFleet("h0", 6, engines)
		for h := range 10 {
			r := partOfFleet(fmt.Sprintf("h%d", h), 6, engines)
			for p := range 16 {
				part := fmt.Sprintf("part%d", p)
				homes := homesAt(r, part, "dc0")
				require.Equal(t, homesAt(first, part, "dc0"), homes)
				require.Len(t, homes, homePool/4, "%d engines", engines)
			}
		}
	}
}

// A few engines are homes as before: a quarter of those of a data centre.
func TestAQuarterOfAFewEnginesAreHomes(t *testing.T) {
	for _, engines := range []int{8, 24, 68, 100} {
		r := partOfFleet("h", 2, engines)
		require.Len(t, homesAt(r, "part", "dc0"), engines/4)
		require.Len(t, homesAt(r, "part", "dc1"), engines/4)
	}
}

// Homes are chosen anew where a host begins to hold a part only.
func TestHomesFollowTheParts(t *testing.T) {
	r := partOfFleet("h", 2, 100)
	require.Len(t, homesAt(r, "part", "dc0"), 25)
	r.SetHalvings([]subset.Halvings{{Service: "llm", Near: 1, Far: 1}})
	require.Len(t, homesAt(r, "part", "dc0"), homePool/4)
}
