package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/subset"
)

// newSubsetRegistry returns the registry of a host in dc0 that holds its subset of a fleet, with
// a number of engines in each data centre.
func newSubsetRegistry(host string, centres, engines int) *Registry {
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

// affinityTargetsIn returns the affinity targets of a part in a data centre.
func affinityTargetsIn(r *Registry, part, dataCentre string) map[string]bool {
	at := map[string]bool{}
	for id := range r.affinityTargets("llm", part) {
		if r.targets[id].DataCentre == dataCentre {
			at[id] = true
		}
	}
	return at
}

// Hosts that hold different subsets of a fleet must prefill a shared part at the same engines,
// and the number of these engines must not grow with the fleet.
func TestHostsWithDifferentSubsetsAgreeOnAffinityTargets(t *testing.T) {
	for _, engines := range []int{130, 400, 942, 2000} {
		first := newSubsetRegistry("h0", 6, engines)
		for h := range 10 {
			r := newSubsetRegistry(fmt.Sprintf("h%d", h), 6, engines)
			for p := range 16 {
				part := fmt.Sprintf("part%d", p)
				chosen := affinityTargetsIn(r, part, "dc0")
				require.Equal(t, affinityTargetsIn(first, part, "dc0"), chosen)
				require.Len(t, chosen, maxAffinityPool/4, "%d engines", engines)
			}
		}
	}
}

// In a fleet of which hosts hold all targets, a quarter of the engines of each data centre are affinity
// targets.
func TestAQuarterOfASmallFleetAreAffinityTargets(t *testing.T) {
	for _, engines := range []int{8, 24, 68, 100} {
		r := newSubsetRegistry("h", 2, engines)
		require.Len(t, affinityTargetsIn(r, "part", "dc0"), engines/4)
		require.Len(t, affinityTargetsIn(r, "part", "dc1"), engines/4)
	}
}

// Affinity targets are computed again when a host starts to hold a subset.
func TestAffinityTargetsFollowHalvings(t *testing.T) {
	r := newSubsetRegistry("h", 2, 100)
	require.Len(t, affinityTargetsIn(r, "part", "dc0"), 25)
	r.SetHalvings([]subset.Halvings{{Service: "llm", Near: 1, Far: 1}})
	require.Len(t, affinityTargetsIn(r, "part", "dc0"), maxAffinityPool/4)
}
