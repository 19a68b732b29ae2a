package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPickSkipsTargetsOfEvacuatedDataCentres(t *testing.T) {
	r := newTestRegistry(3)
	r.SetEvacuated(map[string]bool{"dc0": true}, 0)
	require.NotEqual(t, "t0", pick(t, r, Query{}))
	r.SetTarget(TargetInfo{ID: "late", Service: "s", DataCentre: "dc0", Capacity: 10})
	require.Equal(t, "evacuated", target(t, r, "late").unusableReason(0), "listed during the evacuation")
	r.SetEvacuated(map[string]bool{"dc0": true, "dc1": true, "dc2": true}, 0)
	_, ok := r.Pick(Query{Service: "s"}, 0)
	require.False(t, ok, "all data centres are evacuated")
	r.SetEvacuated(nil, time.Second)
	require.Equal(t, "t0", pick(t, r, Query{}), "usable after the evacuation")
}

// A shared prompt must be prefilled at the same engine of another data centre by all hosts.
func TestEvacuatedDataCentreHasNoAffinityTargets(t *testing.T) {
	r := newTestRegistry(3)
	require.True(t, r.affinityTargets("s", "part")["t0"])
	r.SetEvacuated(map[string]bool{"dc0": true}, 0)
	require.False(t, r.affinityTargets("s", "part")["t0"])
	r.SetEvacuated(nil, 0)
	require.True(t, r.affinityTargets("s", "part")["t0"])
}

// Capacity that may not be used says nothing about how full a service is.
func TestMeanLoadIgnoresEvacuatedTargets(t *testing.T) {
	r := newTestRegistry(2)
	for range 10 {
		target(t, r, "t1").RecordSend(nil, 0)
	}
	r.SetEvacuated(map[string]bool{"dc0": true}, 0)
	require.InDelta(t, 1, r.MeanLoad("s", nil, 0), 0.01)
}

func TestTargetsAreColdAfterEvacuationEnds(t *testing.T) {
	r := newTestRegistry(2)
	r.SetColdStart("s", ColdStart{Window: 3 * time.Second, Rate: coldRate})
	r.SetEvacuated(map[string]bool{"dc1": true}, 0)
	r.SetEvacuated(nil, time.Second)
	require.Equal(t, "cold", target(t, r, "t1").unusableReason(2*time.Second))
	require.Empty(t, target(t, r, "t1").unusableReason(4*time.Second))
	require.Empty(t, target(t, r, "t0").unusableReason(2*time.Second), "never evacuated")
}
