// Package always proves what must always hold. Every test runs over one table
// of fault cases; each case runs the real daemon code of five hosts in two data
// centres once, on virtual time, and the tests judge by what the stand-ins of the
// platform, the engines and the service recorded, and by what callers got.
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

// outcome is what one case left behind.
type outcome struct {
	report    *load.Report
	orders    map[string]int
	calls     map[string][]standin.EngineCall // by engine
	cached    map[string][]string             // by engine, at the end
	versions  map[string][]uint64             // by incarnation
	final     map[string]uint64               // version at each live host at the end
	config    []standin.Write                 // accepted declarations
	overspent []string
	// learnt is when all hosts could know of the leaving target, at the latest.
	learnt time.Time
	// late are hosts that had not the declaration in force 2 s after learnt.
	late []string
}

// inForceWithin is the goal for a change of the declaration.
const inForceWithin = 2 * time.Second

// settle is how long the cluster runs on after the load and the faults.
const settle = time.Minute

// onlyCase, from the environment, limits the table to one case.
var onlyCase = os.Getenv("ALWAYS_CASE")

// manyPrograms, from the environment, replaces the number of programs of each
// case, for measurements.
var manyPrograms, _ = strconv.Atoi(os.Getenv("ALWAYS_PROGRAMS"))

var (
	casesOnce sync.Once
	done      = map[string]*outcome{}
	// whileStopping is what answersWhileStopping returned.
	whileStopping []bool
)

// runAll carries every case out, once for all tests. They share one bubble of
// virtual time, since yamux keeps timers in a pool of the process.
func runAll(t *testing.T) {
	casesOnce.Do(func() {
		synctest.Test(t, func(t *testing.T) {
			for _, fc := range faultCases {
				if onlyCase == "" || onlyCase == fc.name {
					t.Log("case", fc.name)
					done[fc.name] = carryOut(t, fc)
				}
			}
			if onlyCase == "" {
				whileStopping = answersWhileStopping(t)
			}
		})
	})
}

// answersWhileStopping stops a host to which a connection is kept, and sends it requests until
// it is gone. It returns, for each answer since, whether it was the last on its connection.
func answersWhileStopping(t *testing.T) (last []bool) {
	c := newCluster(t)
	defer c.close()
	c.apply("", "first")
	time.Sleep(5 * time.Second)
	client := c.clientAt("10.9.0.9")
	defer client.CloseIdleConnections()
	ask := func() (closes bool, err error) {
		resp, err := client.Post("http://"+c.members["h1"].place+":1/v1/programs", "application/json", nil)
		if err != nil {
			return false, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.Close, err
	}
	_, err := ask()
	require.NoError(t, err)
	c.stop("h1")
	for {
		time.Sleep(50 * time.Millisecond)
		closes, err := ask()
		if err != nil {
			return last
		}
		last = append(last, closes)
	}
}

// A host that stops does not leave callers connections that it is about to close.
func TestAlwaysAnswersWhileStoppingCloseTheirConnections(t *testing.T) {
	runAll(t)
	if onlyCase != "" {
		return
	}
	require.NotEmpty(t, whileStopping)
	require.NotContains(t, whileStopping, false)
}

func carryOut(t *testing.T, fc faultCase) *outcome {
	c := newCluster(t)
	defer c.close()
	c.apply("", "first")
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { c.watch(ctx) })
	o := &outcome{calls: map[string][]standin.EngineCall{}, cached: map[string][]string{}, final: map[string]uint64{}}
	faults := make(chan struct{})
	go func() {
		fc.inject(c)
		close(faults)
	}()
	background.Go(func() {
		time.Sleep(2500 * time.Millisecond)
		c.apply("e2", "the operator")
		if fc.cutOff {
			<-faults
		}
		o.learnt = time.Now()
		time.Sleep(inForceWithin)
		o.late = c.behind()
	})
	programs := fc.programs
	if programs == 0 {
		programs = defaultPrograms
	}
	if manyPrograms > 0 {
		programs = manyPrograms
	}
	var err error
	o.report, err = load.Run(context.Background(), c.plan(programs, 1))
	require.NoError(t, err)
	<-faults
	time.Sleep(settle)
	cancel()
	background.Wait()
	c.collect(o)
	return o
}

// behind lists the live hosts that do not have the newest declaration.
func (c *cluster) behind() []string {
	writes := c.platform.History(host.ConfigKey)
	var newest host.ConfigObject
	_ = json.Unmarshal(writes[len(writes)-1].Body, &newest) // written by package store
	var late []string
	for name, n := range c.live() {
		if n.Status().ConfigVersion < newest.Version {
			late = append(late, name)
		}
	}
	return late
}

