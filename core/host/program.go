package host

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// program is one chain of dependent calls.
//
// Invariants: turns[i] has sequence i; active, if any, has sequence
// len(turns); pending follow it without gaps. spent+reserved never exceeds
// budget, for the program and each of its ancestors.
type program struct {
	id       ident.Program
	slot     *ownedSlot
	caller   string
	service  string
	parent   ident.Program // in the same slot; empty for none
	key      string
	budget   int64
	deadline time.Duration // in this host's time, 0 = none

	spent    int64 // tokens, with those of its sub-agents
	reserved int64

	turns   []*turn
	active  *flight
	pending []*flight
	history int64 // tokens of the turns
	size    int   // bytes of the turns

	holders []holder
	ended   bool
	reason  string
	endedAt time.Duration
	usedAt  time.Duration
	begun   time.Duration // when its first call arrived here
	pause   time.Duration // moving average of its tool pauses, 0 before the first
	corrupt bool

	firstSegment uint64
}

// holder is a target that may keep cache of the program.
type holder struct {
	target string
	tokens int64 // estimate, counted at the scheduler
}

// turn is one call with a lasting outcome: an answer, or a failure of a
// non-idempotent call that may have run.
type turn struct {
	accepted *peerpb.CallAccepted
	answer   []byte
	usage    Usage
	target   string
	failure  *failure.Failure
}

// consumes reports whether the outcome uses up the call's sequence number. A
// call that did not run may be sent again under its number, and so may an
// idempotent one that failed.
func (t *turn) consumes() bool {
	return t.failure == nil || !t.accepted.Idempotent && t.failure.Ran != failure.RanNo
}

func (t *turn) outcome(id ident.Program) Outcome {
	return Outcome{Program: id, Answer: t.answer, Usage: t.usage, Target: t.target, Failure: t.failure}
}

func newProgram(id ident.Program, own *ownedSlot, now time.Duration) *program {
	return &program{id: id, slot: own, usedAt: now}
}

func (p *program) created(m *peerpb.ProgramCreated, now time.Duration) {
	p.caller, p.service, p.parent = m.Caller, m.Service, ident.Program(m.Parent)
	p.budget, p.key = m.BudgetTokens, m.Key
	if m.DeadlineMs > 0 {
		p.deadline = now + time.Duration(m.DeadlineMs)*time.Millisecond
	}
}

// hold notes that a target may keep cache of the program; tokens 0 keeps an
// earlier estimate.
func (p *program) hold(target string, tokens int64) {
	for i := range p.holders {
		if p.holders[i].target == target {
			p.holders[i].tokens = max(p.holders[i].tokens, tokens)
			return
		}
	}
	p.holders = append(p.holders, holder{target: target, tokens: tokens})
}

func (p *program) unhold(target string) {
	p.holders = slices.DeleteFunc(p.holders, func(x holder) bool { return x.target == target })
}

// turnOverhead is what a turn takes in memory and in a snapshot besides its
// text.
const turnOverhead = 200

func (p *program) addTurn(t *turn) {
	p.turns = append(p.turns, t)
	p.size += len(t.accepted.Prompt) + len(t.answer) + turnOverhead
	p.history += newTokens(t.accepted.PromptTokens, t.usage, p.history) + t.usage.Output
}

// newTokens is what a turn added to the prompt: the target counts the whole
// history, and the caller's bound holds if it counts less.
func newTokens(bound int64, u Usage, history int64) int64 {
	return min(bound, max(0, u.Prompt-history))
}

// repeats reports whether each of the last n turns had this body.
func (p *program) repeats(hash uint64, n int) bool {
	if len(p.turns) < n {
		return false
	}
	for _, t := range p.turns[len(p.turns)-n:] {
		if t.accepted.BodyHash != hash {
			return false
		}
	}
	return true
}

// nextSequence is the sequence of the next new call.
func (p *program) nextSequence() uint32 {
	n := len(p.turns) + len(p.pending)
	if p.active != nil {
		n++
	}
	return uint32(n)
}

func (p *program) allWaiters() []uint64 {
	var all []uint64
	if p.active != nil {
		all = append(all, p.active.waiters...)
	}
	for _, f := range p.pending {
		all = append(all, f.waiters...)
	}
	return all
}

// past returns the turns as history for the next call.
func (p *program) past() []Turn {
	past := make([]Turn, 0, len(p.turns))
	for _, t := range p.turns {
		if t.failure == nil {
			past = append(past, Turn{Service: t.accepted.Service, Prompt: t.accepted.Prompt, Answer: t.answer})
		}
	}
	return past
}

// chain calls f for the program and each ancestor.
func (h *Host) chain(p *program, f func(*program)) {
	for q := p; q != nil; q = h.programs[q.parent] {
		f(q)
	}
}

// left is how many tokens the program may still reserve.
func (h *Host) left(p *program) int64 {
	least := int64(1<<63 - 1)
	h.chain(p, func(q *program) { least = min(least, q.budget-q.spent-q.reserved) })
	return max(0, least)
}

func (h *Host) reserve(p *program, tokens int64) {
	h.chain(p, func(q *program) { q.reserved += tokens })
}

