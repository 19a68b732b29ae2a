package host

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
	"github.com/pistachioarch/pistachioarch/core/sched"
)

// targetDone takes the end of an attempt. Only the attempt under way counts:
// a late answer of an earlier one, or one that belongs to another call, is
// dropped and counted.
func (h *Host) targetDone(ev *TargetDone) {
	p := h.programs[ev.Call.Program]
	if p == nil || p.active == nil || p.active.state != stateSent || p.active.call() != ev.Call {
		h.stats.Duplicates++
		h.note(Note{Kind: NoteAnswerDuplicate, Program: ev.Call.Program, Call: ev.Call.Sequence, Target: ev.Target})
		return
	}
	f := p.active
	if ev.Outcome == TargetAnswered && ev.Echo != "" && ev.Echo != ev.Call.ID() {
		h.stats.Crossed++
		h.note(Note{Kind: NoteAnswerCrossed, Program: p.id, Call: ev.Call.Sequence, Target: ev.Target})
		ev = &TargetDone{Call: ev.Call, Target: ev.Target, Outcome: TargetLost, Detail: "the answer belongs to another call"}
	}
	healthy := ev.Outcome == TargetAnswered || ev.Outcome == TargetInvalid || ev.Outcome == TargetFenced
	h.sched.Done(h.now, f.target, healthy, h.now-f.sentAt)
	if ev.Outcome == TargetAnswered {
		h.answer(f, ev)
		return
	}
	h.attemptFailed(f, ev.Outcome, ev.Detail)
}

func (h *Host) answer(f *flight, ev *TargetDone) {
	p := f.p
	f.fire(eventAnswer)
	used := newTokens(f.accepted.PromptTokens, ev.Usage, p.history) + ev.Usage.Output
	if ev.Usage == (Usage{}) {
		used = f.attemptTokens() // the target does not say
	}
	if used > f.attemptTokens() {
		h.note(Note{Kind: NoteBudgetOverrun, Program: p.id, Call: f.accepted.Sequence, Target: f.target})
	}
	h.retain(f, ev.Usage)
	h.finish(f, &peerpb.CallFinished{
		Sequence: f.accepted.Sequence, Answer: ev.Answer, Target: f.target,
		PromptTokens: ev.Usage.Prompt, OutputTokens: ev.Usage.Output, CachedTokens: ev.Usage.Cached,
		ChargedTokens: f.reserved - f.attemptTokens() + used,
	})
	h.whenDurable(h.log.writer.LastLSN(), f, 0, h.close)
}

// retain updates the estimate of cache that the target keeps for the program.
func (h *Host) retain(f *flight, u Usage) {
	p, tokens := f.p, u.Prompt+u.Output
	for i := range p.holders {
		x := &p.holders[i]
		if x.target == f.target {
			h.setHeld(p, x, tokens)
		}
	}
}

// finish records the outcome and settles the budget.
func (h *Host) finish(f *flight, m *peerpb.CallFinished) {
	f.finished = m
	h.settle(f.p, f.reserved, m.ChargedTokens)
	f.reserved = 0
	h.append(f.p, &peerpb.Record{Body: &peerpb.Record_Finished{Finished: m}})
}

// attemptFailed retries a call or gives it up. A non-idempotent call is tried
// again only with the target's proof that it did not start.
func (h *Host) attemptFailed(f *flight, outcome TargetOutcome, detail string) {
	h.note(Note{Kind: NoteAttemptFailed, Program: f.p.id, Call: f.accepted.Sequence, Target: f.target, Epoch: f.p.slot.epoch, Detail: detail})
	if outcome == TargetFenced {
		h.readTable(h.cfg.DataCentre)
	}
	if outcome == TargetInvalid {
		h.fail(f, failure.New(failure.TargetFailed, "target %s refused the request: %s", f.target, detail))
		return
	}
	lost := outcome == TargetLost
	if lost {
		f.lostAttempts++
		if !f.accepted.Idempotent {
			h.fail(f, failure.Unknown(failure.TargetFailed, "target %s: %s", f.target, detail))
			return
		}
	}
	if refused := h.mayRetry(f, lost); refused != nil {
		h.fail(f, refused)
		return
	}
	h.stats.Retries++
	f.fire(eventRetry)
	f.item.NotBefore = h.now + sched.Backoff(h.rng, int(f.attempt))
	f.item.AvoidTarget = f.target
	h.enqueue(f, true)
}

