// Package roles checks the invariants of a system of entry and history hosts. Every test checks
// the outcomes of one table of fault cases; each case runs the real code of four entry and four
// history hosts once, in virtual time. The tests examine the requests that targets ran and the
// answers that callers received.
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
	programCount    = 12
	turnsPerProgram = 8
	loopingPrograms = 3
	// maxDrainDelay is the time for which a draining target may still get requests.
	maxDrainDelay = 2 * time.Second
	// maxConfigDelay is the time within which all entry hosts must apply a configuration.
	maxConfigDelay = 2 * time.Second
)

// outcome is the result of one fault case.
type outcome struct {
	attempts         []attempt
	failures         []string
	finishedPrograms int
	// runs are the executions at engines and plain targets, by request ID.
	runs map[string][]standin.Run
	// runsAfterDrain are the requests that the draining target ran after maxDrainDelay.
	runsAfterDrain []standin.Run
	// staleEntryHosts are the entry hosts that did not serve the newest route in time, with
	// the status they returned.
	staleEntryHosts []string
}

var (
	runOnce  sync.Once
	outcomes = map[string]*outcome{}
	// relayOutcomes are the outcomes of relayCases.
	relayOutcomes   = map[string]*relayOutcome{}
	partitionResult *partitionOutcome
	versionsResult  *versionsOutcome
	// crashOutcomes are the outcomes of crashCases.
	crashOutcomes = map[string]*crashOutcome{}
	// outdatedListOutcomes are the outcomes of outdatedListCases.
	outdatedListOutcomes = map[string]*versionsOutcome{}
	// sharedOutcomes are the outcomes of sharedCases.
	sharedOutcomes = map[string]*crashOutcome{}
	// branchOutcomes are the outcomes of runBranches, by cluster and seed.
	branchOutcomes = map[string]*branchOutcome{}
	// releaseOutcomes are the outcomes of releaseCases, by case and seed.
	releaseOutcomes = map[string]*versionsOutcome{}
	// keyRemovals, quotaOutcomes and evacuationOutcomes are the outcomes of customerFaults.
	keyRemovals, quotaOutcomes = map[string]*customerOutcome{}, map[string]*customerOutcome{}
	evacuationOutcomes         = map[string]*evacuationOutcome{}
	// membersWithoutSlots are the history hosts of a large cluster that got no slots.
	membersWithoutSlots []string
	// largeStart is the outcome of starting many history hosts together.
	largeStart largeStartOutcome
	// outageAttempt is a turn sent to an entry host that started during a platform outage.
	outageAttempt attempt
	// selectedCase is the value of ROLES_CASE; if it is set, only the cases of this name run.
	selectedCase = os.Getenv("ROLES_CASE")
)

func allCases() []faultCase { return slices.Concat(faultCases, fiveReplicaCases) }

// runAllCases runs every case, once for all tests. The cases share one synctest bubble, as
// yamux keeps timers in a process-wide pool and timers of one bubble are unusable in another.
func runAllCases(t *testing.T) {
	runOnce.Do(func() {
		synctest.Test(t, func(t *testing.T) {
			// Watches that wait at a relay end by themselves after history.MapWatchTimeout.
			defer time.Sleep(history.MapWatchTimeout)
			for _, fc := range allCases() {
				if selectedCase == "" || selectedCase == fc.name {
					outcomes[fc.name] = runFaultCase(t, fc)
				}
			}
			for _, rc := range relayCases {
				if selectedCase == "" || selectedCase == rc.name {
					relayOutcomes[rc.name] = runRelayCase(t, rc.inject)
				}
			}
			for _, f := range customerFaults {
				if selectedCase == "" || selectedCase == f.name {
					keyRemovals[f.name] = runKeyRemoval(t, f)
					quotaOutcomes[f.name] = runQuotaCase(t, f)
					evacuationOutcomes[f.name] = runEvacuation(t, f)
				}
			}
			for _, cc := range append([]crashCase{brokenConnectionsCase}, crashCases...) {
				if selectedCase == "" || selectedCase == cc.name {
					crashOutcomes[cc.name] = runCrashCase(t, cc, rolesSeed)
				}
			}
			for _, sc := range sharedCases {
				if selectedCase == "" || selectedCase == sc.name {
					sharedOutcomes[sc.name] = runSharedCase(t, sc, rolesSeed)
				}
			}
			for seed := rolesSeed; seed < rolesSeed+branchSeeds; seed++ {
				if selectedCase == "" || selectedCase == branchCase {
					branchOutcomes[fmt.Sprintf("three replicas, seed %d", seed)] = runBranches(newCluster(t), seed)
					branchOutcomes[fmt.Sprintf("five replicas, seed %d", seed)] = runBranches(emptyCluster(t).startFiveReplicas(), seed)
				}
			}
			for _, rc := range releaseCases {
				if selectedCase == "" || selectedCase == rc.name {
					runReleaseCase(t, rc)
				}
			}
			for _, oc := range outdatedListCases {
				if selectedCase == "" || selectedCase == oc.name {
					outdatedListOutcomes[oc.name] = runOutdatedList(t, oc)
				}
			}
			if selectedCase == "" {
				membersWithoutSlots = findMembersWithoutSlots(t)
				largeStart = startManyHistoryHosts(t)
				outageAttempt = sendTurnDuringOutage(t)
				partitionResult = runPartition(t)
				versionsResult = runStreamsOverVersions(t, 1)
			}
		})
	})
	require.NotZero(t, len(outcomes)+len(relayOutcomes)+len(keyRemovals)+len(crashOutcomes)+len(outdatedListOutcomes)+len(sharedOutcomes)+len(branchOutcomes)+len(releaseOutcomes))
}

