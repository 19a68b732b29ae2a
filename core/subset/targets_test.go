package subset

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// fleetOf returns an index of n targets of a service in each of some data centres, and their names.
func fleetOf(centres, n int) (*Index, map[Group][]string) {
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

// held is what a host of dc0 holds, of its own data centre and of others.
func held(x *Index, groups map[Group][]string, host string) (near, far map[string]bool) {
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

func TestAllOfAFewTargetsAreHeld(t *testing.T) {
	for _, c := range []struct{ centres, n int }{{1, 100}, {4, 27}, {6, 18}, {3, 24}} {
		x, groups := fleetOf(c.centres, c.n)
		near, far := held(x, groups, "h")
		require.Len(t, near, c.n)
		require.Len(t, far, c.n*(c.centres-1))
	}
}

// What a host holds is bounded, however many targets there are.
func TestWhatAHostHoldsDoesNotGrowWithTheTargets(t *testing.T) {
	for _, n := range []int{128, 200, 400, 942, 2000, 5000} {
		x, groups := fleetOf(6, n)
		for h := range 20 {
			near, far := held(x, groups, fmt.Sprintf("h%d", h))
			require.InDelta(t, 96, len(near), 60, "%d targets", n)
			require.InDelta(t, 96, len(far), 60, "%d targets", n)
		}
	}
}

// The hosts of a data centre together hold all of its targets, each of them several times.
func TestAllTargetsAreHeldBySome(t *testing.T) {
	const hosts = 144
	x, groups := fleetOf(6, 942)
	holders := map[string]int{}
	for h := range hosts {
		near, _ := held(x, groups, fmt.Sprintf("h%d", h))
		for id := range near {
			holders[id]++
		}
	}
	require.Len(t, holders, 942)
}

// All hosts of a data centre hold the same half of their part.
func TestHostsHaveTargetsInCommon(t *testing.T) {
	x, groups := fleetOf(6, 942)
	shared, _ := held(x, groups, "h0")
	for h := range 30 {
		near, _ := held(x, groups, fmt.Sprintf("h%d", h))
		for id := range shared {
			if !near[id] {
				delete(shared, id)
			}
		}
	}
	require.Greater(t, len(shared), DefaultSizes().Near/3)
}

// A target that comes or goes changes nothing of the others, but where the number has doubled
// or halved.
func TestPartsChangeAsAWholeSeldom(t *testing.T) {
	x, groups := fleetOf(6, 400)
	g := Group{"llm", "dc0"}
	before, _ := held(x, groups, "h")
	steps := x.Halvings("dc0")
	for range 80 {
		x.Remove(g)
		require.Equal(t, steps, x.Halvings("dc0"))
	}
	for range 80 {
		x.Add(g)
		require.Equal(t, steps, x.Halvings("dc0"))
	}
	after, _ := held(x, groups, "h")
	require.Equal(t, before, after)
	for range 220 {
		x.Remove(g)
	}
	fewer, _ := held(x, groups, "h")
	require.Greater(t, len(fewer), len(after)*3/2, "of half as many about twice the share")
}

// Targets that go up and down around a limit do not change parts each time.
func TestStepsHaveSlack(t *testing.T) {
	x, _ := fleetOf(1, 127)
	g := Group{"llm", "dc0"}
	whole := x.Halvings("dc0")
	x.Add(g)
	parts := x.Halvings("dc0")
	require.NotEqual(t, whole, parts, "128 are no longer held whole")
	for range 10 {
		x.Remove(g)
		require.Equal(t, parts, x.Halvings("dc0"))
		x.Add(g)
		require.Equal(t, parts, x.Halvings("dc0"))
	}
}

// A host in a data centre without targets holds some of the others.
func TestAHostWithoutTargetsAtHomeHoldsOthers(t *testing.T) {
	x, groups := fleetOf(6, 942)
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

// As targets become more, a host's part loses some of those that it has and gains only new ones;
// so it can make the part itself.
func TestPartsOfMoreTargetsAreWithinThoseOfFewer(t *testing.T) {
	x, groups := fleetOf(6, 100)
	before := x.Halvings("dc0")
	small, _ := held(x, groups, "h")
	for g := range groups {
		for range 900 {
			x.Add(g)
		}
	}
	now := x.Halvings("dc0")
	require.True(t, Shrunk(before, now))
	require.False(t, Shrunk(now, before))
	for id := range small {
		g := Group{"llm", "dc0"}
		require.Equal(t, x.Holds("h", "dc0", g, id), Holds(now, "h", "dc0", g, id))
	}
	require.True(t, Shrunk(nil, now), "of a service that is new a host has nothing")
}
