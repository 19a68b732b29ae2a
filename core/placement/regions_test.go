package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// newRegionalMap returns a map whose members are spread evenly over the regions, each region
// with up to three data centres.
func newRegionalMap(faults, members int, regions ...string) *Map {
	m := New(faults)
	for i := range members {
		m.Admit(newRegionalMember(i, regions[i%len(regions)]))
	}
	m.Assign()
	return m
}

func newRegionalMember(i int, region string) Member {
	id := fmt.Sprintf("m%d", i)
	return Member{ID: id, Host: id, Address: id, DataCentre: fmt.Sprintf("%s-%d", region, i%3), Region: region}
}

func TestSingleRegionHasNoRegionalSlots(t *testing.T) {
	m := newRegionalMap(2, 6, "north")
	require.Len(t, m.Slots, GlobalSlotCount)
	slot, ok := m.Slot(RegionalName("north", "p"))
	require.True(t, ok)
	require.Less(t, slot, uint32(GlobalSlotCount))
	_, ok = m.Slot(RegionalName("south", "p"))
	require.False(t, ok)
}

func TestRegionalProgramsMapToRegionalSlots(t *testing.T) {
	m := newRegionalMap(2, 11, "north", "south")
	require.Len(t, m.Slots, GlobalSlotCount+2*SlotsPerRegion)
	require.Len(t, m.GlobalSlots(), GlobalSlotCount)
	used := map[uint32]bool{}
	for i := range 500 {
		program := fmt.Sprintf("p%d", i)
		slot, ok := m.Slot(RegionalName("south", program))
		require.True(t, ok)
		require.Equal(t, "south", m.Slots[slot].Region)
		used[slot] = true
		slot, ok = m.Slot(program)
		require.True(t, ok)
		require.Equal(t, GlobalSlotOf(program), slot)
	}
	require.Len(t, used, SlotsPerRegion)
}

func TestSelectRegionPrefersLocalRegion(t *testing.T) {
	m := newRegionalMap(1, 9, "east", "north", "south")
	allow := func(names ...string) func(string) bool {
		return func(region string) bool {
			for _, name := range names {
				if name == region {
					return true
				}
			}
			return false
		}
	}
	for _, c := range []struct {
		localRegion string
		allowed     []string
		want        string
	}{
		{"south", []string{"north", "south"}, "south"},
		{"east", []string{"north", "south"}, "north"},
		{"", []string{"south"}, "south"},
		{"west", []string{"west", "south"}, "south"},
		{"south", []string{"west"}, ""},
		{"south", nil, ""},
	} {
		got, ok := m.SelectRegion(c.localRegion, allow(c.allowed...))
		require.Equal(t, c.want, got, "%+v", c)
		require.Equal(t, c.want != "", ok)
	}
}

// Members that join, leave, are replaced or demoted must not move a regional slot's replicas out
// of its region, nor make it spanning or guarded, nor leave it without replicas.
func TestRegionalSlotsKeepReplicasInRegion(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 5))
		m := newRegionalMap(1+int(seed%2), 10, "north", "south")
		next := 10
		for range 60 {
			randomRegionalChange(rng, m, &next)
			for i := range m.Slots {
				s := &m.Slots[i]
				for _, r := range s.Replicas {
					require.True(t, s.Region == "" || m.Members[r.Member].Region == s.Region, "seed %d, slot %d of %s at %s", seed, i, s.Region, r.Member)
				}
				require.False(t, s.Region != "" && (s.Spanning || s.Guarded), "seed %d: a regional slot would need copies at the platform", seed)
			}
		}
		for i := range m.Slots {
			require.NotEmpty(t, m.Slots[i].Replicas, "seed %d, slot %d", seed, i)
		}
	}
}

// randomRegionalChange applies one random change to a map.
func randomRegionalChange(rng *rand.Rand, m *Map, next *int) {
	ids := m.sortedMemberIDs([]string{"north-0", "north-1", "north-2", "south-0", "south-1", "south-2"}[rng.IntN(6)])
	switch rng.IntN(7) {
	case 0, 1:
		m.Admit(newRegionalMember(*next, []string{"north", "south", "west"}[rng.IntN(3)]))
		*next++
	case 2:
		if len(ids) > 0 {
			m.Replace(ids[0], nil)
		}
	case 3:
		if len(ids) > 1 {
			m.RemoveUnused(ids[rng.IntN(len(ids))])
		}
	case 4:
		m.SpanCrowdedSlots()
	case 5:
		silent := map[string]bool{}
		for _, id := range ids {
			silent[id] = true
		}
		m.Demote(silent)
	default:
		activateAll(m)
	}
}

func TestRegionAddedLaterGetsSlots(t *testing.T) {
	m := newRegionalMap(1, 4, "north")
	m.Admit(newRegionalMember(20, "south"))
	require.Len(t, m.Slots, GlobalSlotCount+2*SlotsPerRegion)
	slot, ok := m.Slot(RegionalName("south", "p"))
	require.True(t, ok)
	require.Equal(t, []Replica{{Member: "m20"}}, m.Slots[slot].Replicas)
	require.Equal(t, m.Epoch, m.Slots[slot].ChangedEpoch)
	slot, ok = m.Slot(RegionalName("north", "p"))
	require.True(t, ok)
	require.Len(t, m.Slots[slot].Replicas, 3)
}
