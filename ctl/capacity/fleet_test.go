package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/core/subset"
	"github.com/pistachioarch/pistachioarch/wire/delta"
)

// Shape of the measured fleets.
const (
	dataCentreCount = 6
	hostsPerMember  = 8 // one host in eight has a disk and is a history host
	targetsPerHost  = 10
	toleratedFaults = 2
	sampledHosts    = 12 // entry hosts whose maxima are measured
	// maxGrowthPower bounds p where a cost grows with the number of hosts to the power of p.
	maxGrowthPower = 0.1
)

// hostCosts are the costs of single hosts of a fleet.
type hostCosts struct {
	// heldTargets is the maximum number of targets that an entry host holds and gets changes of.
	heldTargets float64
	// probedByHost is the maximum number of history hosts that an entry host probes,
	// probedByMember the mean number that a history host probes.
	probedByHost, probedByMember float64
	// maxFollowers is the largest number of hosts that follow one history host, that is, read
	// the platform's state from it.
	maxFollowers float64
	// mapChangeBytes is the size of the slot map's delta that a host gets after a history host
	// has joined.
	mapChangeBytes float64
}

// byName returns the costs under the names used in logs.
func (c hostCosts) byName() map[string]float64 {
	return map[string]float64{
		"targets held": c.heldTargets, "members probed by an entry host": c.probedByHost, "members probed by a member": c.probedByMember,
		"followers": c.maxFollowers, "bytes of a slot map's change": c.mapChangeBytes,
	}
}

func allAlive(string) bool { return true }

func dataCentreOf(i int) string { return fmt.Sprintf("dc%d", i%dataCentreCount) }

// measureFleet returns the costs in a fleet with the given number of hosts.
func measureFleet(t *testing.T, hosts int) hostCosts {
	var costs hostCosts
	slotMap := placement.New(toleratedFaults)
	for i := range hosts / hostsPerMember {
		id := fmt.Sprintf("m%05d", i)
		slotMap.Admit(placement.Member{ID: id, Host: id, Address: id, DataCentre: dataCentreOf(i)})
	}
	slotMap.Assign()
	index := subset.NewIndex(subset.DefaultSizes())
	type target struct {
		id string
		subset.Group
	}
	var targets []target
	for i := range hosts * targetsPerHost {
		next := target{fmt.Sprintf("t%d", i), subset.Group{Service: fmt.Sprintf("s%d", i%2), DataCentre: dataCentreOf(i / 2)}}
		targets = append(targets, next)
		index.Add(next.Group)
	}
	for i := range sampledHosts {
		name, dataCentre := fmt.Sprintf("e%d", i), dataCentreOf(i)
		held := 0
		for _, candidate := range targets {
			if index.Holds(name, dataCentre, candidate.Group, candidate.id) {
				held++
			}
		}
		costs.heldTargets = max(costs.heldTargets, float64(held))
		costs.probedByHost = max(costs.probedByHost, float64(len(slotMap.ProbedByHost(name, dataCentre))))
	}
	followers := map[string]int{}
	for id, member := range slotMap.Members {
		costs.probedByMember += float64(len(slotMap.ProbedByMember(id, member.DataCentre, allAlive))) / float64(len(slotMap.Members))
		if upstream := slotMap.Upstream(id, member.DataCentre, allAlive); len(upstream) > 0 {
			followers[upstream[0]]++
		}
	}
	for i := range dataCentreCount {
		relays := slotMap.DataCentreRelays(dataCentreOf(i), allAlive)
		entryHosts := hosts * (hostsPerMember - 1) / hostsPerMember / dataCentreCount
		for _, id := range relays {
			followers[id] += entryHosts / len(relays)
		}
	}
	for _, n := range followers {
		costs.maxFollowers = max(costs.maxFollowers, float64(n))
	}
	costs.mapChangeBytes = float64(changeBytes(t, slotMap))
	return costs
}

// changeBytes returns the size of the slot map's delta for one more member.
func changeBytes(t *testing.T, slotMap *placement.Map) int {
	before, err := json.Marshal(slotMap)
	require.NoError(t, err)
	slotMap.Admit(placement.Member{ID: "new", Host: "new", Address: "new", DataCentre: dataCentreOf(0)})
	after, err := json.Marshal(slotMap)
	require.NoError(t, err)
	d, err := delta.Make(before, after)
	require.NoError(t, err)
	return len(d)
}

// The costs of a host must hardly grow with the fleet: from 1,000 to 4,000 hosts by at most the
// power 0.1 of its size. Smaller fleets are measured only for the log: where a data centre has
// few history hosts, more of them follow each other than its entry hosts require.
func TestHostCostsDoNotGrowWithFleet(t *testing.T) {
	sizes := []int{1000, 2000, 4000}
	costs := map[int]map[string]float64{}
	for _, hosts := range append([]int{30, 100, 300}, sizes...) {
		costs[hosts] = measureFleet(t, hosts).byName()
		t.Logf("%5d hosts: %v", hosts, costs[hosts])
	}
	small, large := sizes[0], sizes[len(sizes)-1]
	for name := range costs[small] {
		power := math.Log(costs[large][name]/costs[small][name]) / math.Log(float64(large)/float64(small))
		t.Logf("%-31s power %.2f", name, power)
		require.LessOrEqual(t, power, maxGrowthPower, name)
	}
}
