package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Of any two members at most one follows the other, whichever members the map of each contains:
// members that follow each other in a circle learn of no change.
func TestMembersFollowOnlyEarlierIDs(t *testing.T) {
	maps := [][]string{nil, {"b"}, {"c"}, {"a", "c"}, {"b", "c"}, {"a", "b", "c"}}
	follows := func(id, other string) bool {
		for _, knownIDs := range maps {
			for _, knownID := range idsBefore(knownIDs, id) {
				if knownID == other {
					return true
				}
			}
		}
		return false
	}
	for _, pair := range [][2]string{{"a", "b"}, {"a", "c"}, {"b", "c"}} {
		require.False(t, follows(pair[0], pair[1]), "%s never follows %s", pair[0], pair[1])
		require.True(t, follows(pair[1], pair[0]), "%s follows %s", pair[1], pair[0])
	}
}

// newFleetMap returns a map of members spread evenly over data centres.
func newFleetMap(members, dataCentres int) *Map {
	m := New(2)
	for i := range members {
		id := fmt.Sprintf("m%04d", i*7919%members)
		m.Admit(Member{ID: id, Host: id, Address: id, DataCentre: fmt.Sprintf("dc%d", i%dataCentres)})
	}
	m.Assign()
	return m
}

func allAlive(string) bool { return true }

// Whichever members a member considers alive, it follows only alive members with a smaller ID,
// so that no two members follow each other.
func TestUpstreamHasOnlyEarlierAliveMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 80).Draw(t, "members")
		m := newFleetMap(members, rapid.IntRange(1, 6).Draw(t, "data centres"))
		isDead := rapid.MapOf(rapid.IntRange(0, members-1), rapid.Bool()).Draw(t, "dead")
		alive := func(id string) bool {
			var i int
			_, err := fmt.Sscanf(id, "m%d", &i)
			return err == nil && !isDead[i]
		}
		firstWithoutUpstream := ""
		for _, id := range m.sortedMemberIDs("dc0") {
			upstream := m.Upstream(id, "dc0", alive)
			for _, upstreamID := range upstream {
				require.Less(t, upstreamID, id)
				require.True(t, alive(upstreamID))
			}
			if firstWithoutUpstream == "" && len(upstream) == 0 {
				firstWithoutUpstream = id
			}
		}
	})
}

// In a small fleet all hosts use the same relays: one more than the number of faults to tolerate.
func TestSmallFleetSharesRelays(t *testing.T) {
	m := newFleetMap(24, 6)
	require.Equal(t, m.Relays(allAlive), m.DataCentreRelays("dc3", allAlive))
	require.Len(t, m.Relays(allAlive), 3)
}

// In a large fleet each data centre has relays of its own; if none of its members is alive, its
// hosts use the relays of the whole fleet.
func TestLargeFleetHasRelaysPerDataCentre(t *testing.T) {
	m := newFleetMap(120, 6)
	relays := m.DataCentreRelays("dc3", allAlive)
	require.Len(t, relays, 20/membersPerRelay)
	for _, id := range relays {
		require.Equal(t, "dc3", m.Members[id].DataCentre)
	}
	aliveElsewhere := func(id string) bool { return m.Members[id].DataCentre != "dc3" }
	require.Equal(t, m.Relays(aliveElsewhere), m.DataCentreRelays("dc3", aliveElsewhere))
	next := m.DataCentreRelays("dc3", func(id string) bool { return id != relays[0] })
	require.Equal(t, relays[1:], next[:4], "the next member replaces a lost relay")
}

// The number of hosts that one relay serves must not grow with the hosts of a data centre.
func TestHostsPerRelayStayBounded(t *testing.T) {
	for _, members := range []int{120, 240, 480, 960} {
		m := newFleetMap(members, 6)
		entryHosts := 144 * members / 120
		hostsPerRelay := entryHosts / len(m.DataCentreRelays("dc3", allAlive))
		require.LessOrEqual(t, hostsPerRelay, 30, "%d members", members)
	}
}

// While all members are alive exactly one of them reads the platform, whatever their number, and
// every other one has an upstream member.
func TestExactlyOneMemberHasNoUpstream(t *testing.T) {
	for _, members := range []int{4, 24, 60, 120, 480} {
		m := newFleetMap(members, 6)
		withoutUpstream := 0
		for id, member := range m.Members {
			if len(m.Upstream(id, member.DataCentre, allAlive)) == 0 {
				withoutUpstream++
			}
		}
		require.Equal(t, 1, withoutUpstream, "%d members", members)
	}
}

// Neither the number of members that a member probes nor the number of followers of the busiest
// member may grow with the fleet.
func TestProbesAndFollowersPerMemberStayBounded(t *testing.T) {
	for _, members := range []int{60, 120, 240, 480, 960} {
		m := newFleetMap(members, members/20)
		followers := map[string]int{}
		for id, member := range m.Members {
			require.LessOrEqual(t, len(m.ProbedByMember(id, member.DataCentre, allAlive)), MaxProbeAllMembers, "%d members", members)
			if upstream := m.Upstream(id, member.DataCentre, allAlive); len(upstream) > 0 {
				followers[upstream[0]]++
			}
		}
		for id, n := range followers {
			// The members of its data centre; for the first member, also one of each other data centre.
			require.LessOrEqual(t, n, 20+members/20, "%d members, %s", members, id)
		}
	}
}

// A member must know whether any member with a smaller ID answers, as this decides which member
// acts; silent members at the front must not hide the alive ones behind them.
func TestProbesReachAliveMembersPastSilentOnes(t *testing.T) {
	m := newFleetMap(120, 6)
	silent := map[string]bool{}
	for _, id := range m.Relays(allAlive) {
		silent[id] = true
	}
	probed := m.ProbedByMember("m0119", m.Members["m0119"].DataCentre, func(id string) bool { return !silent[id] })
	alive := 0
	for id := range probed {
		if id < "m0010" && !silent[id] {
			alive++
		}
	}
	require.GreaterOrEqual(t, alive, m.Quorum())
}
