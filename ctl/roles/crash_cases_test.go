package roles

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pistachioarch/pistachioarch/ctl/standin"
)

// crashCase is a set of requests under which targets crash, with faults beside them.
type crashCase struct {
	name string
	// crashing is the number of these requests, and interval the time between two of them.
	crashing int
	interval time.Duration
	// ways are the ways in which the targets crash; none for standin.CrashAtOnce.
	ways []standin.CrashWay
	// delays are the times from the end of a request to the crash; none for crashDelays.
	delays []time.Duration
	// answersFirst is the number of times that a request is answered before targets crash under it.
	answersFirst int
	// outsidePrograms reports that the requests do not belong to programs.
	outsidePrograms bool
	// onceOnly reports that the requests must not run twice; their callers send them again nevertheless.
	onceOnly bool
	// loseEvery makes targets break the connection of every n-th run; 0 for none.
	loseEvery int
	// inject adds faults of hosts; nil for none.
	inject func(c *cluster, r *rand.Rand)
}

// lateWays are the ways of crashing in which the process ends after the request.
var lateWays = []standin.CrashWay{standin.CrashAfterBreak, standin.CrashAfterError, standin.CrashAfterUnsigned, standin.CrashAfterSilence}

// unclearWays are the ways that look like no run, or like leaving by plan.
var unclearWays = []standin.CrashWay{standin.CrashAfterRefusal, standin.CrashAfterLeaving}

// crashDelays are the times between the end of a request and the end of the process.
var crashDelays = []time.Duration{20 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond}

// killEntryHosts kills and restarts one entry host after the other.
func killEntryHosts(c *cluster, r *rand.Rand) {
	for range 20 {
		time.Sleep(time.Duration(100+r.IntN(400)) * time.Millisecond)
		e := c.killEntryHost(r.IntN(len(c.entryHosts)))
		c.startEntryHost(&entryHost{name: e.name, ip: e.ip})
	}
}

var crashCases = []crashCase{
	{name: "requests that crash targets", crashing: 15, interval: 400 * time.Millisecond},
	{name: "many requests that crash targets at once", crashing: 30},
	{name: "requests that crash targets, entry hosts killed", crashing: 15, interval: 400 * time.Millisecond, inject: killEntryHosts},
	{name: "requests that crash targets, history hosts killed", crashing: 15, interval: 400 * time.Millisecond, inject: func(c *cluster, r *rand.Rand) {
		for range 5 {
			time.Sleep(time.Duration(500+r.IntN(500)) * time.Millisecond)
			h := c.killHistoryHost(r.IntN(len(c.historyHosts)))
			time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
			c.restartHistoryHost(h)
		}
	}},
	{name: "requests that crash targets, entry hosts cut off from history hosts", crashing: 15, interval: 400 * time.Millisecond, inject: func(c *cluster, r *rand.Rand) {
		for range 8 {
			time.Sleep(time.Duration(200+r.IntN(400)) * time.Millisecond)
			e := c.entryHostAt(r.IntN(len(c.entryHosts)))
			c.setCutOff(e, true)
			time.Sleep(time.Duration(200+r.IntN(600)) * time.Millisecond)
			c.setCutOff(e, false)
		}
	}},
	{name: "targets that end after the request", crashing: 24, interval: 500 * time.Millisecond, ways: lateWays},
	{name: "targets that refuse the request and end", crashing: 24, interval: 500 * time.Millisecond, ways: unclearWays[:1]},
	{name: "targets that refuse the request and end at once", crashing: 24, interval: 500 * time.Millisecond, ways: unclearWays[:1], delays: crashDelays[:1]},
	{name: "targets that leave the list and end", crashing: 24, interval: 500 * time.Millisecond, ways: unclearWays[1:]},
	{name: "requests that may run once and crash targets", crashing: 15, interval: 400 * time.Millisecond, onceOnly: true},
	{name: "requests answered before, in programs", crashing: 24, interval: 400 * time.Millisecond, answersFirst: 1},
	{name: "requests answered before, outside of programs", crashing: 24, interval: 400 * time.Millisecond, answersFirst: 1, outsidePrograms: true},
	{name: "requests answered before, targets that end after the request", crashing: 24, interval: 500 * time.Millisecond, ways: lateWays, answersFirst: 3, outsidePrograms: true},
	{name: "targets that end after the request, entry hosts killed", crashing: 24, interval: 500 * time.Millisecond, ways: lateWays, inject: killEntryHosts},
}

// brokenConnectionsCase has no request that crashes targets.
var brokenConnectionsCase = crashCase{name: "broken connections, targets that leave by plan", loseEvery: 5, inject: replaceTargets}

// replaceTargets makes targets leave by plan and others come, one after the other. Every second one does not
// announce that it leaves.
func replaceTargets(c *cluster, r *rand.Rand) {
	leaving := map[string][]int{engineService: {0, 1, 2}, plainService: {0, 1, 2}}
	for n := range 24 {
		time.Sleep(400 * time.Millisecond)
		service := []string{engineService, plainService}[n%2]
		oldest := leaving[service][0]
		next := 10 + n
		c.startTarget(service, next)
		leaving[service] = append(leaving[service][1:], next)
		c.retireTarget(service, oldest, r.IntN(2) == 0)
	}
}

// crashBody returns the body of the n-th request under which targets crash.
func (cc *crashCase) crashBody(n int, r *rand.Rand) string {
	plan := standin.CrashPlan{AnswersFirst: cc.answersFirst}
	if len(cc.ways) > 0 {
		delays := cc.delays
		if len(delays) == 0 {
			delays = crashDelays
		}
		plan.Way, plan.Delay = cc.ways[n%len(cc.ways)], delays[r.IntN(len(delays))]
	}
	return fmt.Sprintf("%s%02d", plan.Body(crashMarker), n) + strings.Repeat("x", r.IntN(3))
}

// crashRequest returns the n-th request under which targets crash. Turns belong to programs.
func (cc *crashCase) crashRequest(n int, r *rand.Rand) *repeatedRequest {
	q := &repeatedRequest{program: fmt.Sprintf("c%d", n), path: repeatablePaths[n%len(repeatablePaths)], body: cc.crashBody(n, r)}
	if cc.onceOnly {
		q.path = "/order/"
	}
	if cc.outsidePrograms {
		q.program, q.path = "", sharedPaths[n%len(sharedPaths)]
	}
	return q
}
