package quorum

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// newMap returns a map for one fault with hosts members m0, m1, ..., each in a data centre of its own.
func newMap(hosts int) *placement.Map {
	m := placement.New(1)
	for i := range hosts {
		id := fmt.Sprintf("m%d", i)
		m.Admit(placement.Member{ID: id, Host: id, Address: id, DataCentre: id})
	}
	m.Assign()
	return m
}

func TestCoverageNeedsReadQuorumOfEverySlot(t *testing.T) {
	m := newMap(4)
	require.True(t, coversAllSlots(m, map[string]bool{"m0": true, "m1": true, "m2": true, "m3": true}))
	require.True(t, coversAllSlots(m, map[string]bool{"m0": true, "m1": true, "m2": true}))
	require.False(t, coversAllSlots(m, map[string]bool{"m0": true, "m1": true}), "some slot has only one of these replicas")
	for i := range m.Slots {
		for j := range m.Slots[i].Replicas {
			r := &m.Slots[i].Replicas[j]
			r.Joining = r.Member == "m0"
		}
	}
	require.False(t, coversAllSlots(m, map[string]bool{"m0": true, "m1": true, "m2": true}), "a joining replica does not count")
}

func TestChainIsLinkedFromTurnsOfSeveralReplicas(t *testing.T) {
	turns := map[string]*historypb.Turn{}
	addTurns(turns, []*historypb.Turn{{Turn: "c", Previous: "b"}})
	history := &ProgramHistory{}
	require.Equal(t, "b", history.link("c", turns))
	addTurns(turns, []*historypb.Turn{{Turn: "b", Previous: "a"}, {Turn: "a"}})
	require.Empty(t, history.link("c", turns))
	require.Len(t, history.Chain, 3)
	require.Equal(t, "a", history.Chain[2].Turn)
}
