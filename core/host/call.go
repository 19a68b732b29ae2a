package host

import (
	_ "embed" // for call.chart
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
	maxPendingCalls      = 8 // waiting calls of one program behind the active one
	overloadedRetryDelay = 500 * time.Millisecond
	movingRetryDelay     = 50 * time.Millisecond
	noTargetRetryDelay   = time.Second
	suspendedRetryDelay  = 2 * time.Second
)

// call is a submitted call without a final outcome.
type call struct {
	program    *program
	accepted   *peerpb.CallAccepted
	state      chart.State
	waiters    []uint64
	arrivedAt  time.Duration
	deadline   time.Duration // 0 = none
	directives decl.Then
	item       sched.Item

	lastAttempt  uint32 // number of the last attempt, from 1; 0 before the first
	lostAttempts int    // attempts that ended without an answer and may have run
	target       string
	sentAt       time.Duration
	timeoutAt    time.Duration // when the attempt times out
	// reservedTokens is the part of the budget reserved for this call: the tokens
	// of one attempt and of every lost attempt.
	reservedTokens int64

	finished *peerpb.CallFinished
	failure  *failure.Failure
}

func newCall(p *program, accepted *peerpb.CallAccepted, now time.Duration) *call {
	return &call{program: p, accepted: accepted, state: callChart.Initial(), arrivedAt: now}
}

// attemptTokens returns the maximum number of tokens that one attempt can use.
func (c *call) attemptTokens() int64 { return c.accepted.PromptTokens + c.accepted.MaxTokens }

// transition changes the state of the call by an event of the chart. It panics on
// an event that the chart does not allow, which is a bug in this package.
func (c *call) transition(ev chart.Event) {
	next, ok := callChart.Next(c.state, ev)
	if !ok {
		panic(failure.New(failure.Internal, "call in state %s does not allow event %d", callChart.StateName(c.state), ev))
	}
	c.state = next
}

// bodyHash returns a hash of everything that makes two submissions the same
// call: prompt, service, output limit and idempotence.
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

// access returns a program if it belongs to the caller. Another caller gets the
// same failure as for a program that does not exist.
func (h *Host) access(id ident.Program, caller string) (*program, *failure.Failure) {
	slot, err := id.Slot()
	if err != nil {
		return nil, failure.From(err)
	}
	own := h.slots.owned[slot]
	switch {
	case own == nil:
		return nil, failure.Retry(failure.NotOwner, movingRetryDelay, "slot %s is not owned by this host", slot)
	case own.state == slotLoading:
		return nil, failure.Retry(failure.Moving, movingRetryDelay, "slot %s is being recovered", slot)
	case !h.mayServe():
		return nil, failure.Retry(failure.Suspended, suspendedRetryDelay, "this host cannot confirm that it still owns the program")
	}
	p := h.programs[id]
	if p == nil && own.mayMissRecords {
		return nil, failure.Unknown(failure.Corrupt, "journal records that may belong to the program are damaged")
	}
	if p == nil || p.caller != caller {
		return nil, failure.New(failure.UnknownProgram, "no program %s", id)
	}
	if p.corrupt {
		return nil, failure.Unknown(failure.Corrupt, "journal records of the program are damaged")
	}
	return p, nil
}

func (h *Host) handleSubmitCall(ev *SubmitCall) {
	p, rejection := h.access(ev.Program, ev.Caller)
	if rejection != nil {
		h.reject(ev.Waiter, rejection)
		return
	}
	hash := bodyHash(ev)
	if known := p.findCall(ev.Sequence); known.accepted != nil {
		h.answerRepeat(ev, p, known, hash)
		return
	}
	c, rejection := h.acceptCall(ev, p, hash)
	if rejection != nil {
		h.reject(ev.Waiter, rejection)
		return
	}
	if p.activeCall != nil {
		p.pendingCalls = append(p.pendingCalls, c)
		return
	}
	h.startCall(c)
}

// knownCall is a call that was submitted before: finished if it is one of the
// turns, else unfinished. The zero value stands for an unknown call.
type knownCall struct {
	accepted   *peerpb.CallAccepted
	finished   *turn
	unfinished *call
}

