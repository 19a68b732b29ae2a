package host

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
	"github.com/pistachioarch/pistachioarch/core/sched"
)

// handleTargetDone processes the end of an attempt. A result that does not belong
// to the current attempt, such as a late answer of an earlier one, is dropped and
// counted. An answer with the id of another call is counted too, and the attempt
// is lost.
func (h *Host) handleTargetDone(ev *TargetDone) {
	p := h.programs[ev.Call.Program]
	if p == nil || p.activeCall == nil || p.activeCall.state != stateSent || p.activeCall.id() != ev.Call {
		h.stats.Duplicates++
		h.addNote(Note{Kind: NoteAnswerDuplicate, Program: ev.Call.Program, Call: ev.Call.Sequence, Target: ev.Target})
		return
	}
	c := p.activeCall
	if ev.Outcome == TargetAnswered && ev.Echo != "" && ev.Echo != ev.Call.ID() {
		h.stats.Crossed++
		h.addNote(Note{Kind: NoteAnswerCrossed, Program: p.id, Call: ev.Call.Sequence, Target: ev.Target})
		ev = &TargetDone{Call: ev.Call, Target: ev.Target, Outcome: TargetLost, Detail: "the answer carries the id of another call"}
	}
	healthy := ev.Outcome == TargetAnswered || ev.Outcome == TargetInvalid || ev.Outcome == TargetFenced
	h.sched.Done(h.now, c.target, healthy, h.now-c.sentAt)
	if ev.Outcome == TargetAnswered {
		h.recordAnswer(c, ev)
		return
	}
	h.handleAttemptFailure(c, ev.Outcome, ev.Detail)
}

// recordAnswer charges and records an answer; the callers get it once the record
// is durable.
func (h *Host) recordAnswer(c *call, ev *TargetDone) {
	p := c.program
	c.transition(eventAnswer)
	usedTokens := newTokens(c.accepted.PromptTokens, ev.Usage, p.historyTokens) + ev.Usage.Output
	if ev.Usage == (Usage{}) {
		usedTokens = c.attemptTokens() // the target reports no usage
	}
	if usedTokens > c.attemptTokens() {
		h.addNote(Note{Kind: NoteBudgetOverrun, Program: p.id, Call: c.accepted.Sequence, Target: c.target})
	}
	h.updateCacheEstimate(c, ev.Usage)
	h.recordOutcome(c, &peerpb.CallFinished{
		Sequence: c.accepted.Sequence, Answer: ev.Answer, Target: c.target,
		PromptTokens: ev.Usage.Prompt, OutputTokens: ev.Usage.Output, CachedTokens: ev.Usage.Cached,
		ChargedTokens: c.reservedTokens - c.attemptTokens() + usedTokens,
	})
	h.whenDurable(h.log.writer.LastLSN(), c, 0, h.closeCall)
}

// updateCacheEstimate sets the estimate of the program's cache at the target
// after an answer.
func (h *Host) updateCacheEstimate(c *call, u Usage) {
	p, tokens := c.program, u.Prompt+u.Output
	for i := range p.cacheTargets {
		cache := &p.cacheTargets[i]
		if cache.target == c.target {
			h.setCachedTokens(p, cache, tokens)
		}
	}
}

// recordOutcome records the outcome and settles the budget.
func (h *Host) recordOutcome(c *call, m *peerpb.CallFinished) {
	c.finished = m
	h.settleBudget(c.program, c.reservedTokens, m.ChargedTokens)
	c.reservedTokens = 0
	h.appendRecord(c.program, &peerpb.Record{Body: &peerpb.Record_Finished{Finished: m}})
}

// handleAttemptFailure retries or fails a call after a failed attempt. A
// non-idempotent call is retried only if the target has proved that it did not
// start.
func (h *Host) handleAttemptFailure(c *call, outcome TargetOutcome, detail string) {
	h.addNote(Note{Kind: NoteAttemptFailed, Program: c.program.id, Call: c.accepted.Sequence, Target: c.target, Epoch: c.program.slot.epoch, Detail: detail})
	if outcome == TargetFenced {
		h.readTable(h.cfg.DataCentre)
	}
	if outcome == TargetInvalid {
		h.failCall(c, failure.New(failure.TargetFailed, "target %s rejected the request: %s", c.target, detail))
		return
	}
	lost := outcome == TargetLost
	if lost {
		c.lostAttempts++
		if !c.accepted.Idempotent {
			h.failCall(c, failure.Unknown(failure.TargetFailed, "target %s: %s", c.target, detail))
			return
		}
	}
	if rejection := h.takeRetry(c, lost); rejection != nil {
		h.failCall(c, rejection)
		return
	}
	h.stats.Retries++
	c.transition(eventRetry)
	c.item.NotBefore = h.now + sched.Backoff(h.rng, int(c.lastAttempt))
	c.item.AvoidTarget = c.target
	h.enqueueCall(c, true)
}

