// Package always tests the invariants of the system. Every test checks all cases of
// one table of faults. Each case runs once: the daemon code of five hosts in two data
// centres, on virtual time. The tests check the records of the stand-ins for the
// platform, the engines and the service, and the answers that callers received.
package always

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/ctl/load"
	"github.com/pistachioarch/pistachioarch/ctl/standin"
)

// outcome holds the records of one fault case.
type outcome struct {
	report            *load.Report
	orders            map[string]int
	engineCalls       map[string][]standin.EngineCall // by engine
	cachedPrograms    map[string][]string             // by engine, at the end of the case
	configVersions    map[string][]uint64             // by incarnation
	finalVersions     map[string]uint64               // by running host, at the end of the case
	acceptedConfigs   []standin.Write                 // in order
	overspentPrograms []string
	// knownAt is the latest time at which all hosts could learn of the draining target.
	knownAt time.Time
	// staleHosts are the hosts without the newest declaration maxConfigDelay after knownAt.
	staleHosts []string
}

// maxConfigDelay bounds the time until all hosts apply a change of the declaration.
const maxConfigDelay = 2 * time.Second

// settleDuration is the time that the cluster runs on after the end of the load and the faults.
const settleDuration = time.Minute

// onlyCase, read from ALWAYS_CASE, restricts the table to one case.
var onlyCase = os.Getenv("ALWAYS_CASE")

// programsOverride, read from ALWAYS_PROGRAMS, replaces the number of programs of each
// case, for measurements.
var programsOverride, _ = strconv.Atoi(os.Getenv("ALWAYS_PROGRAMS"))

var (
	casesOnce sync.Once
	outcomes  = map[string]*outcome{}
	// closedWhileDraining is the result of sendWhileDraining.
	closedWhileDraining []bool
)

// runAllCases runs every case once, for all tests. The cases share one synctest bubble,
// since yamux keeps timers in a pool of the process.
func runAllCases(t *testing.T) {
	casesOnce.Do(func() {
		synctest.Test(t, func(t *testing.T) {
			for _, fc := range faultCases {
				if onlyCase == "" || onlyCase == fc.name {
					t.Log("case", fc.name)
					outcomes[fc.name] = runFaultCase(t, fc)
				}
			}
			if onlyCase == "" {
				closedWhileDraining = sendWhileDraining(t)
			}
		})
	})
}

// sendWhileDraining drains a host while a client holds a connection to it, and sends requests
// until the host has stopped. It returns, for each answer received meanwhile, whether the
// host asked to close the connection.
func sendWhileDraining(t *testing.T) (closed []bool) {
	c := newCluster(t)
	defer c.close()
	c.applyDeclaration("", "first")
	time.Sleep(5 * time.Second)
	client := c.newClient("10.9.0.9")
	defer client.CloseIdleConnections()
	sendRequest := func() (closes bool, err error) {
		resp, err := client.Post("http://"+c.members["h1"].ip+":1/v1/programs", "application/json", nil)
		if err != nil {
			return false, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.Close, err
	}
	_, err := sendRequest()
	require.NoError(t, err)
	c.drainHost("h1")
	for {
		time.Sleep(50 * time.Millisecond)
		closes, err := sendRequest()
		if err != nil {
			return closed
		}
		closed = append(closed, closes)
	}
}

// Guards against requests lost because a draining host closes a connection on which a
// caller has just sent one: each of its answers must close the connection.
func TestAlwaysDrainingHostClosesConnectionsWithItsAnswers(t *testing.T) {
	runAllCases(t)
	if onlyCase != "" {
		return
	}
	require.NotEmpty(t, closedWhileDraining)
	require.NotContains(t, closedWhileDraining, false)
}

func runFaultCase(t *testing.T, fc faultCase) *outcome {
	c := newCluster(t)
	defer c.close()
	c.applyDeclaration("", "first")
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { c.sampleHosts(ctx) })
	o := &outcome{engineCalls: map[string][]standin.EngineCall{}, cachedPrograms: map[string][]string{}, finalVersions: map[string]uint64{}}
	faultsOver := make(chan struct{})
	go func() {
		fc.inject(c)
		close(faultsOver)
	}()
	background.Go(func() {
		time.Sleep(2500 * time.Millisecond)
		c.applyDeclaration("e2", "the operator")
		if fc.delaysConfig {
			<-faultsOver
		}
		o.knownAt = time.Now()
		time.Sleep(maxConfigDelay)
		o.staleHosts = c.staleHosts()
	})
	programs := fc.programs
	if programs == 0 {
		programs = defaultPrograms
	}
	if programsOverride > 0 {
		programs = programsOverride
	}
	var err error
	o.report, err = load.Run(context.Background(), c.loadPlan(programs, 1))
	require.NoError(t, err)
	<-faultsOver
	time.Sleep(settleDuration)
	cancel()
	background.Wait()
	c.collectOutcome(o)
	return o
}

// staleHosts returns the running hosts that do not have the newest declaration.
func (c *cluster) staleHosts() []string {
	writes := c.platform.History(host.ConfigKey)
	var newest host.ConfigObject
	_ = json.Unmarshal(writes[len(writes)-1].Body, &newest) // written by package store
	var stale []string
	for name, n := range c.liveNodes() {
		if n.Status().ConfigVersion < newest.Version {
			stale = append(stale, name)
		}
	}
	return stale
}

