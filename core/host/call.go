package host

import (
	_ "embed" // for the state chart
	"encoding/binary"
	"time"

	"github.com/pistachioarch/pistachioarch/core/chart"
	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
	"github.com/pistachioarch/pistachioarch/core/sched"
)

//go:embed call.chart
var callChartText string

var (
	callChart = chart.MustParse("call.chart", callChartText)

	stateQueued    = callChart.State("queued")
	stateIntending = callChart.State("intending")
	stateSent      = callChart.State("sent")

	eventAdmit    = callChart.Event("admit")
	eventRefuse   = callChart.Event("refuse")
	eventSend     = callChart.Event("send")
	eventIntend   = callChart.Event("intend")
	eventDurable  = callChart.Event("durable")
	eventWithdraw = callChart.Event("withdraw")
	eventRetry    = callChart.Event("retry")
	eventAnswer   = callChart.Event("answer")
	eventFail     = callChart.Event("fail")
	eventSettle   = callChart.Event("settle")
)

// Limits on calls.
const (
	maxPending      = 8 // pipelined calls of one program
	overloadedRetry = 500 * time.Millisecond
	movingRetry     = 50 * time.Millisecond
	noTargetRetry   = time.Second
	suspendedRetry  = 2 * time.Second
)

// flight is a call that has no lasting outcome yet.
type flight struct {
	p        *program
	accepted *peerpb.CallAccepted
	state    chart.State
	waiters  []uint64
	arrived  time.Duration
	deadline time.Duration // 0 = none
	then     decl.Then
	item     sched.Item

	attempt      uint32 // number of the last attempt, from 1
	lostAttempts int    // attempts that may have run without an answer
	target       string
	sentAt       time.Duration
	until        time.Duration // end of the attempt
	// reserved is what is kept of the budget for this call: one attempt and
	// every lost one.
	reserved int64

	finished *peerpb.CallFinished
	failure  *failure.Failure
}

func newFlight(p *program, a *peerpb.CallAccepted, now time.Duration) *flight {
	return &flight{p: p, accepted: a, state: callChart.Initial(), arrived: now}
}

// attemptTokens is the most that one attempt can use.
func (f *flight) attemptTokens() int64 { return f.accepted.PromptTokens + f.accepted.MaxTokens }

// fire moves the call along its chart; a step that the chart does not have is
// a fault in this package.
func (f *flight) fire(ev chart.Event) {
	next, ok := callChart.Next(f.state, ev)
	if !ok {
		panic(failure.New(failure.Internal, "call in state %s cannot take event %d", callChart.StateName(f.state), ev))
	}
	f.state = next
}

func bodyHash(ev *SubmitCall) uint64 {
	b := make([]byte, 0, len(ev.Prompt)+len(ev.Service)+16)
	b = append(b, ev.Prompt...)
	b = append(b, 0)
	b = append(b, ev.Service...)
	b = binary.BigEndian.AppendUint64(b, uint64(ev.MaxTokens))
	if ev.Idempotent {
		b = append(b, 1)
	}
	return ident.Hash(b)
}

// access finds a program for its caller. Another caller is told what it would
// be told of a program that does not exist.
func (h *Host) access(id ident.Program, caller string) (*program, *failure.Failure) {
	slot, err := id.Slot()
	if err != nil {
		return nil, failure.From(err)
	}
	own := h.slots.mine[slot]
	switch {
	case own == nil:
		return nil, failure.Retry(failure.NotOwner, movingRetry, "slot %s is not owned here", slot)
	case own.state == slotLoading:
		return nil, failure.Retry(failure.Moving, movingRetry, "slot %s is being recovered", slot)
	case !h.mayServe():
		return nil, failure.Retry(failure.Suspended, suspendedRetry, "this host cannot tell whether it still owns the program")
	}
	p := h.programs[id]
	if p == nil && own.damaged {
		return nil, failure.Unknown(failure.Corrupt, "part of the journal that may have held the program is damaged")
	}
	if p == nil || p.caller != caller {
		return nil, failure.New(failure.UnknownProgram, "no program %s", id)
	}
	if p.corrupt {
		return nil, failure.Unknown(failure.Corrupt, "part of the program's journal is damaged")
	}
	return p, nil
}