func (c *cluster) collect(o *outcome) {
	o.orders = c.orders()
	o.config = c.platform.History(host.ConfigKey)
	for name, e := range c.engines {
		o.calls[name] = e.Calls()
		if c.net.IsListening(enginePlace(name) + ":80") {
			o.cached[name] = e.CachedPrograms()
		}
	}
	for name, n := range c.live() {
		o.final[name] = n.Status().ConfigVersion
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o.versions, o.overspent = c.versions, c.overspent
}

// awaitOrders waits until n orders were executed.
func (c *cluster) awaitOrders(n int) {
	for len(c.service.Orders()) < n {
		time.Sleep(10 * time.Millisecond)
	}
}

// ownerOfLastOrder finds the host that owns the program of the last order.
func (c *cluster) ownerOfLastOrder() string {
	orders := c.service.Orders()
	program, _, _ := strings.Cut(orders[len(orders)-1].Call, "/")
	for name, n := range c.live() {
		for _, p := range n.Dump().Programs {
			if p.Program == program {
				return name
			}
		}
	}
	return "h1"
}

// always runs check over every case.
func always(t *testing.T, check func(t *testing.T, fc faultCase, o *outcome)) {
	runAll(t)
	for _, fc := range faultCases {
		if o := done[fc.name]; o != nil {
			t.Run(fc.name, func(t *testing.T) { check(t, fc, o) })
		}
	}
}

// violations filters what the load found by its text.
func violations(o *outcome, contain ...string) []string {
	var found []string
	for _, v := range o.report.Violations {
		for _, c := range contain {
			if strings.Contains(v, c) {
				found = append(found, v)
			}
		}
	}
	return found
}

func TestAlwaysProgramOrder(t *testing.T) {
	always(t, func(t *testing.T, _ faultCase, o *outcome) {
		var all []standin.EngineCall
		for _, calls := range o.calls {
			all = append(all, calls...)
		}
		assert.Empty(t, load.SequenceViolations(all))
	})
}

func TestAlwaysHistoryKept(t *testing.T) {
	always(t, func(t *testing.T, fc faultCase, o *outcome) {
		assert.Empty(t, violations(o, "answered"), "an answer to another history")
		assert.Zero(t, o.report.NotRun, "calls given up although patience was left: %v", o.report.Failures)
		assert.LessOrEqual(t, o.report.Unknown, fc.unknownOrders)
		assert.Equal(t, o.report.Calls, o.report.Answered+o.report.Unknown)
	})
}

func TestAlwaysWithinBudget(t *testing.T) {
	always(t, func(t *testing.T, _ faultCase, o *outcome) { assert.Empty(t, o.overspent) })
}

func TestAlwaysCacheReleased(t *testing.T) {
	always(t, func(t *testing.T, _ faultCase, o *outcome) {
		for engine, programs := range o.cached {
			assert.Empty(t, programs, "cache kept at %s for programs that have ended", engine)
		}
	})
}

func TestAlwaysWholeAnswerToItsCaller(t *testing.T) {
	always(t, func(t *testing.T, _ faultCase, o *outcome) {
		assert.Empty(t, violations(o, "answered", "got the answer of", "streamed another text"))
	})
}

func TestAlwaysNotRunIsTrue(t *testing.T) {
	always(t, func(t *testing.T, _ faultCase, o *outcome) { assert.Empty(t, violations(o, "was told no")) })
}

func TestAlwaysAtMostOnce(t *testing.T) {
	always(t, func(t *testing.T, _ faultCase, o *outcome) {
		for id, n := range o.orders {
			assert.LessOrEqual(t, n, 1, "%s", id)
		}
		assert.Empty(t, violations(o, "was told answered"))
	})
}

func TestAlwaysLeavingTargetIdle(t *testing.T) {
	always(t, func(t *testing.T, _ faultCase, o *outcome) {
		limit := o.learnt.Add(inForceWithin)
		for _, call := range o.calls["e2"] {
			assert.False(t, call.At.After(limit), "%s was started %s after its target had left", call.ID, call.At.Sub(o.learnt))
		}
	})
}

func TestAlwaysStopCutsNothing(t *testing.T) {
	always(t, func(t *testing.T, fc faultCase, o *outcome) {
		if !fc.planned {
			t.Skip("not a planned stop")
		}
		assert.Zero(t, o.report.Interrupted)
		assert.Equal(t, o.report.Calls, o.report.Answered)
		t.Log(o.report.Summary("stops"), "cut", o.report.Interrupted)
	})
}

func TestAlwaysConfigInForce(t *testing.T) {
	always(t, func(t *testing.T, _ faultCase, o *outcome) {
		assert.Empty(t, o.late, "not in force after %s", inForceWithin)
		for member, versions := range o.versions {
			for i := 1; i < len(versions); i++ {
				assert.GreaterOrEqual(t, versions[i], versions[i-1], "%s went back", member)
			}
		}
		newest := uint64(0)
		for _, w := range o.config {
			var c host.ConfigObject
			require.NoError(t, json.Unmarshal(w.Body, &c))
			assert.Equal(t, newest+1, c.Version, "two accepted changes with one version")
			newest = c.Version
		}
		for name, v := range o.final {
			assert.Equal(t, newest, v, fmt.Sprintf("at %s", name))
		}
	})
}
