package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func newMapInDataCentres(faults int, dataCentres ...string) *Map {
	m := New(faults)
	for i, dc := range dataCentres {
		id := fmt.Sprintf("m%d", i)
		m.Admit(Member{ID: id, Host: id, Address: id, DataCentre: dc})
	}
	m.Assign()
	return m
}

func TestQuorumFirstNeedsStableUncrowdedSlot(t *testing.T) {
	dataCentres := []string{"a", "a", "b", "b", "c", "d"}
	require.True(t, newMapInDataCentres(2, dataCentres...).AllowsQuorumFirst(0))
	require.False(t, newMapInDataCentres(1, dataCentres...).AllowsQuorumFirst(0), "three replicas")
	require.False(t, newMapInDataCentres(2, "a", "b", "c").AllowsQuorumFirst(0), "too few members")
	require.False(t, newMapInDataCentres(2, "a", "a", "a", "b", "c").AllowsQuorumFirst(0), "crowded")
	for name, change := range map[string]func(*Slot){
		"joining":  func(s *Slot) { s.Replicas[1].Joining = true },
		"syncing":  func(s *Slot) { s.Replicas[1].Syncing = true },
		"former":   func(s *Slot) { s.FormerMember = "m9" },
		"spanning": func(s *Slot) { s.Spanning = true },
		"guarded":  func(s *Slot) { s.Guarded = true },
	} {
		m := newMapInDataCentres(2, dataCentres...)
		change(&m.Slots[0])
		require.False(t, m.AllowsQuorumFirst(0), name)
		require.True(t, m.AllowsQuorumFirst(1), name)
	}
}

// modelSeeds is the number of seeds that the model needs to detect the seeded fault.
const modelSeeds = 1000

// Writes go to a quorum only, as quorum.Client sends them, where the slot allows it. Any t disks
// may be lost at the same time, copied and lost again, and every complete read must still see every
// acknowledged write.
func TestQuorumFirstReadsSeeAcknowledgedWrites(t *testing.T) {
	for hosts := 5; hosts <= 7; hosts++ {
		for seed := range uint64(modelSeeds) {
			m := newModelWithFaults(t, seed, hosts, 2)
			m.quorumFirst = true
			for range 300 {
				m.step()
			}
			require.NotEmpty(t, m.ackedWrites)
		}
	}
}

// The model must detect reads that do not ask the member that is being replaced.
func TestModelDetectsReadsWithoutFormerMember(t *testing.T) {
	missed := 0
	for seed := range uint64(modelSeeds) {
		m := newModelWithFaults(t, seed, 7, 2)
		m.quorumFirst, m.skipFormerMember = true, true
		for range 300 {
			m.step()
		}
		missed += m.missedReads
	}
	require.NotZero(t, missed)
}

// The model must detect a write that is acknowledged by fewer replicas than a quorum.
func TestModelDetectsWritesBelowQuorum(t *testing.T) {
	m := newModelWithFaults(t, 1, 5, 2)
	m.quorumFirst = true
	m.writeCount++
	id := m.latestMap().Slots[modelSlot].Replicas[0].Member
	m.disks[id].records[m.writeCount] = true
	m.ackedWrites = append(m.ackedWrites, m.writeCount)
	missed := 0
	for range 200 {
		if !m.readSeesAckedWrites() {
			missed++
		}
	}
	require.NotZero(t, missed)
}
