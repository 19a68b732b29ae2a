package player

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/dispatch"
)

// callAttempt is one send of a call, the first or the hedge.
type callAttempt struct {
	target        *plainTarget
	job           *job
	delay         time.Duration // one way to the target
	recordOutcome func(balance.Outcome)
	closed        bool // its outcome is recorded
}

// markClosed closes the attempt and reports whether it was open.
func (a *callAttempt) markClosed() bool {
	wasClosed := a.closed
	a.closed = true
	return !wasClosed
}

// hasOpenAttempt reports whether an attempt of the call is in flight.
func (c *call) hasOpenAttempt() bool {
	for _, a := range c.attempts {
		if !a.closed {
			return true
		}
	}
	return false
}

// cancelOpenAttempts cancels the attempts still in flight after another one was answered.
func (c *call) cancelOpenAttempts() {
	for _, a := range c.attempts {
		if a.markClosed() {
			a.recordOutcome(balance.Abandoned)
			c.host.sim.After(a.delay, func() { a.target.cancel(a.job) })
		}
	}
}

// scheduleHedge schedules a second send of an idempotent call after the hedge delay of its kind,
// within which most calls are answered.
func (c *call) scheduleHedge() {
	h, sim := c.host, c.host.sim
	if !sim.policy.HedgeCalls || !c.idempotent || len(c.tried) >= maxPlainAttempts {
		return
	}
	if delay, ok := h.hedger.Delay(c.tool.Name); ok {
		sim.After(delay, c.sendHedge)
	}
}

// sendHedge sends the call a second time if it is still in flight and the hedge budget has
// a token.
func (c *call) sendHedge() {
	h := c.host
	if c.finished || len(c.tried) >= maxPlainAttempts || !c.hasOpenAttempt() || !h.hedger.TakeToken(plainService) {
		return
	}
	if decision := c.decide(); decision.Action == dispatch.Send {
		h.sim.result.SecondSends++
		c.send(decision.Choice)
	}
}

// recordAnswer records the duration of a call, from which hedge delays are derived.
func (c *call) recordAnswer() {
	c.host.hedger.RecordAnswer(plainService, c.tool.Name, c.host.sim.Now()-c.startedAt)
}