// findCall returns the submitted call with a sequence number.
func (p *program) findCall(sequence uint32) knownCall {
	n := uint32(len(p.turns))
	if sequence < n {
		t := p.turns[sequence]
		return knownCall{accepted: t.accepted, finished: t}
	}
	if p.activeCall != nil && sequence == n {
		return knownCall{accepted: p.activeCall.accepted, unfinished: p.activeCall}
	}
	for _, c := range p.pendingCalls {
		if c.accepted.Sequence == sequence {
			return knownCall{accepted: c.accepted, unfinished: c}
		}
	}
	return knownCall{}
}

// answerRepeat answers a call that was submitted before. The same body is the
// same call and is not executed again.
func (h *Host) answerRepeat(ev *SubmitCall, p *program, known knownCall, hash uint64) {
	switch {
	case known.accepted.BodyHash != hash:
		h.reject(ev.Waiter, failure.New(failure.BodyChanged, "call %d was already submitted with a different body", ev.Sequence))
	case known.finished != nil:
		h.ready.Replies = append(h.ready.Replies, Reply{Waiter: ev.Waiter, Outcome: known.finished.outcome(p.id)})
	default:
		known.unfinished.waiters = append(known.unfinished.waiters, ev.Waiter)
	}
}

// acceptCall makes the checks that need not wait for the call's turn and returns
// the call, or the failure with which to reject it.
func (h *Host) acceptCall(ev *SubmitCall, p *program, hash uint64) (*call, *failure.Failure) {
	next := p.nextSequence()
	switch {
	case p.ended:
		return nil, failure.New(failure.ProgramEnded, "program has ended: %s", p.endReason)
	case ev.Sequence != next:
		return nil, failure.New(failure.SequenceGap, "the next call of the program is %d, got %d", next, ev.Sequence)
	case p.slot.state == slotMoving:
		return nil, failure.Retry(failure.Moving, movingRetryDelay, "the program is moving to another host")
	case len(p.pendingCalls) >= maxPendingCalls:
		return nil, failure.Retry(failure.Overloaded, overloadedRetryDelay, "the program already has %d waiting calls", maxPendingCalls)
	case h.log.writer.PendingBytes() > h.cfg.MaxTailBytes:
		return nil, failure.Retry(failure.Overloaded, suspendedRetryDelay, "too much of the journal is waiting to be written to the platform")
	}
	c := newCall(p, &peerpb.CallAccepted{
		Sequence: ev.Sequence, Service: ev.Service, BodyHash: hash, Idempotent: ev.Idempotent,
		PromptTokens: ev.PromptTokens, MaxTokens: ev.MaxTokens, Prompt: ev.Prompt,
	}, h.now)
	if ev.Deadline > 0 {
		c.deadline = h.now + ev.Deadline
	}
	c.waiters = append(c.waiters, ev.Waiter)
	return c, nil
}

// startCall makes a call the active one of its program: it applies rules, limits
// and budget, records the call and queues it.
func (h *Host) startCall(c *call) {
	p := c.program
	p.activeCall = c
	p.slot.activeCalls++
	if p.startedAt == 0 {
		p.startedAt = c.arrivedAt
	} else if len(p.turns) > 0 {
		p.recordPause(c.arrivedAt - p.usedAt)
	}
	p.usedAt = h.now
	h.activePrograms[p] = struct{}{}
	if rejection := h.admitCall(c); rejection != nil {
		c.transition(eventRefuse)
		c.failure = rejection
		h.closeCall(c)
		return
	}
	h.appendRecord(p, &peerpb.Record{Body: &peerpb.Record_Accepted{Accepted: c.accepted}})
	c.transition(eventAdmit)
	h.enqueueCall(c, false)
}

// enqueueCall passes the call to the scheduler, and fails it if the queue is
// full. retry reports whether the call was queued before.
func (h *Host) enqueueCall(c *call, retry bool) {
	p := c.program
	cacheTargetName, cachedTokens := p.largestCache()
	objective := c.directives.Objective
	if svc := h.declared().Services[c.accepted.Service]; objective == "" && svc != nil {
		objective = svc.Objective
	}
	c.item = sched.Item{
		Program: p.id, Sequence: c.accepted.Sequence, Service: c.accepted.Service,
		Priority: c.directives.Priority, Objective: objective,
		Attained: p.spentTokens, Prompt: c.accepted.PromptTokens, History: p.historyTokens, Output: c.accepted.MaxTokens,
		Arrived: c.arrivedAt, Begun: p.startedAt, NotBefore: c.item.NotBefore, Holder: cacheTargetName, HolderTokens: cachedTokens, LastTarget: p.lastTarget(), AvoidTarget: c.item.AvoidTarget,
	}
	if !h.sched.Enqueue(&c.item, retry) {
		h.failCall(c, failure.Retry(failure.Overloaded, overloadedRetryDelay, "the queue of %s is full", c.accepted.Service))
		return
	}
	if budget := h.sched.RetryBudget(c.accepted.Service); budget != nil && !retry {
		budget.RecordFirstAttempt()
	}
}

