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
		for _, e := range c.entries {
			c.store.Cut(e.place, true)
		}
	}},
	{"history hosts cut off from the platform", func(c *cluster) {
		for _, h := range c.history {
			c.store.Cut(h.place, true)
		}
	}},
	{"all history hosts frozen", func(c *cluster) {
		for _, h := range c.history {
			c.net.Freeze(h.place, true)
		}
	}},
	{"all history hosts killed", func(c *cluster) {
		for i := range c.history {
			c.killHistory(i)
		}
	}},
	{"the platform forgets its history", func(c *cluster) { c.store.Forget() }},
}

// relayOutcome is what one case left behind.
type relayOutcome struct {
	// behind are the entry hosts that did not serve the newest route in time.
	behind []string
	// calls are the platform calls of the entry hosts in a calm minute.
	calls int
}

func carryOutRelay(t *testing.T, inject func(c *cluster)) *relayOutcome {
	c := newCluster(t)
	defer c.close()
	o := &relayOutcome{}
	time.Sleep(2 * history.MapWatchTimeout)
	before := c.entryCalls()
	time.Sleep(time.Minute)
	o.calls = c.entryCalls() - before
	inject(c)
	time.Sleep(50 * time.Millisecond)
	k := newCaller(c)
	defer k.client.CloseIdleConnections()
	o.behind = c.behind(k, c.configure(9*time.Second))
	return o
}

// entryCalls is the number of platform calls of all entry hosts so far.
func (c *cluster) entryCalls() int {
	n := 0
	for _, e := range c.entries {
		n += c.store.Calls(e.place)
	}
	return n
}

// behind waits until a version must be in force and returns the entry hosts at
// which it is not.
func (c *cluster) behind(k *caller, version uint64) []string {
	time.Sleep(inForceWithin)
	var list []string
	for i, e := range c.entries {
		if got := k.send("", fmt.Sprintf("/v%d/", version), "", i, nil); got.Status != http.StatusOK {
			list = append(list, fmt.Sprintf("%s: %d", e.name, got.Status))
		}
	}
	return list
}

func eachRelay(t *testing.T, check func(t *testing.T, o *relayOutcome)) {
	all(t)
	for _, rc := range relayCases {
		if o := relayOutcomes[rc.name]; o != nil {
			t.Run(rc.name, func(t *testing.T) { check(t, o) })
		}
	}
}

func TestConfigurationReachesEntryHostsWhateverRelays(t *testing.T) {
	eachRelay(t, func(t *testing.T, o *relayOutcome) { require.Empty(t, o.behind) })
}

// Entry hosts cost the platform calls at their start only.
func TestEntryHostsDoNotCallThePlatformWhileRelaysDo(t *testing.T) {
	eachRelay(t, func(t *testing.T, o *relayOutcome) { require.Zero(t, o.calls) })
}

// idleMembers starts many history hosts at once and returns those without slots.
func idleMembers(t *testing.T) []string {
	c := newClusterOf(t, 9)
	defer c.close()
	var idle []string
	for _, h := range c.history {
		if !h.server.Map().IsInUse(h.server.MemberID()) {
			idle = append(idle, h.name)
		}
	}
	return idle
}

// A member without slots while others have twice their share makes those slow to
// copy when a disk is lost.
func TestSlotsAreSharedByAllHistoryHostsThatStartTogether(t *testing.T) {
	all(t)
	if onlyCase == "" {
		require.Empty(t, idleAtStart)
	}
}

// turnInOutage restarts an entry host while the platform is down and sends it a turn.
func turnInOutage(t *testing.T) try {
	c := newCluster(t)
	defer c.close()
	c.store.SetDown(true)
	e := c.killEntry(0)
	c.startEntry(&entryHost{name: e.name, place: e.place})
	time.Sleep(4 * time.Second)
	k := newCaller(c)
	defer k.client.CloseIdleConnections()
	return k.send("p1", "/turn/", "p1-in0;", 0, map[string]string{
		ownheaders.Budget: strconv.Itoa(budget), ownheaders.MaxTokens: strconv.Itoa(maxTokens),
	})
}

// An entry host that starts while the platform is down learns from history hosts what it
// needs to serve.
func TestEntryHostStartsWithoutThePlatform(t *testing.T) {
	all(t)
	if onlyCase == "" {
		require.Equal(t, http.StatusOK, inOutage.Status, "%+v", inOutage)
		require.True(t, inOutage.Whole)
	}
}

const (
	// crowdSize is many history hosts.
	crowdSize = 48
	// callsToStart is the calls to the platform that each may make, in the mean: a list and some
	// watches of the slot map, two tries to change it and some reads after those.
	callsToStart = 20
)

// crowdOutcome is what the start of many history hosts left behind.
type crowdOutcome struct {
	members, calls int
}

// startCrowd starts many history hosts together.
func startCrowd(t *testing.T) crowdOutcome {
	c := newClusterOf(t, crowdSize)
	defer c.close()
	o := crowdOutcome{members: len(c.history[0].server.Map().Members)}
	for _, h := range c.history {
		o.calls += c.store.Calls(h.place)
	}
	return o
}

// History hosts that start together make few calls to the platform each, as they read what
// others have read and do not race for the slot map.
func TestManyHistoryHostsStartTogether(t *testing.T) {
	all(t)
	if onlyCase != "" {
		t.Skip("another case only")
	}
	require.Equal(t, crowdSize, crowdStart.members)
	require.Less(t, crowdStart.calls, callsToStart*crowdSize)
}