func (c *cluster) collectOutcome(o *outcome) {
	o.orders = c.executedOrders()
	o.acceptedConfigs = c.platform.History(host.ConfigKey)
	for name, e := range c.engines {
		o.engineCalls[name] = e.Calls()
		if c.net.IsListening(engineIP(name) + ":80") {
			o.cachedPrograms[name] = e.CachedPrograms()
		}
	}
	for name, n := range c.liveNodes() {
		o.finalVersions[name] = n.Status().ConfigVersion
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o.configVersions, o.overspentPrograms = c.configVersions, c.overspentPrograms
}

// awaitOrders waits until the service has executed n orders.
func (c *cluster) awaitOrders(n int) {
	for len(c.service.Orders()) < n {
		time.Sleep(10 * time.Millisecond)
	}
}

// ownerOfLastOrder returns the host that owns the program of the last order, or h1 if
// no host owns it.
func (c *cluster) ownerOfLastOrder() string {
	orders := c.service.Orders()
	program, _, _ := strings.Cut(orders[len(orders)-1].Call, "/")
	for name, n := range c.liveNodes() {
		for _, p := range n.Dump().Programs {
			if p.Program == program {
				return name
			}
		}
	}
	return "h1"
}

// forEachCase runs check on the outcome of every case, in a subtest each.
func forEachCase(t *testing.T, check func(t *testing.T, fc faultCase, o *outcome)) {
	runAllCases(t)
	for _, fc := range faultCases {
		if o := outcomes[fc.name]; o != nil {
			t.Run(fc.name, func(t *testing.T) { check(t, fc, o) })
		}
	}
}

// violations returns the violations found by the load that contain any of the
// substrings.
func violations(o *outcome, substrings ...string) []string {
	var found []string
	for _, v := range o.report.Violations {
		for _, c := range substrings {
			if strings.Contains(v, c) {
				found = append(found, v)
			}
		}
	}
	return found
}

func TestAlwaysCallsRunInProgramOrder(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) {
		var all []standin.EngineCall
		for _, calls := range o.engineCalls {
			all = append(all, calls...)
		}
		assert.Empty(t, load.SequenceViolations(all))
	})
}

func TestAlwaysHistoryIsPreserved(t *testing.T) {
	forEachCase(t, func(t *testing.T, fc faultCase, o *outcome) {
		assert.Empty(t, violations(o, "answered"), "answers to a different history")
		assert.Zero(t, o.report.NotRun, "calls abandoned before the retry timeout: %v", o.report.Failures)
		assert.LessOrEqual(t, o.report.Unknown, fc.unknownOrders)
		assert.Equal(t, o.report.Calls, o.report.Answered+o.report.Unknown)
	})
}

func TestAlwaysBudgetHolds(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) { assert.Empty(t, o.overspentPrograms) })
}

func TestAlwaysCacheIsReleased(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) {
		for engine, programs := range o.cachedPrograms {
			assert.Empty(t, programs, "cache at %s still holds programs that have ended", engine)
		}
	})
}

func TestAlwaysCompleteAnswerReachesItsCaller(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) {
		assert.Empty(t, violations(o, "answered", "got the answer of", "streamed another text"))
	})
}

func TestAlwaysNotRunStatusIsTrue(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) { assert.Empty(t, violations(o, "was told no")) })
}

func TestAlwaysAtMostOnce(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) {
		for id, n := range o.orders {
			assert.LessOrEqual(t, n, 1, "%s", id)
		}
		assert.Empty(t, violations(o, "was told answered"))
	})
}

func TestAlwaysDrainingTargetGetsNoNewRequests(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) {
		deadline := o.knownAt.Add(maxConfigDelay)
		for _, call := range o.engineCalls["e2"] {
			assert.False(t, call.At.After(deadline), "call %s started %s after all hosts could know that its target was draining", call.ID, call.At.Sub(o.knownAt))
		}
	})
}

func TestAlwaysPlannedStopInterruptsNoRequest(t *testing.T) {
	forEachCase(t, func(t *testing.T, fc faultCase, o *outcome) {
		if !fc.plannedStopsOnly {
			t.Skip("case has unplanned faults")
		}
		assert.Zero(t, o.report.Interrupted)
		assert.Equal(t, o.report.Calls, o.report.Answered)
		t.Log(o.report.Summary("stops"), "cut", o.report.Interrupted)
	})
}

func TestAlwaysConfigurationIsAppliedInTime(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) {
		assert.Empty(t, o.staleHosts, "newest declaration not applied after %s", maxConfigDelay)
		for member, versions := range o.configVersions {
			for i := 1; i < len(versions); i++ {
				assert.GreaterOrEqual(t, versions[i], versions[i-1], "config version of %s decreased", member)
			}
		}
		newest := uint64(0)
		for _, w := range o.acceptedConfigs {
			var c host.ConfigObject
			require.NoError(t, json.Unmarshal(w.Body, &c))
			assert.Equal(t, newest+1, c.Version, "accepted versions are not consecutive")
			newest = c.Version
		}
		for name, v := range o.finalVersions {
			assert.Equal(t, newest, v, fmt.Sprintf("at %s", name))
		}
	})
}
