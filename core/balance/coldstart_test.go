package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/loads"
)

// coldRate is the request rate that the cold targets of these tests accept, per second.
const coldRate = 18

// newColdRegistry returns the registry of a host in dc0 with one cold and one warm target in its
// own data centre.
func newColdRegistry(salt uint64) *Registry {
	r := NewRegistry("dc0", DefaultWeights())
	r.SetSalt(salt)
	r.SetColdStart("s", ColdStart{Window: 3 * time.Second, Rate: coldRate})
	r.SetTarget(TargetInfo{ID: "cold", Service: "s", DataCentre: "dc0", Capacity: 10})
	r.SetTarget(TargetInfo{ID: "warm", Service: "s", DataCentre: "dc0", Capacity: 10})
	r.SetColdFor("cold", time.Hour, 0)
	return r
}

// coldSendTimes returns the times at which hosts send to a cold target. Each host tries to send
// in every step, and with exchange it learns the number of other hosts every 0.1 s.
func coldSendTimes(hosts int, exchange bool, duration time.Duration) []time.Duration {
	const step = 10 * time.Millisecond
	registries := make([]*Registry, hosts)
	for i := range registries {
		registries[i] = newColdRegistry(uint64(7919*i + 1))
	}
	var sent []time.Duration
	for now := time.Duration(0); now < duration; now += step {
		for _, r := range registries {
			if exchange && now%(10*step) == 0 {
				r.ApplyUpdate(loads.Update{Accepted: true, OtherHosts: hosts - 1}, now)
			}
			cold := r.targets["cold"]
			if cold.unusableReason(now) == "" {
				cold.RecordSend(nil, now)
				cold.RecordOutcome(Served, now)
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// maxPerSecond returns the largest number of these times in any second.
func maxPerSecond(times []time.Duration) int {
	most := 0
	for i, at := range times {
		j, _ := slices.BinarySearch(times, at+time.Second)
		most = max(most, j-i)
	}
	return most
}

// However many hosts see an empty target, together they must send at most one and a half times
// its declared rate, and must use at least half of it.
func TestHostsTogetherStayWithinColdStartRate(t *testing.T) {
	for _, hosts := range []int{1, 6, 24, 60, 144} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			sent := coldSendTimes(hosts, true, 20*time.Second)
			require.LessOrEqual(t, maxPerSecond(sent), coldRate*3/2+5)
			require.Greater(t, len(sent), 18*coldRate/2)
		})
	}
}

func TestColdStartRateHoldsWithUnknownHostCount(t *testing.T) {
	sent := coldSendTimes(24, false, 20*time.Second)
	require.LessOrEqual(t, maxPerSecond(sent), coldRate)
	require.NotEmpty(t, sent)
}

func TestColdTargetOfAnotherDataCentreIsNotPicked(t *testing.T) {
	r := newColdRegistry(1)
	r.SetTarget(TargetInfo{ID: "far", Service: "s", DataCentre: "dc1", Capacity: 10})
	r.SetColdFor("far", time.Second, 0)
	far := target(t, r, "far")
	for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
		require.Equal(t, "cold", far.unusableReason(now))
	}
	require.Empty(t, far.unusableReason(time.Second), "warm after its own cold start")
}

func TestTargetReportedWarmIsUsable(t *testing.T) {
	r := newColdRegistry(1)
	r.SetColdFor("cold", 0, time.Second)
	require.Empty(t, target(t, r, "cold").unusableReason(time.Second))
}

func TestColdTargetWithoutColdStartRateIsUsable(t *testing.T) {
	r := newColdRegistry(1)
	r.SetColdStart("s", ColdStart{Window: 3 * time.Second})
	require.Empty(t, target(t, r, "cold").unusableReason(0))
	require.False(t, r.NeedsLoadExchange(0))
}

// The number of hosts is known only from the load exchange, which is off while hosts receive
// enough load reports by themselves.
func TestColdTargetRequiresLoadExchange(t *testing.T) {
	r := newColdRegistry(1)
	require.True(t, r.NeedsLoadExchange(0))
	r.SetColdFor("cold", 0, time.Second)
	require.False(t, r.NeedsLoadExchange(time.Second))
}
