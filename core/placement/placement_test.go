package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func newTestMap(faults, hosts int) *Map {
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
		m := newTestMap(c.faults, c.hosts)
		slotCounts := m.slotsPerMember()
		for _, s := range m.Slots {
			require.Len(t, s.Replicas, c.replicas)
			dataCentres := map[string]bool{}
			for _, r := range s.Replicas {
				dataCentres[m.Members[r.Member].DataCentre] = true
			}
			require.Len(t, dataCentres, c.spread)
		}
		minSlots, maxSlots := GlobalSlotCount, 0
		for _, n := range slotCounts {
			minSlots, maxSlots = min(minSlots, n), max(maxSlots, n)
		}
		require.LessOrEqual(t, maxSlots-minSlots, GlobalSlotCount/4, "%v", slotCounts)
	}
}

func TestAdmitReplacesMemberOfSameHost(t *testing.T) {
	m := newTestMap(1, 4)
	epoch := m.Epoch
	require.True(t, m.Admit(Member{ID: "new", Host: "m1", Address: "m1", DataCentre: "dc1"}))
	require.Equal(t, epoch+1, m.Epoch)
	require.NotContains(t, m.Members, "m1")
	for _, s := range m.Slots {
		_, found := s.Replica("m1")
		require.False(t, found)
		if r, in := s.Replica("new"); in {
			require.True(t, r.Joining)
			require.Equal(t, m.Epoch, s.ChangedEpoch)
		}
	}
}

func TestDurableWriteNeedsActiveReplicas(t *testing.T) {
	m := newTestMap(1, 3)
	s := &m.Slots[0]
	a, b, c := s.Replicas[0].Member, s.Replicas[1].Member, s.Replicas[2].Member
	require.False(t, m.IsWriteDurable(s, map[string]bool{a: true}))
	require.True(t, m.IsWriteDurable(s, map[string]bool{a: true, b: true}))
	require.False(t, m.IsWriteDurable(s, map[string]bool{a: true, "other": true}))
	s.Replicas[2].Joining = true
	require.True(t, m.IsWriteDurable(s, map[string]bool{a: true, c: true}), "a joining replica counts as a copy")
	s.FormerMember = "gone"
	require.False(t, m.IsWriteDurable(s, map[string]bool{a: true, c: true}), "a reader with the older map may count the former member")
}

func TestReplaceMovesOneReplicaOfASlotAtATime(t *testing.T) {
	m := newTestMap(1, 5)
	from := m.Slots[0].Replicas[0].Member
	require.True(t, m.Replace(from, map[string]bool{from: true}))
	second := m.Slots[0].Replicas[1].Member
	before := m.Slots[0]
	m.Replace(second, map[string]bool{second: true})
	require.Equal(t, before.Replicas[1], m.Slots[0].Replicas[1], "a slot with a joining replica stays unchanged")
}

func TestRetiredMemberIsRemovedOnceUnused(t *testing.T) {
	m := newTestMap(1, 4)
	require.True(t, m.Replace("m2", map[string]bool{"m2": true}))
	require.True(t, m.IsInUse("m2"), "still a source of copies")
	for id := range m.Members {
		copiedEpochs := map[int]uint64{}
		for i, s := range m.Slots {
			copiedEpochs[i] = s.ChangedEpoch
		}
		m.Activate(id, copiedEpochs)
	}
	require.False(t, m.IsInUse("m2"))
	require.True(t, m.RemoveUnused("m2"))
}

// After members were replaced, no member may hold far more slots than the mean: each slot adds to
// the writes that a member receives, and must be copied again if its disk is lost.
func TestReplacedSlotsStayEvenlySpread(t *testing.T) {
	m := newTestMap(2, 11)
	for round := range 6 {
		replaced := fmt.Sprintf("m%d", round)
		m.Admit(Member{ID: "n" + replaced, Host: "n" + replaced, Address: "n" + replaced, DataCentre: m.Members[replaced].DataCentre})
		for range 10 {
			m.Replace(replaced, map[string]bool{replaced: true})
			m.RemoveUnused(replaced)
			activateAll(m)
		}
		require.NotContains(t, m.Members, replaced)
		mean := float64(GlobalSlotCount*m.ReplicationFactor()) / float64(len(m.Members))
		for id, n := range m.slotsPerMember() {
			require.LessOrEqual(t, float64(n), 1.5*mean, "%s after %d rounds: %v", id, round+1, m.slotsPerMember())
		}
		for i, s := range m.Slots {
			replicaCounts := map[string]int{}
			for _, r := range s.Replicas {
				replicaCounts[m.Members[r.Member].DataCentre]++
			}
			for dc, n := range replicaCounts {
				require.LessOrEqual(t, n, m.Faults, "slot %d has %d replicas in %s", i, n, dc)
			}
		}
	}
}

func activateAll(m *Map) {
	for id := range m.Members {
		copiedEpochs := map[int]uint64{}
		for i, s := range m.Slots {
			copiedEpochs[i] = s.ChangedEpoch
		}
		m.Activate(id, copiedEpochs)
	}
}
