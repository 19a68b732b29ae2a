package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTargetsOfAnEvacuatedDataCentreGetNothingNew(t *testing.T) {
	r := registryOf(3)
	r.SetEvacuated(map[string]bool{"dc0": true}, 0)
	require.NotEqual(t, "t0", pick(t, r, Query{}))
	r.SetTarget(TargetInfo{ID: "late", Service: "s", DataCentre: "dc0", Capacity: 10})
	require.Equal(t, "evacuated", target(t, r, "late").obstacle(0), "listed meanwhile")
	r.SetEvacuated(map[string]bool{"dc0": true, "dc1": true, "dc2": true}, 0)
	_, ok := r.Pick(Query{Service: "s"}, 0)
	require.False(t, ok, "nothing is left")
	r.SetEvacuated(nil, time.Second)
	require.Equal(t, "t0", pick(t, r, Query{}), "taken back")
}

// A prompt is read anew elsewhere, and at the same engine by all hosts.
func TestSharedPartsHaveNoHomesInAnEvacuatedDataCentre(t *testing.T) {
	r := registryOf(3)
	require.True(t, r.homes("s", "part")["t0"])
	r.SetEvacuated(map[string]bool{"dc0": true}, 0)
	require.False(t, r.homes("s", "part")["t0"])
	r.SetEvacuated(nil, 0)
	require.True(t, r.homes("s", "part")["t0"])
}

// Places that nobody may use say nothing of how full a service is.
func TestEvacuatedTargetsDoNotCountInTheLoadOfAService(t *testing.T) {
	r := registryOf(2)
	for range 10 {
		target(t, r, "t1").RecordSend(nil, 0)
	}
	r.SetEvacuated(map[string]bool{"dc0": true}, 0)
	require.InDelta(t, 1, r.MeanLoad("s", nil, 0), 0.01)
}

func TestTargetsAreColdAfterTheirEvacuation(t *testing.T) {
	r := registryOf(2)
	r.SetColdStart("s", ColdStart{Window: 3 * time.Second, Rate: bornePerSecond})
	r.SetEvacuated(map[string]bool{"dc1": true}, 0)
	r.SetEvacuated(nil, time.Second)
	require.Equal(t, "cold", target(t, r, "t1").obstacle(2*time.Second))
	require.Empty(t, target(t, r, "t1").obstacle(4*time.Second))
	require.Empty(t, target(t, r, "t0").obstacle(2*time.Second), "never evacuated")
}
