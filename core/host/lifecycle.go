package host

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// expireEvery paces the look for idle and ended programs.
const expireEvery = 5 * time.Second

// createProgram makes a program in one of this member's slots; a sub-agent in
// the slot of its parent, so that both always have one owner and one budget.
func (h *Host) createProgram(ev *CreateProgram) {
	if id, ok := h.byKey[createKey{ev.Caller, ev.Key}]; ok && ev.Key != "" {
		h.replyWhenDurable(ev.Waiter, id)
		return
	}
	own, refused := h.placeProgram(ev)
	if refused != nil {
		h.refuse(ev.Waiter, refused)
		return
	}
	p := newProgram(ident.NewProgram(own.slot, h.programName()), own, h.now)
	m := &peerpb.ProgramCreated{
		Caller: ev.Caller, Service: ev.Service, Parent: string(ev.Parent), BudgetTokens: ev.Budget,
		DeadlineMs: ev.Deadline.Milliseconds(), Key: ev.Key,
	}
	p.created(m, h.now)
	p.firstSegment = h.log.writer.NextSegment()
	h.adopt(p)
	h.append(p, &peerpb.Record{Body: &peerpb.Record_Created{Created: m}})
	h.replyWhenDurable(ev.Waiter, p.id)
}

// replyWhenDurable confirms a request once all that was written is durable.
func (h *Host) replyWhenDurable(waiter uint64, id ident.Program) {
	h.whenDurable(h.log.writer.LastLSN(), nil, 0, func(*flight) {
		h.ready.Replies = append(h.ready.Replies, Reply{Waiter: waiter, Outcome: Outcome{Program: id}})
	})
}

// placeProgram checks a request for a program and chooses its slot.
func (h *Host) placeProgram(ev *CreateProgram) (*ownedSlot, *failure.Failure) {
	if ev.Budget <= 0 {
		return nil, failure.New(failure.BudgetExhausted, "a program needs a budget of at least one token")
	}
	set := h.set()
	switch {
	case set == nil:
		return nil, failure.Retry(failure.PlatformUnavailable, suspendedRetry, "no declaration is known yet")
	case set.Services[ev.Service] == nil:
		return nil, failure.New(failure.UnknownService, "no service %q", ev.Service)
	case len(h.programs) >= h.cfg.MaxPrograms, h.log.writer.PendingBytes() > h.cfg.MaxTailBytes:
		return nil, failure.Retry(failure.Overloaded, suspendedRetry, "this host takes no more programs now")
	}
	if ev.Parent != "" {
		return h.parentSlot(ev)
	}
	if h.draining || !h.mayServe() {
		return nil, failure.Retry(failure.Suspended, suspendedRetry, "this host takes no new programs now")
	}
	return h.anySlot()
}

func (h *Host) parentSlot(ev *CreateProgram) (*ownedSlot, *failure.Failure) {
	parent, refused := h.access(ev.Parent, ev.Caller)
	switch {
	case refused != nil:
		return nil, refused
	case parent.ended:
		return nil, failure.New(failure.ProgramEnded, "the parent has ended: %s", parent.reason)
	case parent.slot.state == slotMoving:
		return nil, failure.Retry(failure.Moving, movingRetry, "the parent moves to another host")
	}
	return parent.slot, nil
}

func (h *Host) anySlot() (*ownedSlot, *failure.Failure) {
	mine := h.mineIn(h.cfg.DataCentre)
	for range mine {
		h.slots.nextSlot++
		own := mine[h.slots.nextSlot%len(mine)]
		if own.state == slotServing {
			return own, nil
		}
	}
	return nil, failure.Retry(failure.Moving, movingRetry, "this host has no slot yet")
}

func (h *Host) fetchAnswer(ev *FetchAnswer) {
	p, refused := h.access(ev.Program, ev.Caller)
	if refused != nil {
		h.refuse(ev.Waiter, refused)
		return
	}
	switch known := p.find(ev.Sequence); {
	case known.turn != nil:
		h.ready.Replies = append(h.ready.Replies, Reply{Waiter: ev.Waiter, Outcome: known.turn.outcome(p.id)})
	case known.flight != nil:
		known.flight.waiters = append(known.flight.waiters, ev.Waiter)
	default:
		h.refuse(ev.Waiter, failure.New(failure.UnknownCall, "no call %d", ev.Sequence))
	}
}

func (h *Host) endProgram(ev *EndProgram) {
	p, refused := h.access(ev.Program, ev.Caller)
	switch {
	case refused != nil:
		h.refuse(ev.Waiter, refused)
		return
	case p.slot.state == slotMoving:
		h.refuse(ev.Waiter, failure.Retry(failure.Moving, movingRetry, "the program moves to another host"))
		return
	case p.ended:
		h.replyWhenDurable(ev.Waiter, p.id)
		return
	}
	h.end(p, "ended by caller")
	h.replyWhenDurable(ev.Waiter, p.id)
}

// end ends a program and its sub-agents, and frees their cache. A call under
// way still gets its answer; calls that wait behind it are refused.
func (h *Host) end(p *program, reason string) {
	if p.ended {
		return
	}
	p.ended, p.reason, p.endedAt = true, reason, h.now
	h.append(p, &peerpb.Record{Body: &peerpb.Record_Ended{Ended: &peerpb.ProgramEnded{Reason: reason}}})
	h.note(Note{Kind: NoteProgramEnded, Program: p.id, Epoch: p.slot.epoch, Detail: reason})
	if p.active == nil {
		h.releaseCache(p)
	}
	for _, q := range sortedPrograms(p.slot.programs) {
		if q.parent == p.id {
			h.end(q, "parent ended")
		}
	}
}

// expirePrograms ends programs that are idle too long and forgets ended ones.
func (h *Host) expirePrograms() {
	if h.now < h.paced.expire || h.set() == nil || !h.mayServe() {
		return
	}
	h.paced.expire = h.now + expireEvery
	for _, own := range h.allMine() {
		if own.state != slotServing {
			continue
		}
		for _, p := range sortedPrograms(own.programs) {
			h.expire(p)
		}
	}
}

func (h *Host) expire(p *program) {
	if p.corrupt || p.active != nil {
		return
	}
	if p.ended {
		if h.now-p.endedAt > h.cfg.Retention && len(p.holders) == 0 && h.programs[p.parent] == nil {
			h.forget(p)
		}
		return
	}
	svc := h.set().Services[p.service]
	switch {
	case p.deadline > 0 && h.now > p.deadline:
		h.end(p, "deadline")
	case svc != nil && h.now-p.usedAt > svc.IdleTimeout:
		h.end(p, "idle")
	}
}
