package subset

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// newFleetIndex returns an index of n targets of a service in each of some data centres, and the
// IDs of the targets.
func newFleetIndex(centres, n int) (*Index, map[Group][]string) {
	x := NewIndex(DefaultSizes())
	groups := map[Group][]string{}
	for c := range centres {
		g := Group{"llm", fmt.Sprintf("dc%d", c)}
		for i := range n {
			x.Add(g)
			groups[g] = append(groups[g], fmt.Sprintf("i-%d-%d", c, i))
		}
	}
	return x, groups
}

// heldTargets returns the targets that a host of dc0 holds, of its own data centre and of
// others.
func heldTargets(x *Index, groups map[Group][]string, host string) (near, far map[string]bool) {
	near, far = map[string]bool{}, map[string]bool{}
	for g, ids := range groups {
		for _, id := range ids {
			switch {
			case !x.Holds(host, "dc0", g, id):
			case g.DataCentre == "dc0":
				near[id] = true
			default:
				far[id] = true
			}
		}
	}
	return near, far
}

func TestHostHoldsAllTargetsOfASmallFleet(t *testing.T) {
	for _, c := range []struct{ centres, n int }{{1, 100}, {4, 27}, {6, 18}, {3, 24}} {
		x, groups := newFleetIndex(c.centres, c.n)
		near, far := heldTargets(x, groups, "h")
		require.Len(t, near, c.n)
		require.Len(t, far, c.n*(c.centres-1))
	}
}

// The number of targets that a host holds is bounded, however many targets there are.
func TestSubsetSizeIsBoundedForLargeFleets(t *testing.T) {
	for _, n := range []int{128, 200, 400, 942, 2000, 5000} {
		x, groups := newFleetIndex(6, n)
		for h := range 20 {
			near, far := heldTargets(x, groups, fmt.Sprintf("h%d", h))
			require.InDelta(t, 96, len(near), 60, "%d targets", n)
			require.InDelta(t, 96, len(far), 60, "%d targets", n)
		}
	}
}

// The hosts of a data centre together hold all of its targets, on average several times each.
func TestEveryTargetIsHeldBySomeHost(t *testing.T) {
	const hosts = 144
	x, groups := newFleetIndex(6, 942)
	holders := map[string]int{}
	for h := range hosts {
		near, _ := heldTargets(x, groups, fmt.Sprintf("h%d", h))
		for id := range near {
			holders[id]++
		}
	}
	require.Len(t, holders, 942)
}

// All hosts of a data centre hold the same half of their subsets.
func TestHostsOfADataCentreShareHalfOfTheirSubset(t *testing.T) {
	x, groups := newFleetIndex(6, 942)
	shared, _ := heldTargets(x, groups, "h0")
	for h := range 30 {
		near, _ := heldTargets(x, groups, fmt.Sprintf("h%d", h))
		for id := range shared {
			if !near[id] {
				delete(shared, id)
			}
		}
	}
	require.Greater(t, len(shared), DefaultSizes().Near/3)
}

// A target that is added or removed changes nothing for the others, unless the number of targets
// has doubled or halved.
func TestHalvingsStayUntilTargetCountDoublesOrHalves(t *testing.T) {
	x, groups := newFleetIndex(6, 400)
	g := Group{"llm", "dc0"}
	before, _ := heldTargets(x, groups, "h")
	halvings := x.Halvings("dc0")
	for range 80 {
		x.Remove(g)
		require.Equal(t, halvings, x.Halvings("dc0"))
	}
	for range 80 {
		x.Add(g)
		require.Equal(t, halvings, x.Halvings("dc0"))
	}
	after, _ := heldTargets(x, groups, "h")
	require.Equal(t, before, after)
	for range 220 {
		x.Remove(g)
	}
	fewer, _ := heldTargets(x, groups, "h")
	require.Greater(t, len(fewer), len(after)*3/2, "about twice the fraction of half as many targets")
}

// A number of targets that oscillates around a limit must not change subsets each time.
func TestHalvingsHaveHysteresis(t *testing.T) {
	x, _ := newFleetIndex(1, 127)
	g := Group{"llm", "dc0"}
	unhalved := x.Halvings("dc0")
	x.Add(g)
	halved := x.Halvings("dc0")
	require.NotEqual(t, unhalved, halved, "of 128 targets hosts no longer hold all")
	for range 10 {
		x.Remove(g)
		require.Equal(t, halved, x.Halvings("dc0"))
		x.Add(g)
		require.Equal(t, halved, x.Halvings("dc0"))
	}
}

// A host in a data centre without targets holds some of the others.
func TestHostWithoutNearTargetsHoldsFarTargets(t *testing.T) {
	x, groups := newFleetIndex(6, 942)
	n := 0
	for g, ids := range groups {
		for _, id := range ids {
			if x.Holds("h", "elsewhere", g, id) {
				n++
			}
		}
	}
	require.InDelta(t, 96, n, 60)
}

// As the number of targets grows, a host's subset loses some of its targets and gains only new
// ones; so the host can narrow the subset itself.
func TestGrowingFleetNarrowsSubsets(t *testing.T) {
	x, groups := newFleetIndex(6, 100)
	before := x.Halvings("dc0")
	small, _ := heldTargets(x, groups, "h")
	for g := range groups {
		for range 900 {
			x.Add(g)
		}
	}
	after := x.Halvings("dc0")
	require.True(t, Shrunk(before, after))
	require.False(t, Shrunk(after, before))
	for id := range small {
		g := Group{"llm", "dc0"}
		require.Equal(t, x.Holds("h", "dc0", g, id), Holds(after, "h", "dc0", g, id))
	}
	require.True(t, Shrunk(nil, after), "a host holds no targets of a new service")
}