func runFaultCase(t *testing.T, fc faultCase) *outcome {
	create := newCluster
	if fc.crowded {
		create = newCrowdedCluster
	}
	if fc.fiveReplicas {
		create = func(t *testing.T) *cluster { return emptyCluster(t).startFiveReplicas() }
	}
	c := create(t)
	defer c.close()
	k := newCaller(c)
	defer k.client.CloseIdleConnections()
	var work sync.WaitGroup
	stopTurns := make(chan struct{})
	for n := range programCount {
		work.Go(func() { k.runProgram(n, turnsPerProgram, stopTurns) })
	}
	time.Sleep(500 * time.Millisecond)
	for n := range loopingPrograms {
		work.Go(func() { k.runLoopingProgram(n) })
	}
	fc.inject(c)
	close(stopTurns)
	work.Wait()
	o := &outcome{runs: map[string][]standin.Run{}}
	// After the fault, drain a target and change the configuration.
	c.putTarget(c.engines[2].ID, engineService, "10.3.7.2", 2, true)
	drainedAt := time.Now()
	version := c.configure(8 * time.Second)
	stopLaterTurns := make(chan struct{})
	for n := range programCount / 2 {
		work.Go(func() { k.runProgram(100+n, 3, stopLaterTurns) })
	}
	o.staleEntryHosts = c.staleEntryHosts(k, version)
	time.Sleep(maxDrainDelay)
	close(stopLaterTurns)
	work.Wait()
	for _, e := range append(append([]*standin.TurnEngine(nil), c.engines...), c.plainTargets...) {
		for _, r := range e.Runs() {
			o.runs[r.ID] = append(o.runs[r.ID], r)
			if e == c.engines[2] && r.At.Sub(drainedAt) > maxDrainDelay {
				o.runsAfterDrain = append(o.runsAfterDrain, r)
			}
		}
	}
	o.attempts, o.failures, o.finishedPrograms = k.attempts, k.failures, k.finishedPrograms
	return o
}

// forEachCase runs check on the outcome of every fault case.
func forEachCase(t *testing.T, check func(t *testing.T, fc faultCase, o *outcome)) {
	runAllCases(t)
	for _, fc := range allCases() {
		if o := outcomes[fc.name]; o != nil {
			t.Run(fc.name, func(t *testing.T) { check(t, fc, o) })
		}
	}
}

// completeTurns returns the turns with a complete answer, by request ID.
func (o *outcome) completeTurns() map[string]attempt {
	list := map[string]attempt{}
	for _, a := range o.attempts {
		if a.Path == "/turn/" && a.Status == http.StatusOK && a.Complete {
			list[a.ID] = a
		}
	}
	return list
}

func TestEveryProgramCompletes(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) {
		assert.Empty(t, o.failures)
		assert.Equal(t, programCount+programCount/2+loopingPrograms, o.finishedPrograms)
	})
}

// A turn's prompt must consist of the program's earlier turns, in order, and nothing else.
func TestAlwaysHistoryIsCompleteAndInOrder(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) {
		for id, a := range o.completeTurns() {
			run := o.runs[id][0]
			require.True(t, strings.HasSuffix(run.Body, a.Body))
			parts := strings.SplitAfter(strings.TrimSuffix(run.Body, a.Body), ";")
			for i, part := range parts[:len(parts)-1] {
				// Each part is the output of the turn before, followed by an earlier input.
				_, input, _ := strings.Cut(part, "\n"+a.Program)
				if i == 0 {
					input = strings.TrimPrefix(part, a.Program)
				} else if newline := strings.LastIndex(part, "\n"); newline >= 0 {
					input = strings.TrimPrefix(part[newline+1:], a.Program)
				}
				require.Equal(t, fmt.Sprintf("-in%d;", i), input, "request %s: %q", id, run.Body)
			}
		}
	})
}

func TestAlwaysCompleteAnswerReachesItsCaller(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) {
		for id, a := range o.completeTurns() {
			want := ""
			for i := 1; i <= 5; i++ {
				want += fmt.Sprintf("id: %d\ndata: %s.%d\n\n", i, id, i)
			}
			require.Equal(t, want, a.Answer)
		}
	})
}

func TestAlwaysNotRunStatusMeansRequestDidNotRun(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) {
		for _, a := range o.attempts {
			switch a.Status {
			case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusPaymentRequired, http.StatusNotFound:
				require.Empty(t, o.runs[a.ID], "%s answered %d", a.ID, a.Status)
			}
		}
	})
}

func TestAlwaysAtMostOnce(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) {
		for id, runs := range o.runs {
			require.Len(t, runs, 1, "request %s", id)
		}
	})
}

func TestAlwaysBudgetHolds(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) {
		receivedTokens := map[string]int{}
		for _, a := range o.attempts {
			receivedTokens[a.Program] += eventTokens * strings.Count(a.Answer, "data: ")
		}
		for program, tokens := range receivedTokens {
			limit := budget
			if strings.HasPrefix(program, "loop") {
				limit = loopBudget
			}
			require.LessOrEqual(t, tokens, limit+maxTokens, program)
		}
	})
}

func TestAlwaysDrainingTargetGetsNoNewRequests(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) { assert.Empty(t, o.runsAfterDrain) })
}

func TestAlwaysConfigurationIsAppliedInTime(t *testing.T) {
	forEachCase(t, func(t *testing.T, _ faultCase, o *outcome) { assert.Empty(t, o.staleEntryHosts) })
}

func TestAlwaysPlannedWorkInterruptsNoRequest(t *testing.T) {
	forEachCase(t, func(t *testing.T, fc faultCase, o *outcome) {
		if !fc.planned {
			return
		}
		for _, a := range o.attempts {
			require.False(t, a.Interrupted, "%+v", a)
			require.NotContains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, a.Status, "%+v", a)
		}
	})
}