// takeRetry takes a retry from the retry budget and, for a lost attempt,
// reserves the tokens of another attempt. It returns a failure if no retry is
// allowed.
func (h *Host) takeRetry(c *call, lost bool) *failure.Failure {
	budget := h.sched.RetryBudget(c.accepted.Service)
	switch {
	case int(c.lastAttempt) > c.directives.Retries:
		return failure.Retry(failure.TargetFailed, noTargetRetryDelay, "all %d attempts failed", c.lastAttempt)
	case budget == nil || !budget.TakeToken():
		return failure.Retry(failure.TargetFailed, noTargetRetryDelay, "the retry budget of %s is exhausted", c.accepted.Service)
	case lost && h.remainingBudget(c.program) < c.attemptTokens():
		return failure.New(failure.BudgetExhausted, "the budget does not allow another attempt")
	}
	if lost {
		h.reserveTokens(c.program, c.attemptTokens())
		c.reservedTokens += c.attemptTokens()
	}
	return nil
}

// failCall ends a call with a failure. "ran: no" is reported once its record is
// durable, so that no new owner runs the call; "ran: unknown" is reported at
// once.
func (h *Host) failCall(c *call, reason *failure.Failure) {
	if c.state == stateIntending {
		h.withdrawAttempt(c)
	}
	if c.lostAttempts > 0 && reason.Ran == failure.RanNo {
		unknown := *reason
		unknown.Ran = failure.RanUnknown
		reason = &unknown
	}
	if c.finished == nil && callChart.StateName(c.state) == "waiting" {
		c.transition(eventAdmit) // a recovered call that failed before it was queued
	}
	c.transition(eventFail)
	c.failure = reason
	chargedTokens := int64(c.lostAttempts) * c.attemptTokens()
	m := &peerpb.CallFinished{Sequence: c.accepted.Sequence, Target: c.target, ChargedTokens: min(chargedTokens, c.reservedTokens)}
	setFailure(m, reason)
	h.recordOutcome(c, m)
	if reason.Ran != failure.RanNo {
		h.closeCall(c)
		return
	}
	h.whenDurable(h.log.writer.LastLSN(), c, h.now+maxFailureWait, h.closeCall)
}

// closeCall reports the outcome to the waiters and starts the next call.
func (h *Host) closeCall(c *call) {
	p := c.program
	if p.activeCall != c {
		return
	}
	if c.finished != nil {
		c.transition(eventSettle)
	}
	p.activeCall = nil
	p.slot.activeCalls--
	p.usedAt = h.now
	delete(h.activePrograms, p)
	outcome := Outcome{Program: p.id, Failure: c.failure}
	consumed := false
	if c.finished != nil {
		t := finishedTurn(c.accepted, c.finished)
		consumed = t.consumesSequence() // decided from the record, as a new owner decides
		if consumed {
			p.addTurn(t)
		}
		outcome = t.outcome(p.id)
		outcome.Failure = c.failure
	}
	h.countOutcome(p, c)
	for _, w := range c.waiters {
		h.ready.Replies = append(h.ready.Replies, Reply{Waiter: w, Outcome: outcome})
	}
	if p.ended {
		h.releaseCache(p)
	}
	h.startNextCall(p, consumed)
}

// countOutcome counts an outcome and notes a failure.
func (h *Host) countOutcome(p *program, c *call) {
	switch {
	case c.failure == nil:
		h.stats.Answered++
		return
	case c.failure.Ran == failure.RanNo:
		h.stats.NotRun++
	default:
		h.stats.Unknown++
	}
	h.addNote(Note{Kind: NoteCallFailed, Program: p.id, Call: c.accepted.Sequence, Target: c.target, Epoch: p.slot.epoch, Detail: c.failure.Error()})
}

// startNextCall starts the next waiting call. It rejects all waiting calls if
// the program has ended or the previous call left no outcome to continue from.
func (h *Host) startNextCall(p *program, consumed bool) {
	waiting := p.pendingCalls
	if len(waiting) == 0 {
		return
	}
	if consumed && !p.ended {
		p.pendingCalls = waiting[1:]
		h.startCall(waiting[0])
		return
	}
	p.pendingCalls = nil
	for _, c := range waiting {
		for _, w := range c.waiters {
			h.reject(w, failure.New(failure.SequenceGap, "an earlier call of the program was not answered"))
		}
	}
}

// tickCalls ends attempts past their timeout and queued calls past their
// deadline.
func (h *Host) tickCalls() {
	for _, p := range h.sortedActivePrograms() {
		c := p.activeCall
		if c == nil {
			continue
		}
		switch {
		case c.state == stateSent && h.now >= c.timeoutAt:
			h.handleAttemptTimeout(c)
		case (c.state == stateQueued || c.state == stateIntending) && c.deadline > 0 && h.now >= c.deadline:
			h.sched.Remove(&c.item)
			h.failCall(c, failure.Retry(failure.DeadlineExceeded, max(overloadedRetryDelay, h.sched.ExpectedWait(c.accepted.Service)), "the deadline passed while the call was queued"))
		}
	}
	h.expirePrograms()
}

// handleAttemptTimeout cancels an attempt past its timeout and retries or fails
// the call.
func (h *Host) handleAttemptTimeout(c *call) {
	h.ready.Cancels = append(h.ready.Cancels, c.id())
	h.sched.Done(h.now, c.target, false, h.now-c.sentAt)
	if c.deadline > 0 && h.now >= c.deadline {
		c.lostAttempts++
		h.failCall(c, failure.Unknown(failure.DeadlineExceeded, "the deadline passed while the call was at target %s", c.target))
		return
	}
	h.handleAttemptFailure(c, TargetLost, "timeout after "+(h.now-c.sentAt).Round(time.Millisecond).String())
}