// lastTarget returns the target of the last turn, empty before the first.
func (p *program) lastTarget() string {
	if n := len(p.turns); n > 0 {
		return p.turns[n-1].target
	}
	return ""
}

// largestCache returns the target with the largest estimated cache of the
// program, and its tokens.
func (p *program) largestCache() (string, int64) {
	var largest cacheTarget
	for _, cache := range p.cacheTargets {
		if cache.tokens > largest.tokens {
			largest = cache
		}
	}
	return largest.target, largest.tokens
}

// dispatch starts an attempt for each queued call that the scheduler can place.
func (h *Host) dispatch() {
	if !h.mayServe() {
		return
	}
	for {
		item, target := h.sched.Next(h.now)
		if item == nil {
			return
		}
		p := h.programs[item.Program]
		if p == nil || p.activeCall == nil || &p.activeCall.item != item {
			h.sched.Withdraw(target.Decl.Name)
			continue
		}
		h.startAttempt(p.activeCall, target)
	}
}

// startAttempt begins an attempt at a target. It records the intent first; from
// it a new owner also knows which targets may keep cache of the program. A call
// that is not idempotent is sent only when the intent is durable.
func (h *Host) startAttempt(c *call, target *sched.Target) {
	c.lastAttempt++
	c.target = target.Decl.Name
	c.program.addCacheTarget(c.target, 0)
	lsn := h.appendRecord(c.program, &peerpb.Record{Body: &peerpb.Record_Intent{Intent: &peerpb.CallIntent{
		Sequence: c.accepted.Sequence, Target: c.target, Attempt: c.lastAttempt,
	}}})
	if c.accepted.Idempotent {
		c.transition(eventSend)
		h.sendAttempt(c, target)
		return
	}
	c.transition(eventIntend)
	attempt := c.lastAttempt
	h.whenDurable(lsn, c, 0, func(c *call) {
		if c.state == stateIntending && c.lastAttempt == attempt {
			h.sendAfterIntent(c)
		}
	})
}

// sendAfterIntent sends a non-idempotent call whose intent is durable. If the
// target, the service or the right to serve was lost meanwhile, it queues the
// call again.
func (h *Host) sendAfterIntent(c *call) {
	target, ok := h.sched.Target(c.target)
	if !ok || target.Decl.Leaving || h.declared().Services[c.accepted.Service] == nil || !h.mayServe() {
		h.withdrawAttempt(c)
		c.transition(eventWithdraw)
		h.enqueueCall(c, true)
		return
	}
	c.transition(eventDurable)
	h.sendAttempt(c, target)
}

// withdrawAttempt reverts the scheduler's placement of a call that was not sent.
func (h *Host) withdrawAttempt(c *call) { h.sched.Withdraw(c.target) }

// sendAttempt adds the attempt to the effects of this Step. If the policy evicts
// caches, it first drops idle caches for which the target has no memory left.
func (h *Host) sendAttempt(c *call, target *sched.Target) {
	svc := h.declared().Services[c.accepted.Service]
	if svc.Kind == decl.Engine && h.sched.EvictsCache() {
		h.dropIdleCaches(target, c.program.historyTokens+c.accepted.PromptTokens-c.program.cachedTokens(c.target))
	}
	c.sentAt = h.now
	c.timeoutAt = earliest(h.now+svc.Timeout, c.deadline)
	send := Send{
		Call: c.id(), Target: target.Decl, Kind: svc.Kind, Slot: c.program.slot.slot, Epoch: c.program.slot.epoch,
		Prompt: c.accepted.Prompt, MaxTokens: c.accepted.MaxTokens, Priority: c.item.Rank(), Timeout: c.timeoutAt - h.now,
		NotAfter: h.servesUntil(),
	}
	if svc.Kind == decl.Engine {
		send.History = c.program.answeredTurns()
	}
	h.ready.Sends = append(h.ready.Sends, send)
}

// id identifies the last attempt of the call.
func (c *call) id() CallID {
	return CallID{Program: c.program.id, Sequence: c.accepted.Sequence, Attempt: c.lastAttempt}
}
