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

// The shape of the fleets that are counted: of eight hosts one has a disk, and there are ten
// targets to a host, in six data centres.
const (
	centres         = 6
	hostsForDisk    = 8
	targetsToHost   = 10
	powerMost       = 0.1
	samples         = 12
	toleratedFaults = 2
)

// counted is what hosts of a fleet hold and do.
type counted struct {
	// targets is what an entry host holds, and of whose changes it is told, at most.
	targets float64
	// watched is the history hosts that an entry host asks for signs of life at most, probed
	// those that a history host asks in the mean.
	watched, probed float64
	// followers is the hosts that ask the busiest history host for what the platform says.
	followers float64
	// change is the bytes that a host is told when a history host has come.
	change float64
}

func (c counted) figures() map[string]float64 {
	return map[string]float64{
		"targets held": c.targets, "members watched": c.watched, "members probed": c.probed,
		"followers": c.followers, "bytes of a slot map's change": c.change,
	}
}

func alive(string) bool { return true }

func centreOf(i int) string { return fmt.Sprintf("dc%d", i%centres) }

// count counts a fleet of so many hosts.
func count(t *testing.T, hosts int) counted {
	var c counted
	m := placement.New(toleratedFaults)
	for i := range hosts / hostsForDisk {
		id := fmt.Sprintf("m%05d", i)
		m.Admit(placement.Member{ID: id, Host: id, Address: id, DataCentre: centreOf(i)})
	}
	m.Assign()
	index := subset.NewIndex(subset.DefaultSizes())
	type target struct {
		id string
		subset.Group
	}
	var targets []target
	for i := range hosts * targetsToHost {
		x := target{fmt.Sprintf("t%d", i), subset.Group{Service: fmt.Sprintf("s%d", i%2), DataCentre: centreOf(i / 2)}}
		targets = append(targets, x)
		index.Add(x.Group)
	}
	for h := range samples {
		name, dc := fmt.Sprintf("e%d", h), centreOf(h)
		held := 0
		for _, x := range targets {
			if index.Holds(name, dc, x.Group, x.id) {
				held++
			}
		}
		c.targets = max(c.targets, float64(held))
		c.watched = max(c.watched, float64(len(m.ProbedByHost(name, dc))))
	}
	follow := map[string]int{}
	for id, x := range m.Members {
		c.probed += float64(len(m.ProbedByMember(id, x.DataCentre, alive))) / float64(len(m.Members))
		if up := m.Upstream(id, x.DataCentre, alive); len(up) > 0 {
			follow[up[0]]++
		}
	}
	for i := range centres {
		relays := m.DataCentreRelays(centreOf(i), alive)
		entryHosts := hosts * (hostsForDisk - 1) / hostsForDisk / centres
		for _, id := range relays {
			follow[id] += entryHosts / len(relays)
		}
	}
	for _, n := range follow {
		c.followers = max(c.followers, float64(n))
	}
	c.change = float64(changeBytes(t, m))
	return c
}

// changeBytes is how long the difference is that tells of one more member.
func changeBytes(t *testing.T, m *placement.Map) int {
	before, err := json.Marshal(m)
	require.NoError(t, err)
	m.Admit(placement.Member{ID: "new", Host: "new", Address: "new", DataCentre: centreOf(0)})
	after, err := json.Marshal(m)
	require.NoError(t, err)
	d, err := delta.Make(before, after)
	require.NoError(t, err)
	return len(d)
}

// What hosts hold and do does not grow with the fleet: from 1,000 to 4,000 hosts by a power of
// 0.1 at most. Below, where a data centre has few history hosts, more of them follow each other
// than are needed for the hosts they serve.
func TestNothingGrowsWithTheFleet(t *testing.T) {
	sizes := []int{1000, 2000, 4000}
	rows := map[int]map[string]float64{}
	for _, hosts := range append([]int{30, 100, 300}, sizes...) {
		rows[hosts] = count(t, hosts).figures()
		t.Logf("%5d hosts: %v", hosts, rows[hosts])
	}
	small, large := sizes[0], sizes[len(sizes)-1]
	for name := range rows[small] {
		power := math.Log(rows[large][name]/rows[small][name]) / math.Log(float64(large)/float64(small))
		t.Logf("%-22s power %.2f", name, power)
		require.LessOrEqual(t, power, powerMost, name)
	}
}
