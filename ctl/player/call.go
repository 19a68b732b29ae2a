package player

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/dispatch"
	"github.com/pistachioarch/pistachioarch/core/request"
)

// call is one request to the plain service, as a host serves it.
type call struct {
	host       *host
	tool       *Tool
	workTime   time.Duration // at the usual speed of a target
	deadline   time.Duration // of the caller
	startedAt  time.Duration
	idempotent bool
	attempts   []*callAttempt
	tried      map[string]bool // IDs of targets
	onReply    func(outcome)
	finished   bool
}

// maxPlainAttempts bounds the targets tried for one call, hedges included.
const maxPlainAttempts = 2

// serve starts a call, which fails at its deadline.
func (c *call) serve() {
	sim := c.host.sim
	c.tried, c.startedAt = map[string]bool{}, sim.Now()
	sim.After(c.deadline-sim.Now(), func() { c.finish(outcome{}) })
	c.route()
}

func (c *call) finish(o outcome) {
	if !c.finished {
		c.finished = true
		c.onReply(o)
	}
}

func (c *call) route() {
	decision := c.decide()
	if decision.Action != dispatch.Send {
		c.finish(outcome{notRun: true, retryDelay: defaultRetryDelay})
		return
	}
	c.send(decision.Choice)
	c.scheduleHedge()
}

func (c *call) decide() dispatch.Decision {
	return c.host.dispatcher.Decide(dispatch.Request{
		Query: balance.Query{Service: plainService, WorkKind: c.tool.Name, Exclude: c.tried}, ProgramStarted: true, Draw: c.hashDraw(),
	}, c.host.sim.Now())
}

// send sends the call to the chosen target. A refusal leads to another target, unless another
// attempt is in flight.
func (c *call) send(choice balance.Choice) {
	h, sim := c.host, c.host.sim
	target := sim.plainTargets[choice.ID]
	choice.RecordSend(nil, sim.Now())
	sim.result.PlainSends.record(target.dataCentre == h.dataCentre)
	c.tried[choice.ID] = true
	delay := sim.linkDelay(h.dataCentre, target.dataCentre)
	sendDelay := delay + h.takeConnection(choice.ID, delay)
	sentAt := sim.Now()
	recordOutcome := func(outcome balance.Outcome) {
		if registryTarget, ok := h.registry.Target(choice.ID); ok {
			registryTarget.RecordOutcome(outcome, sim.Now())
		}
	}
	a := &callAttempt{target: target, delay: delay, recordOutcome: recordOutcome}
	c.attempts = append(c.attempts, a)
	a.job = &job{workTime: c.workTime, onDone: func(report request.Load) {
		sim.After(delay, func() {
			if !a.markClosed() {
				return
			}
			c.cancelOpenAttempts()
			if registryTarget, ok := h.registry.Target(choice.ID); ok {
				registryTarget.RecordLoadReport(report, sim.Now())
			}
			recordOutcome(balance.Served)
			h.registry.RecordDuration(choice.ID, c.tool.Name, sim.Now()-sentAt, sim.Now())
			h.releaseConnection(choice.ID)
			sim.result.recordCall(sim.Now() - c.startedAt)
			c.recordAnswer()
			c.finish(outcome{ok: true})
		})
	}}
	sim.After(sendDelay, func() {
		if sim.isPartitioned(h.dataCentre, target.dataCentre) {
			sim.After(unreachableTimeout, func() { a.markClosed(); recordOutcome(balance.Failed); c.finish(outcome{}) })
			return
		}
		if a.closed || target.submit(a.job) {
			return
		}
		sim.After(delay, func() {
			if !a.markClosed() {
				return
			}
			recordOutcome(balance.Refused)
			h.releaseConnection(choice.ID)
			if c.hasOpenAttempt() {
				return
			}
			if len(c.tried) >= maxPlainAttempts {
				c.finish(outcome{notRun: true, retryDelay: defaultRetryDelay})
				return
			}
			c.route()
		})
	})
}

// hashDraw derives a number in [0, 1) from the work time. It differs between calls and does not
// draw from the run's random source.
func (c *call) hashDraw() float64 {
	const prime = 1_000_003
	return float64(int64(c.workTime)%prime) / prime
}
