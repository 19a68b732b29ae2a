// Package roles proves what must always hold of a system of entry and history
// hosts. Every test runs over one table of fault cases; each case runs the real
// code of four entry and four history hosts once, on virtual time. The tests
// judge by what targets ran and by what callers got.
package roles

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/ctl/standin"
	"github.com/pistachioarch/pistachioarch/daemon/history"
)

const (
	programs = 12
	turns    = 8
	loops    = 3
	// leaveWithin is how long a leaving target may still get requests.
	leaveWithin = 2 * time.Second
	// inForceWithin is how long a configuration may take to be in force.
	inForceWithin = 2 * time.Second
)

// outcome is what one case left behind.
type outcome struct {
	tries    []try
	failures []string
	finished int
	// runs are what engines and plain services ran, by request.
	runs map[string][]standin.Run
	// afterLeaving are requests that the leaving target ran too late.
	afterLeaving []standin.Run
	// versions are what each entry host answered to requests on the newest route.
	behind []string
}

var (
	once     sync.Once
	outcomes = map[string]*outcome{}
	// relayOutcomes are those of relayCases.
	relayOutcomes = map[string]*relayOutcome{}
	afterCut      *cutOutcome
	// removals, quotaCases and evacuations are those of customerFaults.
	removals, quotaCases = map[string]*customerOutcome{}, map[string]*customerOutcome{}
	evacuations          = map[string]*evacuationOutcome{}
	// idleAtStart are the history hosts of a large cluster that got no slots.
	idleAtStart []string
	// crowdStart is the start of many history hosts together.
	crowdStart crowdOutcome
	// inOutage is the answer to a turn at an entry host that started without the platform.
	inOutage try
	// onlyCase, from the environment, limits the table to one case.
	onlyCase = os.Getenv("ROLES_CASE")
)

func allCases() []faultCase { return slices.Concat(faultCases, fiveCases) }

// all carries every case out, once for all tests. They share one bubble of virtual
// time, since yamux keeps timers in a pool of the process.
func all(t *testing.T) {
	once.Do(func() {
		synctest.Test(t, func(t *testing.T) {
			// What waits at a relay ends by itself.
			defer time.Sleep(history.MapWatchTimeout)
			for _, fc := range allCases() {
				if onlyCase == "" || onlyCase == fc.name {
					outcomes[fc.name] = carryOut(t, fc)
				}
			}
			for _, rc := range relayCases {
				if onlyCase == "" || onlyCase == rc.name {
					relayOutcomes[rc.name] = carryOutRelay(t, rc.inject)
				}
			}
			for _, f := range customerFaults {
				if onlyCase == "" || onlyCase == f.name {
					removals[f.name] = carryOutRemoval(t, f)
					quotaCases[f.name] = carryOutQuota(t, f)
					evacuations[f.name] = carryOutEvacuation(t, f)
				}
			}
			if onlyCase == "" {
				idleAtStart = idleMembers(t)
				crowdStart = startCrowd(t)
				inOutage = turnInOutage(t)
				afterCut = carryOutCut(t)
			}
		})
	})
	require.NotZero(t, len(outcomes)+len(relayOutcomes)+len(removals))
}

func carryOut(t *testing.T, fc faultCase) *outcome {
	start := newCluster
	if fc.crowded {
		start = newCrowded
	}
	if fc.five {
		start = func(t *testing.T) *cluster { return emptyCluster(t).startFive() }
	}
	c := start(t)
	defer c.close()
	k := newCaller(c)
	defer k.client.CloseIdleConnections()
	var work sync.WaitGroup
	over := make(chan struct{})
	for n := range programs {
		work.Go(func() { k.program(n, turns, over) })
	}
	time.Sleep(500 * time.Millisecond)
	for n := range loops {
		work.Go(func() { k.loop(n) })
	}
	fc.inject(c)
	close(over)
	work.Wait()
	o := &outcome{runs: map[string][]standin.Run{}}
	// After the fault, a target leaves and a configuration changes.
	c.list(c.engines[2].ID, engineService, "10.3.7.2", 2, true)
	left := time.Now()
	version := c.configure(8 * time.Second)
	later := make(chan struct{})
	for n := range programs / 2 {
		work.Go(func() { k.program(100+n, 3, later) })
	}
	o.behind = c.behind(k, version)
	time.Sleep(leaveWithin)
	close(later)
	work.Wait()
	for _, e := range append(append([]*standin.TurnEngine(nil), c.engines...), c.plain...) {
		for _, r := range e.Runs() {
			o.runs[r.ID] = append(o.runs[r.ID], r)
			if e == c.engines[2] && r.At.Sub(left) > leaveWithin {
				o.afterLeaving = append(o.afterLeaving, r)
			}
		}
	}
	o.tries, o.failures, o.finished = k.tries, k.failures, k.finished
	return o
}