// settle ends a reservation and charges what was used.
func (h *Host) settle(p *program, reserved, charged int64) {
	h.chain(p, func(q *program) {
		q.reserved -= reserved
		q.spent += charged
	})
}

type createKey struct{ caller, key string }

// adopt adds a program to the tables.
func (h *Host) adopt(p *program) {
	h.programs[p.id] = p
	p.slot.programs[p.id] = p
	if p.key != "" {
		h.byKey[createKey{p.caller, p.key}] = p.id
	}
}

// forget takes a program out of memory, as when it was handed over.
func (h *Host) forget(p *program) {
	delete(h.programs, p.id)
	delete(p.slot.programs, p.id)
	delete(h.active, p)
	if p.key != "" {
		delete(h.byKey, createKey{p.caller, p.key})
	}
	for i := range p.holders {
		x := &p.holders[i]
		h.setHeld(p, x, 0)
		delete(h.releases, releaseKey{x.target, p.id})
	}
}

// resume goes on with a recovered program.
func (h *Host) resume(p *program) {
	if p.corrupt {
		return
	}
	if p.ended {
		h.releaseCache(p)
		return
	}
	f := p.active
	if f == nil {
		return
	}
	p.slot.busy++
	p.begun = h.now
	h.active[p] = struct{}{}
	reserve := f.attemptTokens()
	f.reserved = int64(f.lostAttempts) * reserve // what they may have used
	h.reserve(p, f.reserved)
	switch {
	case f.failure != nil:
		h.fail(f, f.failure)
	case h.left(p) < reserve:
		h.fail(f, failure.New(failure.BudgetExhausted, "the budget does not allow another attempt"))
	default:
		h.reserve(p, reserve)
		f.reserved += reserve
		f.state = stateQueued
		h.decide(f)
		h.enqueue(f, true)
	}
}

// snapshot writes the program whole into this member's stream.
func (h *Host) snapshot(p *program) {
	s := &peerpb.ProgramSnapshot{
		Created:     p.createdRecord(h.now),
		SpentTokens: p.spent,
	}
	for _, x := range p.holders {
		s.Holders = append(s.Holders, x.target)
	}
	if p.ended {
		s.Ended = p.reason
	}
	turns := p.snapshotTurns()
	s.TurnCount = uint32(len(turns))
	s.Turns, turns = cutTurns(turns)
	p.firstSegment = h.log.writer.NextSegment()
	h.append(p, &peerpb.Record{Body: &peerpb.Record_Snapshot{Snapshot: s}})
	for len(turns) > 0 {
		part := &peerpb.SnapshotPart{}
		part.Turns, turns = cutTurns(turns)
		h.append(p, &peerpb.Record{Body: &peerpb.Record_Part{Part: part}})
	}
}

func (p *program) snapshotTurns() []*peerpb.Turn {
	turns := make([]*peerpb.Turn, 0, len(p.turns)+1)
	for _, t := range p.turns {
		turns = append(turns, &peerpb.Turn{Accepted: t.accepted, Finished: t.finished()})
	}
	if f := p.active; f != nil {
		t := &peerpb.Turn{Accepted: f.accepted, Finished: f.finished}
		if f.finished == nil {
			t.Intent = &peerpb.CallIntent{Sequence: f.accepted.Sequence, Target: f.target, Attempt: f.attempt}
		}
		turns = append(turns, t)
	}
	return turns
}

// snapshotPartBytes is the size from which a snapshot goes on in another record,
// so that each fits into a segment: an object has at most 1 MiB.
const snapshotPartBytes = 128 << 10

// cutTurns takes as many turns as one record should hold, at least one.
func cutTurns(turns []*peerpb.Turn) (first, rest []*peerpb.Turn) {
	size, n := 0, 0
	for n < len(turns) && (n == 0 || size < snapshotPartBytes) {
		size += proto.Size(turns[n])
		n++
	}
	return turns[:n], turns[n:]
}

func (p *program) createdRecord(now time.Duration) *peerpb.ProgramCreated {
	m := &peerpb.ProgramCreated{
		Caller: p.caller, Service: p.service, Parent: string(p.parent), BudgetTokens: p.budget, Key: p.key,
	}
	if p.deadline > 0 {
		m.DeadlineMs = max(1, (p.deadline - now).Milliseconds())
	}
	return m
}

func (t *turn) finished() *peerpb.CallFinished {
	m := &peerpb.CallFinished{
		Sequence: t.accepted.Sequence, Answer: t.answer, Target: t.target,
		PromptTokens: t.usage.Prompt, OutputTokens: t.usage.Output, CachedTokens: t.usage.Cached,
	}
	setFailure(m, t.failure)
	return m
}

func setFailure(m *peerpb.CallFinished, f *failure.Failure) {
	if f == nil {
		return
	}
	m.FailureKind, m.FailureDetail, m.Ran = string(f.Kind), f.Detail, string(f.Ran)
	m.RetryAfterMs = f.RetryAfter.Milliseconds()
}

func (h *Host) sortedActive() []*program {
	return slices.SortedFunc(maps.Keys(h.active), func(a, b *program) int { return cmp.Compare(a.id, b.id) })
}
