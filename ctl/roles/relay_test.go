package roles

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/daemon/history"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// relayCases are the ways in which the path of a configuration to the entry hosts
// can be broken while the configuration changes.
var relayCases = []struct {
	name   string
	inject func(c *cluster)
}{
	{"calm", func(*cluster) {}},
	{"entry hosts cut off from the platform", func(c *cluster) {
		for _, e := range c.entryHosts {
			c.store.Cut(e.ip, true)
		}
	}},
	{"history hosts cut off from the platform", func(c *cluster) {
		for _, h := range c.historyHosts {
			c.store.Cut(h.ip, true)
		}
	}},
	{"all history hosts frozen", func(c *cluster) {
		for _, h := range c.historyHosts {
			c.net.Freeze(h.ip, true)
		}
	}},
	{"all history hosts killed", func(c *cluster) {
		for i := range c.historyHosts {
			c.killHistoryHost(i)
		}
	}},
	{"the platform forgets its history", func(c *cluster) { c.store.Forget() }},
}

// relayOutcome is what one case left behind.
type relayOutcome struct {
	// behind are the entry hosts that did not serve the newest route in time.
	staleEntryHosts []string
	// calls are the platform calls of the entry hosts in a calm minute.
	calls int
}

func runRelayCase(t *testing.T, inject func(c *cluster)) *relayOutcome {
	c := newCluster(t)
	defer c.close()
	o := &relayOutcome{}
	time.Sleep(2 * history.MapWatch)
	before := c.entryHostPlatformCalls()
	time.Sleep(time.Minute)
	o.calls = c.entryHostPlatformCalls() - before
	inject(c)
	time.Sleep(50 * time.Millisecond)
	k := newCaller(c)
	defer k.client.CloseIdleConnections()
	o.staleEntryHosts = c.staleEntryHosts(k, c.configure(9*time.Second))
	return o
}

// entryCalls is the number of platform calls of all entry hosts so far.
func (c *cluster) entryHostPlatformCalls() int {
	n := 0
	for _, e := range c.entryHosts {
		n += c.store.Calls(e.ip)
	}
	return n
}

// behind waits until a version must be in force and returns the entry hosts at
// which it is not.
func (c *cluster) staleEntryHosts(k *caller, version uint64) []string {
	time.Sleep(maxConfigDelay)
	var list []string
	for i, e := range c.entryHosts {
		if got := k.send("", fmt.Sprintf("/v%d/", version), "", i, nil); got.Status != http.StatusOK {
			list = append(list, fmt.Sprintf("%s: %d", e.name, got.Status))
		}
	}
	return list
}

func forEachRelayCase(t *testing.T, check func(t *testing.T, o *relayOutcome)) {
	runAllCases(t)
	for _, rc := range relayCases {
		if o := relayOutcomes[rc.name]; o != nil {
			t.Run(rc.name, func(t *testing.T) { check(t, o) })
		}
	}
}

func TestConfigurationReachesEntryHostsDespiteRelayFaults(t *testing.T) {
	forEachRelayCase(t, func(t *testing.T, o *relayOutcome) { require.Empty(t, o.staleEntryHosts) })
}

// Entry hosts cost the platform calls at their start only.
func TestEntryHostsMakeNoPlatformCallsWhileRelaysWork(t *testing.T) {
	forEachRelayCase(t, func(t *testing.T, o *relayOutcome) { require.Zero(t, o.calls) })
}

// idleMembers starts many history hosts at once and returns those without slots.
func findMembersWithoutSlots(t *testing.T) []string {
	c := newClusterOf(t, 9)
	defer c.close()
	var idle []string
	for _, h := range c.historyHosts {
		if !h.server.Map().IsInUse(h.server.Member()) {
			idle = append(idle, h.name)
		}
	}
	return idle
}

// A member without slots while others have twice their share makes those slow to
// copy when a disk is lost.
func TestAllHistoryHostsGetSlotsWhenStartedTogether(t *testing.T) {
	runAllCases(t)
	if selectedCase == "" {
		require.Empty(t, membersWithoutSlots)
	}
}

// turnInOutage restarts an entry host while the platform is down and sends it a turn.
func sendTurnDuringOutage(t *testing.T) attempt {
	c := newCluster(t)
	defer c.close()
	c.store.SetDown(true)
	e := c.killEntryHost(0)
	c.startEntryHost(&entryHost{name: e.name, ip: e.ip})
	time.Sleep(4 * time.Second)
	k := newCaller(c)
	defer k.client.CloseIdleConnections()
	return k.send("p1", "/turn/", "p1-in0;", 0, map[string]string{
		ownheaders.Budget: strconv.Itoa(budget), ownheaders.MaxTokens: strconv.Itoa(maxTokens),
	})
}

// An entry host that starts while the platform is down learns from history hosts what it
// needs to serve.
func TestEntryHostServesTurnWhenStartedDuringPlatformOutage(t *testing.T) {
	runAllCases(t)
	if selectedCase == "" {
		require.Equal(t, http.StatusOK, outageAttempt.Status, "%+v", outageAttempt)
		require.True(t, outageAttempt.Complete)
	}
}

const (
	// crowdSize is many history hosts.
	largeHistoryHostCount = 48
	// callsToStart is the calls to the platform that each may make, in the mean: a list and some
	// watches of the slot map, two tries to change it and some reads after those.
	maxCallsPerHost = 20
)

// crowdOutcome is what the start of many history hosts left behind.
type largeStartOutcome struct {
	members, calls int
}

// startCrowd starts many history hosts together.
func startManyHistoryHosts(t *testing.T) largeStartOutcome {
	c := newClusterOf(t, largeHistoryHostCount)
	defer c.close()
	o := largeStartOutcome{members: len(c.historyHosts[0].server.Map().Members)}
	for _, h := range c.historyHosts {
		o.calls += c.store.Calls(h.ip)
	}
	return o
}

// History hosts that start together make few calls to the platform each, as they read what
// others have read and do not race for the slot map.
func TestHistoryHostsMakeFewPlatformCallsWhenStartedTogether(t *testing.T) {
	runAllCases(t)
	if selectedCase != "" {
		t.Skip("another case only")
	}
	require.Equal(t, largeHistoryHostCount, largeStart.members)
	require.Less(t, largeStart.calls, maxCallsPerHost*largeHistoryHostCount)
}