func (h *Host) submitCall(ev *SubmitCall) {
	p, refused := h.access(ev.Program, ev.Caller)
	if refused != nil {
		h.refuse(ev.Waiter, refused)
		return
	}
	hash := bodyHash(ev)
	if known := p.find(ev.Sequence); known.accepted != nil {
		h.repeat(ev, p, known, hash)
		return
	}
	f, refused := h.accept(ev, p, hash)
	if refused != nil {
		h.refuse(ev.Waiter, refused)
		return
	}
	if p.active != nil {
		p.pending = append(p.pending, f)
		return
	}
	h.begin(f)
}

// knownCall is a call of a program by its sequence: a turn or a flight.
type knownCall struct {
	accepted *peerpb.CallAccepted
	turn     *turn
	flight   *flight
}

func (p *program) find(sequence uint32) knownCall {
	n := uint32(len(p.turns))
	if sequence < n {
		t := p.turns[sequence]
		return knownCall{accepted: t.accepted, turn: t}
	}
	if p.active != nil && sequence == n {
		return knownCall{accepted: p.active.accepted, flight: p.active}
	}
	for _, f := range p.pending {
		if f.accepted.Sequence == sequence {
			return knownCall{accepted: f.accepted, flight: f}
		}
	}
	return knownCall{}
}

// repeat answers a call that was submitted before: the same body is the same
// call and is not executed again.
func (h *Host) repeat(ev *SubmitCall, p *program, known knownCall, hash uint64) {
	switch {
	case known.accepted.BodyHash != hash:
		h.refuse(ev.Waiter, failure.New(failure.BodyChanged, "call %d was submitted with another body", ev.Sequence))
	case known.turn != nil:
		h.ready.Replies = append(h.ready.Replies, Reply{Waiter: ev.Waiter, Outcome: known.turn.outcome(p.id)})
	default:
		known.flight.waiters = append(known.flight.waiters, ev.Waiter)
	}
}

// accept checks what can be checked before the call's turn comes.
func (h *Host) accept(ev *SubmitCall, p *program, hash uint64) (*flight, *failure.Failure) {
	next := p.nextSequence()
	switch {
	case p.ended:
		return nil, failure.New(failure.ProgramEnded, "program has ended: %s", p.reason)
	case ev.Sequence != next:
		return nil, failure.New(failure.SequenceGap, "the next call is %d, not %d", next, ev.Sequence)
	case p.slot.state == slotMoving:
		return nil, failure.Retry(failure.Moving, movingRetry, "the program moves to another host")
	case len(p.pending) >= maxPending:
		return nil, failure.Retry(failure.Overloaded, overloadedRetry, "more than %d calls of the program wait", maxPending)
	case h.log.writer.PendingBytes() > h.cfg.MaxTailBytes:
		return nil, failure.Retry(failure.Overloaded, suspendedRetry, "the journal waits for the platform")
	}
	f := newFlight(p, &peerpb.CallAccepted{
		Sequence: ev.Sequence, Service: ev.Service, BodyHash: hash, Idempotent: ev.Idempotent,
		PromptTokens: ev.PromptTokens, MaxTokens: ev.MaxTokens, Prompt: ev.Prompt,
	}, h.now)
	if ev.Deadline > 0 {
		f.deadline = h.now + ev.Deadline
	}
	f.waiters = append(f.waiters, ev.Waiter)
	return f, nil
}

// begin takes a call whose turn has come: rules, limits, budget, queue.
func (h *Host) begin(f *flight) {
	p := f.p
	p.active = f
	p.slot.busy++
	if p.begun == 0 {
		p.begun = f.arrived
	} else if len(p.turns) > 0 {
		p.notePause(f.arrived - p.usedAt)
	}
	p.usedAt = h.now
	h.active[p] = struct{}{}
	if refused := h.admit(f); refused != nil {
		f.fire(eventRefuse)
		f.failure = refused
		h.close(f)
		return
	}
	h.append(p, &peerpb.Record{Body: &peerpb.Record_Accepted{Accepted: f.accepted}})
	f.fire(eventAdmit)
	h.enqueue(f, false)
}