// mayRetry spends a retry, and for a lost attempt reserves tokens once more.
func (h *Host) mayRetry(f *flight, lost bool) *failure.Failure {
	budget := h.sched.RetryBudget(f.accepted.Service)
	switch {
	case int(f.attempt) > f.then.Retries:
		return failure.Retry(failure.TargetFailed, noTargetRetry, "all %d attempts failed", f.attempt)
	case budget == nil || !budget.TakeToken():
		return failure.Retry(failure.TargetFailed, noTargetRetry, "the retry budget of %s is spent", f.accepted.Service)
	case lost && h.left(f.p) < f.attemptTokens():
		return failure.New(failure.BudgetExhausted, "the budget does not allow another attempt")
	}
	if lost {
		h.reserve(f.p, f.attemptTokens())
		f.reserved += f.attemptTokens()
	}
	return nil
}

// fail gives the call up. "ran: no" is told once its record is durable, so that
// no new owner can run the call; "ran: unknown" is told at once.
func (h *Host) fail(f *flight, why *failure.Failure) {
	if f.state == stateIntending {
		h.withdraw(f)
	}
	if f.lostAttempts > 0 && why.Ran == failure.RanNo {
		g := *why
		g.Ran = failure.RanUnknown
		why = &g
	}
	if f.finished == nil && callChart.StateName(f.state) == "waiting" {
		f.fire(eventAdmit) // recovered, and given up before it was queued
	}
	f.fire(eventFail)
	f.failure = why
	charged := int64(f.lostAttempts) * f.attemptTokens()
	m := &peerpb.CallFinished{Sequence: f.accepted.Sequence, Target: f.target, ChargedTokens: min(charged, f.reserved)}
	setFailure(m, why)
	h.finish(f, m)
	if why.Ran != failure.RanNo {
		h.close(f)
		return
	}
	h.whenDurable(h.log.writer.LastLSN(), f, h.now+failureWait, h.close)
}

// close tells the waiters the outcome and lets the next call begin.
func (h *Host) close(f *flight) {
	p := f.p
	if p.active != f {
		return
	}
	if f.finished != nil {
		f.fire(eventSettle)
	}
	p.active = nil
	p.slot.busy--
	p.usedAt = h.now
	delete(h.active, p)
	out := Outcome{Program: p.id, Failure: f.failure}
	consumed := false
	if f.finished != nil {
		t := finishedTurn(f.accepted, f.finished)
		consumed = t.consumes() // as the record says, and a new owner will see
		if consumed {
			p.addTurn(t)
		}
		out = t.outcome(p.id)
		out.Failure = f.failure
	}
	h.count(p, f)
	for _, w := range f.waiters {
		h.ready.Replies = append(h.ready.Replies, Reply{Waiter: w, Outcome: out})
	}
	if p.ended {
		h.releaseCache(p)
	}
	h.next(p, consumed)
}

func (h *Host) count(p *program, f *flight) {
	switch {
	case f.failure == nil:
		h.stats.Answered++
		return
	case f.failure.Ran == failure.RanNo:
		h.stats.NotRun++
	default:
		h.stats.Unknown++
	}
	h.note(Note{Kind: NoteCallFailed, Program: p.id, Call: f.accepted.Sequence, Target: f.target, Epoch: p.slot.epoch, Detail: f.failure.Error()})
}

// next begins the pipelined call that follows, or refuses all that wait when
// the one before them left no outcome to build on.
func (h *Host) next(p *program, consumed bool) {
	waiting := p.pending
	if len(waiting) == 0 {
		return
	}
	if consumed && !p.ended {
		p.pending = waiting[1:]
		h.begin(waiting[0])
		return
	}
	p.pending = nil
	for _, f := range waiting {
		for _, w := range f.waiters {
			h.refuse(w, failure.New(failure.SequenceGap, "an earlier call of the program was not answered"))
		}
	}
}

// tickCalls ends what took too long.
func (h *Host) tickCalls() {
	for _, p := range h.sortedActive() {
		f := p.active
		if f == nil {
			continue
		}
		switch {
		case f.state == stateSent && h.now >= f.until:
			h.attemptTimedOut(f)
		case (f.state == stateQueued || f.state == stateIntending) && f.deadline > 0 && h.now >= f.deadline:
			h.sched.Remove(&f.item)
			h.fail(f, failure.Retry(failure.DeadlineExceeded, max(overloadedRetry, h.sched.ExpectedWait(f.accepted.Service)), "the deadline passed in the queue"))
		}
	}
	h.expirePrograms()
}

func (h *Host) attemptTimedOut(f *flight) {
	h.ready.Cancels = append(h.ready.Cancels, f.call())
	h.sched.Done(h.now, f.target, false, h.now-f.sentAt)
	if f.deadline > 0 && h.now >= f.deadline {
		f.lostAttempts++
		h.fail(f, failure.Unknown(failure.DeadlineExceeded, "the deadline passed while the call ran at %s", f.target))
		return
	}
	h.attemptFailed(f, TargetLost, "timeout after "+(h.now-f.sentAt).Round(time.Millisecond).String())
}
