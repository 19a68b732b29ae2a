package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func mapOf(faults, hosts int) *Map {
	m := New(faults)
	for i := range hosts {
		id := fmt.Sprintf("m%d", i)
		m.Admit(Member{ID: id, Host: id, Address: id, DataCentre: fmt.Sprintf("dc%d", i%4)})
	}
	m.Assign()
	return m
}

func TestAssignSpreadsSlotsOverDataCentres(t *testing.T) {
	for _, c := range []struct{ faults, hosts, replicas, spread int }{
		{1, 4, 3, 3}, {1, 3, 3, 3}, {1, 2, 2, 2}, {1, 8, 3, 3}, {2, 11, 5, 4},
	} {
		m := mapOf(c.faults, c.hosts)
		held := m.held()
		for _, s := range m.Slots {
			require.Len(t, s.Replicas, c.replicas)
			centres := map[string]bool{}
			for _, r := range s.Replicas {
				centres[m.Members[r.Member].DataCentre] = true
			}
			require.Len(t, centres, c.spread)
		}
		least, most := GlobalSlotCount, 0
		for _, n := range held {
			least, most = min(least, n), max(most, n)
		}
		require.LessOrEqual(t, most-least, GlobalSlotCount/4, "%v", held)
	}
}

func TestAnEmptyDiskIsAnotherMember(t *testing.T) {
	m := mapOf(1, 4)
	epoch := m.Epoch
	require.True(t, m.Admit(Member{ID: "new", Host: "m1", Address: "m1", DataCentre: "dc1"}))
	require.Equal(t, epoch+1, m.Epoch)
	require.NotContains(t, m.Members, "m1")
	for _, s := range m.Slots {
		_, old := s.Replica("m1")
		require.False(t, old)
		if r, in := s.Replica("new"); in {
			require.True(t, r.Joining)
			require.Equal(t, m.Epoch, s.ChangedEpoch)
		}
	}
}

func TestWrittenNeedsActiveReplicas(t *testing.T) {
	m := mapOf(1, 3)
	s := &m.Slots[0]
	a, b, c := s.Replicas[0].Member, s.Replicas[1].Member, s.Replicas[2].Member
	require.False(t, m.IsWriteDurable(s, map[string]bool{a: true}))
	require.True(t, m.IsWriteDurable(s, map[string]bool{a: true, b: true}))
	require.False(t, m.IsWriteDurable(s, map[string]bool{a: true, "other": true}))
	s.Replicas[2].Joining = true
	require.True(t, m.IsWriteDurable(s, map[string]bool{a: true, c: true}), "a joining replica holds a copy")
	s.FormerMember = "gone"
	require.False(t, m.IsWriteDurable(s, map[string]bool{a: true, c: true}), "readers with the older map may count the former member")
}

func TestReplaceOneReplicaAtATime(t *testing.T) {
	m := mapOf(1, 5)
	from := m.Slots[0].Replicas[0].Member
	require.True(t, m.Replace(from, map[string]bool{from: true}))
	second := m.Slots[0].Replicas[1].Member
	before := m.Slots[0]
	m.Replace(second, map[string]bool{second: true})
	require.Equal(t, before.Replicas[1], m.Slots[0].Replicas[1], "a slot waits for its joining replica")
}

func TestRetiredMemberIsForgottenOnceItHoldsNothing(t *testing.T) {
	m := mapOf(1, 4)
	require.True(t, m.Replace("m2", map[string]bool{"m2": true}))
	require.True(t, m.IsInUse("m2"), "still a source of copies")
	for id := range m.Members {
		copied := map[int]uint64{}
		for i, s := range m.Slots {
			copied[i] = s.ChangedEpoch
		}
		m.Activate(id, copied)
	}
	require.False(t, m.IsInUse("m2"))
	require.True(t, m.RemoveUnused("m2"))
}

// After a member was replaced, no member holds far more than its share: each of its
// slots is a part of all writes, and must be copied anew if its disk is lost.
func TestReplacedSlotsAreSpread(t *testing.T) {
	m := mapOf(2, 11)
	for round := range 6 {
		gone := fmt.Sprintf("m%d", round)
		m.Admit(Member{ID: "n" + gone, Host: "n" + gone, Address: "n" + gone, DataCentre: m.Members[gone].DataCentre})
		for range 10 {
			m.Replace(gone, map[string]bool{gone: true})
			m.RemoveUnused(gone)
			activateAll(m)
		}
		require.NotContains(t, m.Members, gone)
		share := float64(GlobalSlotCount*m.ReplicationFactor()) / float64(len(m.Members))
		for id, n := range m.held() {
			require.LessOrEqual(t, float64(n), 1.5*share, "%s after %d rounds: %v", id, round+1, m.held())
		}
		for i, s := range m.Slots {
			centres := map[string]int{}
			for _, r := range s.Replicas {
				centres[m.Members[r.Member].DataCentre]++
			}
			for dc, n := range centres {
				require.LessOrEqual(t, n, m.Faults, "slot %d has %d replicas in %s", i, n, dc)
			}
		}
	}
}

func activateAll(m *Map) {
	for id := range m.Members {
		copied := map[int]uint64{}
		for i, s := range m.Slots {
			copied[i] = s.ChangedEpoch
		}
		m.Activate(id, copied)
	}
}