// enqueue hands the call to the scheduler.
func (h *Host) enqueue(f *flight, retry bool) {
	p := f.p
	holder, held := p.bestHolder()
	objective := f.then.Objective
	if svc := h.set().Services[f.accepted.Service]; objective == "" && svc != nil {
		objective = svc.Objective
	}
	f.item = sched.Item{
		Program: p.id, Sequence: f.accepted.Sequence, Service: f.accepted.Service,
		Priority: f.then.Priority, Objective: objective,
		Attained: p.spent, Prompt: f.accepted.PromptTokens, History: p.history, Output: f.accepted.MaxTokens,
		Arrived: f.arrived, Begun: p.begun, NotBefore: f.item.NotBefore, Holder: holder, HolderTokens: held, LastTarget: p.lastTarget(), AvoidTarget: f.item.AvoidTarget,
	}
	if !h.sched.Enqueue(&f.item, retry) {
		h.fail(f, failure.Retry(failure.Overloaded, overloadedRetry, "no room in the queue of %s", f.accepted.Service))
		return
	}
	if budget := h.sched.RetryBudget(f.accepted.Service); budget != nil && !retry {
		budget.RecordFirstAttempt()
	}
}

func (p *program) lastTarget() string {
	if n := len(p.turns); n > 0 {
		return p.turns[n-1].target
	}
	return ""
}

func (p *program) bestHolder() (string, int64) {
	var best holder
	for _, x := range p.holders {
		if x.tokens > best.tokens {
			best = x
		}
	}
	return best.target, best.tokens
}

// dispatch sends what the scheduler can place.
func (h *Host) dispatch() {
	if !h.mayServe() {
		return
	}
	for {
		it, t := h.sched.Next(h.now)
		if it == nil {
			return
		}
		p := h.programs[it.Program]
		if p == nil || p.active == nil || &p.active.item != it {
			h.sched.Withdraw(t.Decl.Name)
			continue
		}
		h.launch(p.active, t)
	}
}

// launch begins an attempt: the intent first, which also tells a new owner
// which targets may hold cache of the program.
func (h *Host) launch(f *flight, t *sched.Target) {
	f.attempt++
	f.target = t.Decl.Name
	f.p.hold(f.target, 0)
	lsn := h.append(f.p, &peerpb.Record{Body: &peerpb.Record_Intent{Intent: &peerpb.CallIntent{
		Sequence: f.accepted.Sequence, Target: f.target, Attempt: f.attempt,
	}}})
	if f.accepted.Idempotent {
		f.fire(eventSend)
		h.transmit(f, t)
		return
	}
	f.fire(eventIntend)
	attempt := f.attempt
	h.whenDurable(lsn, f, 0, func(f *flight) {
		if f.state == stateIntending && f.attempt == attempt {
			h.intentDurable(f)
		}
	})
}

// intentDurable sends a non-idempotent call unless something changed meanwhile.
func (h *Host) intentDurable(f *flight) {
	t, ok := h.sched.Target(f.target)
	if !ok || t.Decl.Leaving || h.set().Services[f.accepted.Service] == nil || !h.mayServe() {
		h.withdraw(f)
		f.fire(eventWithdraw)
		h.enqueue(f, true)
		return
	}
	f.fire(eventDurable)
	h.transmit(f, t)
}

func (h *Host) withdraw(f *flight) { h.sched.Withdraw(f.target) }

func (h *Host) transmit(f *flight, t *sched.Target) {
	svc := h.set().Services[f.accepted.Service]
	if svc.Kind == decl.Engine && h.sched.EvictsCache() {
		h.makeRoom(t, f.p.history+f.accepted.PromptTokens-f.p.heldAt(f.target))
	}
	f.sentAt = h.now
	f.until = earliest(h.now+svc.Timeout, f.deadline)
	send := Send{
		Call: f.call(), Target: t.Decl, Kind: svc.Kind, Slot: f.p.slot.slot, Epoch: f.p.slot.epoch,
		Prompt: f.accepted.Prompt, MaxTokens: f.accepted.MaxTokens, Priority: f.item.Rank(), Timeout: f.until - h.now,
		NotAfter: h.servesUntil(),
	}
	if svc.Kind == decl.Engine {
		send.History = f.p.past()
	}
	h.ready.Sends = append(h.ready.Sends, send)
}

func (f *flight) call() CallID {
	return CallID{Program: f.p.id, Sequence: f.accepted.Sequence, Attempt: f.attempt}
}
