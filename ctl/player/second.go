package player

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/dispatch"
)

// callSend is one of the sends of a call to plain targets.
type callSend struct {
	to    *plain
	job   *job
	delay time.Duration
	done  func(balance.Outcome)
	over  bool
}

// end marks the send as ended; it reports false if it had ended before.
func (s *callSend) end() bool {
	was := s.over
	s.over = true
	return !was
}

// waits reports whether another send of the call is under way.
func (c *call) waits() bool {
	for _, s := range c.sends {
		if !s.over {
			return true
		}
	}
	return false
}

// dropOthers breaks off the sends that are under way once one was answered.
func (c *call) dropOthers() {
	for _, s := range c.sends {
		if s.end() {
			s.done(balance.Abandoned)
			c.h.w.After(s.delay, func() { s.to.cancel(s.job) })
		}
	}
}

// planSecond sends the call a second time once it has taken longer than most of its kind.
func (c *call) planSecond() {
	h, w := c.h, c.h.w
	if !w.policy.HedgeCalls || !c.idempotent || len(c.tried) >= plainAttempts {
		return
	}
	if d, ok := h.hedger.Delay(c.tool.Name); ok {
		w.After(d, c.second)
	}
}

func (c *call) second() {
	h := c.h
	if c.over || len(c.tried) >= plainAttempts || !c.waits() || !h.hedger.TakeToken(plainService) {
		return
	}
	if v := c.decide(); v.Action == dispatch.Send {
		h.w.result.SecondSends++
		c.launch(v.Choice)
	}
}

// answered notes the time of a call for second sends.
func (c *call) answered() {
	c.h.hedger.RecordAnswer(plainService, c.tool.Name, c.h.w.Now()-c.began)
}

// cancel drops a job whose sender has left.
func (p *plain) cancel(j *job) {
	if j.dropped || j.ended {
		return
	}
	j.dropped = true
	if j.started {
		p.running--
		p.start()
	}
}
