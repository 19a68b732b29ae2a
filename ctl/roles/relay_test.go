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

// relayCases are faults on the path of a configuration to the entry hosts; the configuration
// changes while the fault lasts.
var relayCases = []struct {
	name   string
	inject func(c *cluster)
}{
	{"no fault", func(*cluster) {}},
	{"platform unreachable from entry hosts", func(c *cluster) {
		for _, e := range c.entryHosts {
			c.store.SetPartitioned(e.ip, true)
		}
	}},
	{"platform unreachable from history hosts", func(c *cluster) {
		for _, h := range c.historyHosts {
			c.store.SetPartitioned(h.ip, true)
		}
	}},
	{"platform silent to history hosts", func(c *cluster) {
		for _, h := range c.historyHosts {
			c.store.SetSilent(h.ip, true)
		}
	}},
	{"all history hosts frozen", func(c *cluster) {
		for _, h := range c.historyHosts {
			c.net.SetFrozen(h.ip, true)
		}
	}},
	{"all history hosts killed", func(c *cluster) {
		for i := range c.historyHosts {
			c.killHistoryHost(i)
		}
	}},
	{"platform loses its watch history", func(c *cluster) { c.store.DropHistory() }},
}

// relayOutcome is the result of one of relayCases.
type relayOutcome struct {
	// staleEntryHosts are the entry hosts that did not serve the newest route in time.
	staleEntryHosts []string
	// calls is the number of platform calls of all entry hosts during one minute without faults.
	calls int
}

func runRelayCase(t *testing.T, inject func(c *cluster)) *relayOutcome {
	c := newCluster(t)
	defer c.close()
	o := &relayOutcome{}
	time.Sleep(2 * history.MapWatchTimeout)
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

// entryHostPlatformCalls returns the number of platform calls of all entry hosts so far.
func (c *cluster) entryHostPlatformCalls() int {
	n := 0
	for _, e := range c.entryHosts {
		n += c.store.Calls(e.ip)
	}
	return n
}

// staleEntryHosts waits for maxConfigDelay and returns the entry hosts that do not serve the
// route of the given configuration version, with the status they returned.
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

// Entry hosts may call the platform only during their start.
func TestEntryHostsMakeNoPlatformCallsWhileRelaysWork(t *testing.T) {
	forEachRelayCase(t, func(t *testing.T, o *relayOutcome) { require.Zero(t, o.calls) })
}

// findMembersWithoutSlots starts nine history hosts together and returns the ones without slots.
func findMembersWithoutSlots(t *testing.T) []string {
	c := newClusterOf(t, 9)
	defer c.close()
	var idle []string
	for _, h := range c.historyHosts {
		if !h.server.Map().IsInUse(h.server.MemberID()) {
			idle = append(idle, h.name)
		}
	}
	return idle
}

// Every history host must get slots. If one has none, others have twice their share and are slow
// to copy their slots after the loss of a disk.
func TestAllHistoryHostsGetSlotsWhenStartedTogether(t *testing.T) {
	runAllCases(t)
	if selectedCase == "" {
		require.Empty(t, membersWithoutSlots)
	}
}

// sendTurnDuringOutage restarts an entry host while the platform is down and sends it a turn.
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

// An entry host that starts while the platform is down must get all state that it needs to
// serve a turn from the history hosts.
func TestEntryHostServesTurnWhenStartedDuringPlatformOutage(t *testing.T) {
	runAllCases(t)
	if selectedCase == "" {
		require.Equal(t, http.StatusOK, outageAttempt.Status, "%+v", outageAttempt)
		require.True(t, outageAttempt.Complete)
	}
}

const (
	// largeHistoryHostCount is the number of history hosts that are started together.
	largeHistoryHostCount = 48
	// maxCallsPerHost bounds the mean number of platform calls of a starting host: a list and
	// some watches of the slot map, two attempts to change it and some reads after those.
	maxCallsPerHost = 20
)

// largeStartOutcome is the result of starting many history hosts together: the members in the
// slot map and the number of platform calls.
type largeStartOutcome struct {
	members, calls int
}

// startManyHistoryHosts starts largeHistoryHostCount history hosts together.
func startManyHistoryHosts(t *testing.T) largeStartOutcome {
	c := newClusterOf(t, largeHistoryHostCount)
	defer c.close()
	o := largeStartOutcome{members: len(c.historyHosts[0].server.Map().Members)}
	for _, h := range c.historyHosts {
		o.calls += c.store.Calls(h.ip)
	}
	return o
}

// History hosts that start together must make few platform calls each: they read state that
// other hosts have read already and do not compete to change the slot map.
func TestHistoryHostsMakeFewPlatformCallsWhenStartedTogether(t *testing.T) {
	runAllCases(t)
	if selectedCase != "" {
		t.Skip("ROLES_CASE selects a single case")
	}
	require.Equal(t, largeHistoryHostCount, largeStart.members)
	require.Less(t, largeStart.calls, maxCallsPerHost*largeHistoryHostCount)
}
