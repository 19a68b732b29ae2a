package host

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// expireInterval is the time between two searches for idle and ended programs.
const expireInterval = 5 * time.Second

// handleCreateProgram creates a program in one of this member's slots. A
// sub-agent is created in the slot of its parent, so that both always have the
// same owner and share one budget.
func (h *Host) handleCreateProgram(ev *CreateProgram) {
	if id, ok := h.programsByKey[createKey{ev.Caller, ev.Key}]; ok && ev.Key != "" {
		h.replyWhenDurable(ev.Waiter, id)
		return
	}
	own, rejection := h.selectSlot(ev)
	if rejection != nil {
		h.reject(ev.Waiter, rejection)
		return
	}
	p := newProgram(ident.NewProgram(own.slot, h.newProgramName()), own, h.now)
	m := &peerpb.ProgramCreated{
		Caller: ev.Caller, Service: ev.Service, Parent: string(ev.Parent), BudgetTokens: ev.Budget,
		DeadlineMs: ev.Deadline.Milliseconds(), Key: ev.Key,
	}
	p.setCreated(m, h.now)
	p.firstSegment = h.log.writer.NextSegment()
	h.addProgram(p)
	h.appendRecord(p, &peerpb.Record{Body: &peerpb.Record_Created{Created: m}})
	h.replyWhenDurable(ev.Waiter, p.id)
}

// replyWhenDurable confirms a request once all records written so far are
// durable.
func (h *Host) replyWhenDurable(waiter uint64, id ident.Program) {
	h.whenDurable(h.log.writer.LastLSN(), nil, 0, func(*call) {
		h.ready.Replies = append(h.ready.Replies, Reply{Waiter: waiter, Outcome: Outcome{Program: id}})
	})
}

// selectSlot checks a request for a program and selects its slot.
func (h *Host) selectSlot(ev *CreateProgram) (*ownedSlot, *failure.Failure) {
	if ev.Budget <= 0 {
		return nil, failure.New(failure.BudgetExhausted, "the budget of a program must be at least one token")
	}
	set := h.declared()
	switch {
	case set == nil:
		return nil, failure.Retry(failure.PlatformUnavailable, suspendedRetryDelay, "this host has not read a declaration yet")
	case set.Services[ev.Service] == nil:
		return nil, failure.New(failure.UnknownService, "no service %q", ev.Service)
	case len(h.programs) >= h.cfg.MaxPrograms, h.log.writer.PendingBytes() > h.cfg.MaxTailBytes:
		return nil, failure.Retry(failure.Overloaded, suspendedRetryDelay, "this host has reached its limit of programs or of unwritten journal records")
	}
	if ev.Parent != "" {
		return h.parentSlot(ev)
	}
	if h.draining || !h.mayServe() {
		return nil, failure.Retry(failure.Suspended, suspendedRetryDelay, "this host is draining or cannot confirm that it still owns its slots")
	}
	return h.nextServingSlot()
}

// parentSlot returns the slot of the parent of a requested sub-agent.
func (h *Host) parentSlot(ev *CreateProgram) (*ownedSlot, *failure.Failure) {
	parent, rejection := h.access(ev.Parent, ev.Caller)
	switch {
	case rejection != nil:
		return nil, rejection
	case parent.ended:
		return nil, failure.New(failure.ProgramEnded, "the parent program has ended: %s", parent.endReason)
	case parent.slot.state == slotMoving:
		return nil, failure.Retry(failure.Moving, movingRetryDelay, "the parent program is moving to another host")
	}
	return parent.slot, nil
}

// nextServingSlot returns the next serving slot of this data centre, in rotation.
func (h *Host) nextServingSlot() (*ownedSlot, *failure.Failure) {
	owned := h.ownedSlotsIn(h.cfg.DataCentre)
	for range owned {
		h.slots.createCounter++
		own := owned[h.slots.createCounter%len(owned)]
		if own.state == slotServing {
			return own, nil
		}
	}
	return nil, failure.Retry(failure.Moving, movingRetryDelay, "this host has no serving slot")
}

func (h *Host) handleFetchAnswer(ev *FetchAnswer) {
	p, rejection := h.access(ev.Program, ev.Caller)
	if rejection != nil {
		h.reject(ev.Waiter, rejection)
		return
	}
	switch known := p.findCall(ev.Sequence); {
	case known.finished != nil:
		h.ready.Replies = append(h.ready.Replies, Reply{Waiter: ev.Waiter, Outcome: known.finished.outcome(p.id)})
	case known.unfinished != nil:
		known.unfinished.waiters = append(known.unfinished.waiters, ev.Waiter)
	default:
		h.reject(ev.Waiter, failure.New(failure.UnknownCall, "the program has no call %d", ev.Sequence))
	}
}

func (h *Host) handleEndProgram(ev *EndProgram) {
	p, rejection := h.access(ev.Program, ev.Caller)
	switch {
	case rejection != nil:
		h.reject(ev.Waiter, rejection)
		return
	case p.slot.state == slotMoving:
		h.reject(ev.Waiter, failure.Retry(failure.Moving, movingRetryDelay, "the program is moving to another host"))
		return
	case p.ended:
		h.replyWhenDurable(ev.Waiter, p.id)
		return
	}
	h.endProgram(p, "ended by caller")
	h.replyWhenDurable(ev.Waiter, p.id)
}

// endProgram ends a program and its sub-agents and releases their cache. An
// active call still gets its answer; the calls that wait behind it are rejected.
func (h *Host) endProgram(p *program, reason string) {
	if p.ended {
		return
	}
	p.ended, p.endReason, p.endedAt = true, reason, h.now
	h.appendRecord(p, &peerpb.Record{Body: &peerpb.Record_Ended{Ended: &peerpb.ProgramEnded{Reason: reason}}})
	h.addNote(Note{Kind: NoteProgramEnded, Program: p.id, Epoch: p.slot.epoch, Detail: reason})
	if p.activeCall == nil {
		h.releaseCache(p)
	}
	for _, child := range sortedPrograms(p.slot.programs) {
		if child.parent == p.id {
			h.endProgram(child, "parent ended")
		}
	}
}

// expirePrograms ends programs past their deadline or idle timeout and removes
// ended ones after the retention period.
func (h *Host) expirePrograms() {
	if h.now < h.nextRun.expireAt || h.declared() == nil || !h.mayServe() {
		return
	}
	h.nextRun.expireAt = h.now + expireInterval
	for _, own := range h.ownedSlots() {
		if own.state != slotServing {
			continue
		}
		for _, p := range sortedPrograms(own.programs) {
			h.expireProgram(p)
		}
	}
}

// expireProgram ends or removes one program. An ended program stays until every
// target has confirmed the release of its cache and its parent has been removed.
func (h *Host) expireProgram(p *program) {
	if p.corrupt || p.activeCall != nil {
		return
	}
	if p.ended {
		if h.now-p.endedAt > h.cfg.Retention && len(p.cacheTargets) == 0 && h.programs[p.parent] == nil {
			h.removeProgram(p)
		}
		return
	}
	svc := h.declared().Services[p.service]
	switch {
	case p.deadline > 0 && h.now > p.deadline:
		h.endProgram(p, "deadline")
	case svc != nil && h.now-p.usedAt > svc.IdleTimeout:
		h.endProgram(p, "idle")
	}
}