// each runs a check over the outcome of every case.
func each(t *testing.T, check func(t *testing.T, fc faultCase, o *outcome)) {
	all(t)
	for _, fc := range allCases() {
		if o := outcomes[fc.name]; o != nil {
			t.Run(fc.name, func(t *testing.T) { check(t, fc, o) })
		}
	}
}

// wholeTurns are the turns that were answered whole, by id.
func (o *outcome) wholeTurns() map[string]try {
	list := map[string]try{}
	for _, x := range o.tries {
		if x.Path == "/turn/" && x.Status == http.StatusOK && x.Whole {
			list[x.ID] = x
		}
	}
	return list
}

func TestEveryProgramEnds(t *testing.T) {
	each(t, func(t *testing.T, _ faultCase, o *outcome) {
		assert.Empty(t, o.failures)
		assert.Equal(t, programs+programs/2+loops, o.finished)
	})
}

// A turn's prompt is the program's turns so far, in order, and nothing else.
func TestAlwaysHistoryIsWholeAndInOrder(t *testing.T) {
	each(t, func(t *testing.T, _ faultCase, o *outcome) {
		for id, x := range o.wholeTurns() {
			run := o.runs[id][0]
			require.True(t, strings.HasSuffix(run.Body, x.Body))
			parts := strings.SplitAfter(strings.TrimSuffix(run.Body, x.Body), ";")
			for i, in := range parts[:len(parts)-1] {
				// Each earlier input, after the output of the one before.
				_, input, _ := strings.Cut(in, "\n"+x.Program)
				if i == 0 {
					input = strings.TrimPrefix(in, x.Program)
				} else if at := strings.LastIndex(in, "\n"); at >= 0 {
					input = strings.TrimPrefix(in[at+1:], x.Program)
				}
				require.Equal(t, fmt.Sprintf("-in%d;", i), input, "request %s: %q", id, run.Body)
			}
		}
	})
}

func TestAlwaysWholeAnswerToItsCaller(t *testing.T) {
	each(t, func(t *testing.T, _ faultCase, o *outcome) {
		for id, x := range o.wholeTurns() {
			want := ""
			for i := 1; i <= 5; i++ {
				want += fmt.Sprintf("id: %d\ndata: %s.%d\n\n", i, id, i)
			}
			require.Equal(t, want, x.Answer)
		}
	})
}

func TestAlwaysNotRunIsTrue(t *testing.T) {
	each(t, func(t *testing.T, _ faultCase, o *outcome) {
		for _, x := range o.tries {
			switch x.Status {
			case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusPaymentRequired, http.StatusNotFound:
				require.Empty(t, o.runs[x.ID], "%s answered %d", x.ID, x.Status)
			}
		}
	})
}

func TestAlwaysAtMostOnce(t *testing.T) {
	each(t, func(t *testing.T, _ faultCase, o *outcome) {
		for id, runs := range o.runs {
			require.Len(t, runs, 1, "request %s", id)
		}
	})
}

func TestAlwaysBudgetHolds(t *testing.T) {
	each(t, func(t *testing.T, _ faultCase, o *outcome) {
		handed := map[string]int{}
		for _, x := range o.tries {
			handed[x.Program] += eventTokens * strings.Count(x.Answer, "data: ")
		}
		for program, tokens := range handed {
			limit := budget
			if strings.HasPrefix(program, "loop") {
				limit = loopBudget
			}
			require.LessOrEqual(t, tokens, limit+maxTokens, program)
		}
	})
}

func TestAlwaysLeavingTargetGetsNoNewWork(t *testing.T) {
	each(t, func(t *testing.T, _ faultCase, o *outcome) { assert.Empty(t, o.afterLeaving) })
}

func TestAlwaysConfigurationIsInForce(t *testing.T) {
	each(t, func(t *testing.T, _ faultCase, o *outcome) { assert.Empty(t, o.behind) })
}

func TestAlwaysPlannedWorkCutsNothing(t *testing.T) {
	each(t, func(t *testing.T, fc faultCase, o *outcome) {
		if !fc.planned {
			return
		}
		for _, x := range o.tries {
			require.False(t, x.Cut, "%+v", x)
			require.NotContains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, x.Status, "%+v", x)
		}
	})
}
