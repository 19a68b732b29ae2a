package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/loads"
)

// bornePerSecond is what the cold targets of these tests bear.
const bornePerSecond = 18

// coldRegistry is of a host in dc0 before one cold and one warm target of its own data centre.
func coldRegistry(salt uint64) *Registry {
	r := NewRegistry("dc0", DefaultWeights())
	r.SetSalt(salt)
	r.SetColdStart("s", ColdStart{Window: 3 * time.Second, Rate: bornePerSecond})
	r.SetTarget(TargetInfo{ID: "cold", Service: "s", DataCentre: "dc0", Capacity: 10})
	r.SetTarget(TargetInfo{ID: "warm", Service: "s", DataCentre: "dc0", Capacity: 10})
	r.SetColdFor("cold", time.Hour, 0)
	return r
}

// crowd is the times at which hosts send to a cold target that each of them asks for in
// every step, while each is told of the number of others every 0.1 s.
func crowd(hosts int, told bool, until time.Duration) []time.Duration {
	const step = 10 * time.Millisecond
	registries := make([]*Registry, hosts)
	for i := range registries {
		registries[i] = coldRegistry(uint64(7919*i + 1))
	}
	var sent []time.Duration
	for now := time.Duration(0); now < until; now += step {
		for _, r := range registries {
			if told && now%(10*step) == 0 {
				r.ApplyUpdate(loads.Learned{Fresh: true, Hosts: hosts - 1}, now)
			}
			x := r.targets["cold"]
			if x.obstacle(now) == "" {
				x.RecordSend(nil, now)
				x.RecordOutcome(Served, now)
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// mostInASecond is the most of these times in any second.
func mostInASecond(times []time.Duration) int {
	most := 0
	for i, at := range times {
		j, _ := slices.BinarySearch(times, at+time.Second)
		most = max(most, j-i)
	}
	return most
}

// However many hosts see an empty target, together they send what it bears, by half more at
// most; and they use it.
func TestACrowdOfHostsKeepsToWhatAColdTargetBears(t *testing.T) {
	for _, hosts := range []int{1, 6, 24, 60, 144} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			sent := crowd(hosts, true, 20*time.Second)
			require.LessOrEqual(t, mostInASecond(sent), bornePerSecond*3/2+5)
			require.Greater(t, len(sent), 18*bornePerSecond/2)
		})
	}
}

func TestHostsThatDoNotKnowHowManyTheyAreSendLess(t *testing.T) {
	sent := crowd(24, false, 20*time.Second)
	require.LessOrEqual(t, mostInASecond(sent), bornePerSecond)
	require.NotEmpty(t, sent)
}

func TestOnlyHostsOfTheOwnDataCentreSendToAColdTarget(t *testing.T) {
	r := coldRegistry(1)
	r.SetTarget(TargetInfo{ID: "far", Service: "s", DataCentre: "dc1", Capacity: 10})
	r.SetColdFor("far", time.Second, 0)
	far := target(t, r, "far")
	for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
		require.Equal(t, "cold", far.obstacle(now))
	}
	require.Empty(t, far.obstacle(time.Second), "warm by its own time")
}

func TestATargetThatSaysItIsWarmIsWarm(t *testing.T) {
	r := coldRegistry(1)
	r.SetColdFor("cold", 0, time.Second)
	require.Empty(t, target(t, r, "cold").obstacle(time.Second))
}

func TestColdTargetsOfServicesWithoutABoundAreAsOthers(t *testing.T) {
	r := coldRegistry(1)
	r.SetColdStart("s", ColdStart{Window: 3 * time.Second})
	require.Empty(t, target(t, r, "cold").obstacle(0))
	require.False(t, r.NeedsLoadExchange(0))
}

// The number of hosts is known from the exchange of loads, which is off where it tells nothing
// that hosts do not hear.
func TestHostsExchangeLoadsWhileATargetIsCold(t *testing.T) {
	r := coldRegistry(1)
	require.True(t, r.NeedsLoadExchange(0))
	r.SetColdFor("cold", 0, time.Second)
	require.False(t, r.NeedsLoadExchange(time.Second))
}
