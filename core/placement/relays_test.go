package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Of any two members at most one asks the other, whichever of them the map of each knows: a
// circle of members that follow each other hears of no change.
func TestMembersAskOnlyThoseBeforeThem(t *testing.T) {
	maps := [][]string{nil, {"b"}, {"c"}, {"a", "c"}, {"b", "c"}, {"a", "b", "c"}}
	asks := func(id, other string) bool {
		for _, known := range maps {
			for _, x := range before(known, id) {
				if x == other {
					return true
				}
			}
		}
		return false
	}
	for _, pair := range [][2]string{{"a", "b"}, {"a", "c"}, {"b", "c"}} {
		require.False(t, asks(pair[0], pair[1]), "%s never asks %s", pair[0], pair[1])
		require.True(t, asks(pair[1], pair[0]), "%s asks %s", pair[1], pair[0])
	}
}

// fleet is a map of so many members spread over data centres.
func fleet(members, centres int) *Map {
	m := New(2)
	for i := range members {
		id := fmt.Sprintf("m%04d", i*7919%members)
		m.Admit(Member{ID: id, Host: id, Address: id, DataCentre: fmt.Sprintf("dc%d", i%centres)})
	}
	m.Assign()
	return m
}

func everybody(string) bool { return true }

// Whatever each member takes for alive, it asks only members before it, so that no two follow
// each other.
func TestUpstreamIsBeforeAMemberWhateverIsAlive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 80).Draw(t, "members")
		m := fleet(members, rapid.IntRange(1, 6).Draw(t, "centres"))
		dead := rapid.MapOf(rapid.IntRange(0, members-1), rapid.Bool()).Draw(t, "dead")
		alive := func(id string) bool {
			var i int
			_, err := fmt.Sscanf(id, "m%d", &i)
			return err == nil && !dead[i]
		}
		first := ""
		for _, id := range m.sortedOf("dc0") {
			up := m.Upstream(id, "dc0", alive)
			for _, x := range up {
				require.Less(t, x, id)
				require.True(t, alive(x))
			}
			if first == "" && len(up) == 0 {
				first = id
			}
		}
	})
}

// Of a few members the first over all are relays of all hosts, as many as may be lost and one.
func TestAFewMembersHaveTheSameRelays(t *testing.T) {
	m := fleet(24, 6)
	require.Equal(t, m.Relays(everybody), m.DataCentreRelays("dc3", everybody))
	require.Len(t, m.Relays(everybody), 3)
}

// Of many members each data centre has its own; where none is left there, hosts ask those of
// all.
func TestADataCentreOfManyMembersHasItsOwnRelays(t *testing.T) {
	m := fleet(120, 6)
	near := m.DataCentreRelays("dc3", everybody)
	require.Len(t, near, 20/relayShare)
	for _, id := range near {
		require.Equal(t, "dc3", m.Members[id].DataCentre)
	}
	lost := func(id string) bool { return m.Members[id].DataCentre != "dc3" }
	require.Equal(t, m.Relays(lost), m.DataCentreRelays("dc3", lost))
	next := m.DataCentreRelays("dc3", func(id string) bool { return id != near[0] })
	require.Equal(t, near[1:], next[:4], "the next one takes a lost one's place")
}

// The hosts that one relay serves do not grow with the hosts of a data centre.
func TestRelaysOfADataCentreGrowWithIt(t *testing.T) {
	for _, members := range []int{120, 240, 480, 960} {
		m := fleet(members, 6)
		entryHosts := 144 * members / 120
		served := entryHosts / len(m.DataCentreRelays("dc3", everybody))
		require.LessOrEqual(t, served, 30, "%d members", members)
	}
}

// Exactly one member reads the platform while all are alive, whatever their number, and every
// other has somebody to ask.
func TestOneMemberReadsThePlatform(t *testing.T) {
	for _, members := range []int{4, 24, 60, 120, 480} {
		m := fleet(members, 6)
		first := 0
		for id, x := range m.Members {
			if len(m.Upstream(id, x.DataCentre, everybody)) == 0 {
				first++
			}
		}
		require.Equal(t, 1, first, "%d members", members)
	}
}

// What a member probes, and how many ask the busiest one, does not grow with the members.
func TestNeighboursAndFollowersDoNotGrowWithTheMembers(t *testing.T) {
	for _, members := range []int{60, 120, 240, 480, 960} {
		m := fleet(members, members/20)
		followers := map[string]int{}
		for id, x := range m.Members {
			require.LessOrEqual(t, len(m.ProbedByMember(id, x.DataCentre, everybody)), MaxProbeAllMembers, "%d members", members)
			if up := m.Upstream(id, x.DataCentre, everybody); len(up) > 0 {
				followers[up[0]]++
			}
		}
		for id, n := range followers {
			// Those of its data centre, and of the first one each other data centre.
			require.LessOrEqual(t, n, 20+members/20, "%d members, %s", members, id)
		}
	}
}

// A member knows whether any member before it answers: that decides whose turn it is to act.
func TestNeighboursReachPastTheSilent(t *testing.T) {
	m := fleet(120, 6)
	silent := map[string]bool{}
	for _, id := range m.Relays(everybody) {
		silent[id] = true
	}
	near := m.ProbedByMember("m0119", m.Members["m0119"].DataCentre, func(id string) bool { return !silent[id] })
	alive := 0
	for id := range near {
		if id < "m0010" && !silent[id] {
			alive++
		}
	}
	require.GreaterOrEqual(t, alive, m.Quorum())
}
