package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func steadyMap(faults int, dataCentres ...string) *Map {
	m := New(faults)
	for i, dc := range dataCentres {
		id := fmt.Sprintf("m%d", i)
		m.Admit(Member{ID: id, Host: id, Address: id, DataCentre: dc})
	}
	m.Assign()
	return m
}

func TestASlotIsSteadyWhileNothingChangesAndNothingCrowdsIt(t *testing.T) {
	places := []string{"a", "a", "b", "b", "c", "d"}
	require.True(t, steadyMap(2, places...).AllowsQuorumFirst(0))
	require.False(t, steadyMap(1, places...).AllowsQuorumFirst(0), "three replicas")
	require.False(t, steadyMap(2, "a", "b", "c").AllowsQuorumFirst(0), "too few members")
	require.False(t, steadyMap(2, "a", "a", "a", "b", "c").AllowsQuorumFirst(0), "crowded")
	for name, change := range map[string]func(*Slot){
		"joining": func(s *Slot) { s.Replicas[1].Joining = true },
		"syncing": func(s *Slot) { s.Replicas[1].Syncing = true },
		"former":  func(s *Slot) { s.FormerMember = "m9" },
		"spans":   func(s *Slot) { s.Spanning = true },
		"guarded": func(s *Slot) { s.Guarded = true },
	} {
		m := steadyMap(2, places...)
		change(&m.Slots[0])
		require.False(t, m.AllowsQuorumFirst(0), name)
		require.True(t, m.AllowsQuorumFirst(1), name)
	}
}

// modelSeeds is as many as the model needs to see the seeded fault.
const modelSeeds = 1000

// Every write of a steady slot goes to a quorum only, as quorum.Client sends it: any t disks
// may be lost at once, copied and lost again, and every complete read still meets every
// acknowledged write.
func TestReadsMeetWritesThatWentToAQuorumOnly(t *testing.T) {
	for hosts := 5; hosts <= 7; hosts++ {
		for seed := range uint64(modelSeeds) {
			m := newModelOf(t, seed, hosts, 2)
			m.lean = true
			for range 300 {
				m.step()
			}
			require.NotEmpty(t, m.acked)
		}
	}
}

// The model sees reads that do without a replica that is being replaced.
func TestTheModelSeesReadsWithoutTheFormerReplica(t *testing.T) {
	missed := 0
	for seed := range uint64(modelSeeds) {
		m := newModelOf(t, seed, 7, 2)
		m.lean, m.formerless = true, true
		for range 300 {
			m.step()
		}
		missed += m.missed
	}
	require.NotZero(t, missed)
}

// The model sees a write that is acknowledged by fewer than a quorum.
func TestTheModelSeesWritesThatAreTooFew(t *testing.T) {
	m := newModelOf(t, 1, 5, 2)
	m.lean = true
	m.writes++
	id := m.latest().Slots[modelSlot].Replicas[0].Member
	m.disks[id].records[m.writes] = true
	m.acked = append(m.acked, m.writes)
	seen := 0
	for range 200 {
		if !m.meets() {
			seen++
		}
	}
	require.NotZero(t, seen)
}
