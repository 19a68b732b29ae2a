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

// program is one sequence of dependent calls.
//
// Invariants: turns[i] has sequence i; activeCall, if any, has sequence
// len(turns); pendingCalls follow it without gaps. spentTokens+reservedTokens
// never exceeds budgetTokens, for the program and each of its ancestors.
type program struct {
	id           ident.Program
	slot         *ownedSlot
	caller       string
	service      string
	parent       ident.Program // in the same slot; empty for none
	key          string
	budgetTokens int64
	deadline     time.Duration // in this host's time, 0 for none

	spentTokens    int64 // includes the tokens of its sub-agents
	reservedTokens int64

	turns         []*turn
	activeCall    *call
	pendingCalls  []*call
	historyTokens int64 // tokens of the turns
	sizeBytes     int   // bytes of the turns

	cacheTargets []cacheTarget
	ended        bool
	endReason    string
	endedAt      time.Duration
	usedAt       time.Duration
	startedAt    time.Duration // when its first call arrived at this host
	meanPause    time.Duration // moving average of its tool pauses, 0 before the first
	corrupt      bool

	firstSegment uint64 // lower bound of the segments with its live records
}

// cacheTarget is a target that may keep cache of the program.
type cacheTarget struct {
	target string
	tokens int64 // estimate, included in the scheduler's sum for the target
}

// turn is one call with a final outcome: an answer, or the failure of a
// non-idempotent call that may have run.
type turn struct {
	accepted *peerpb.CallAccepted
	answer   []byte
	usage    Usage
	target   string
	failure  *failure.Failure
}

// consumesSequence reports whether the outcome uses up the call's sequence
// number. A call that did not run may be submitted again under its number, and
// so may an idempotent call that failed.
func (t *turn) consumesSequence() bool {
	return t.failure == nil || !t.accepted.Idempotent && t.failure.Ran != failure.RanNo
}

func (t *turn) outcome(id ident.Program) Outcome {
	return Outcome{Program: id, Answer: t.answer, Usage: t.usage, Target: t.target, Failure: t.failure}
}

func newProgram(id ident.Program, own *ownedSlot, now time.Duration) *program {
	return &program{id: id, slot: own, usedAt: now}
}

// setCreated sets the properties of the program from its creation record.
func (p *program) setCreated(m *peerpb.ProgramCreated, now time.Duration) {
	p.caller, p.service, p.parent = m.Caller, m.Service, ident.Program(m.Parent)
	p.budgetTokens, p.key = m.BudgetTokens, m.Key
	if m.DeadlineMs > 0 {
		p.deadline = now + time.Duration(m.DeadlineMs)*time.Millisecond
	}
}

// addCacheTarget records that a target may keep cache of the program. tokens is
// the estimated cache; a larger earlier estimate stays.
func (p *program) addCacheTarget(target string, tokens int64) {
	for i := range p.cacheTargets {
		if p.cacheTargets[i].target == target {
			p.cacheTargets[i].tokens = max(p.cacheTargets[i].tokens, tokens)
			return
		}
	}
	p.cacheTargets = append(p.cacheTargets, cacheTarget{target: target, tokens: tokens})
}

// removeCacheTarget removes a target that no longer keeps cache of the program.
func (p *program) removeCacheTarget(target string) {
	p.cacheTargets = slices.DeleteFunc(p.cacheTargets, func(cache cacheTarget) bool { return cache.target == target })
}

// turnOverheadBytes is the approximate size of a turn in memory and in a
// snapshot, without its texts.
const turnOverheadBytes = 200

// addTurn appends a turn and adds its size and tokens.
func (p *program) addTurn(t *turn) {
	p.turns = append(p.turns, t)
	p.sizeBytes += len(t.accepted.Prompt) + len(t.answer) + turnOverheadBytes
	p.historyTokens += newTokens(t.accepted.PromptTokens, t.usage, p.historyTokens) + t.usage.Output
}

// newTokens returns the number of prompt tokens that a turn added to the history.
// The prompt tokens that the target reports include the history. maxTokens, the
// caller's bound on the new prompt tokens, limits the result.
func newTokens(maxTokens int64, u Usage, history int64) int64 {
	return min(maxTokens, max(0, u.Prompt-history))
}

// repeatsBody reports whether each of the last n turns had the body with this
// hash.
func (p *program) repeatsBody(hash uint64, n int) bool {
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

// nextSequence returns the sequence number of the next new call.
func (p *program) nextSequence() uint32 {
	n := len(p.turns) + len(p.pendingCalls)
	if p.activeCall != nil {
		n++
	}
	return uint32(n)
}

// waiters returns the waiters of the active call and the pending ones.
func (p *program) waiters() []uint64 {
	var all []uint64
	if p.activeCall != nil {
		all = append(all, p.activeCall.waiters...)
	}
	for _, c := range p.pendingCalls {
		all = append(all, c.waiters...)
	}
	return all
}

// answeredTurns returns the answered turns as history for the next call.
func (p *program) answeredTurns() []Turn {
	answered := make([]Turn, 0, len(p.turns))
	for _, t := range p.turns {
		if t.failure == nil {
			answered = append(answered, Turn{Service: t.accepted.Service, Prompt: t.accepted.Prompt, Answer: t.answer})
		}
	}
	return answered
}

// forSelfAndAncestors calls do for the program and each of its ancestors.
func (h *Host) forSelfAndAncestors(p *program, do func(*program)) {
	for q := p; q != nil; q = h.programs[q.parent] {
		do(q)
	}
}

// remainingBudget returns the number of tokens that the program can still
// reserve: the minimum over itself and its ancestors.
func (h *Host) remainingBudget(p *program) int64 {
	remaining := int64(1<<63 - 1)
	h.forSelfAndAncestors(p, func(q *program) { remaining = min(remaining, q.budgetTokens-q.spentTokens-q.reservedTokens) })
	return max(0, remaining)
}

// reserveTokens reserves tokens of the program and its ancestors.
func (h *Host) reserveTokens(p *program, tokens int64) {
	h.forSelfAndAncestors(p, func(q *program) { q.reservedTokens += tokens })
}

// settleBudget ends a reservation and charges the tokens used.
func (h *Host) settleBudget(p *program, reserved, charged int64) {
	h.forSelfAndAncestors(p, func(q *program) {
		q.reservedTokens -= reserved
		q.spentTokens += charged
	})
}

// createKey identifies an idempotent request for a program.
type createKey struct{ caller, key string }

// addProgram adds a program to the indexes of the host and its slot.
func (h *Host) addProgram(p *program) {
	h.programs[p.id] = p
	p.slot.programs[p.id] = p
	if p.key != "" {
		h.programsByKey[createKey{p.caller, p.key}] = p.id
	}
}

// removeProgram removes a program from memory, when it has expired or its slot
// was handed over.
func (h *Host) removeProgram(p *program) {
	delete(h.programs, p.id)
	delete(p.slot.programs, p.id)
	delete(h.activePrograms, p)
	if p.key != "" {
		delete(h.programsByKey, createKey{p.caller, p.key})
	}
	for i := range p.cacheTargets {
		cache := &p.cacheTargets[i]
		h.setCachedTokens(p, cache, 0)
		delete(h.releaseTasks, releaseKey{cache.target, p.id})
	}
}

// resumeProgram continues a recovered program: it releases the cache of an ended
// one, and queues or fails the call that was active.
func (h *Host) resumeProgram(p *program) {
	if p.corrupt {
		return
	}
	if p.ended {
		h.releaseCache(p)
		return
	}
	c := p.activeCall
	if c == nil {
		return
	}
	p.slot.activeCalls++
	p.startedAt = h.now
	h.activePrograms[p] = struct{}{}
	attemptTokens := c.attemptTokens()
	c.reservedTokens = int64(c.lostAttempts) * attemptTokens // tokens that the lost attempts may have used
	h.reserveTokens(p, c.reservedTokens)
	switch {
	case c.failure != nil:
		h.failCall(c, c.failure)
	case h.remainingBudget(p) < attemptTokens:
		h.failCall(c, failure.New(failure.BudgetExhausted, "the budget does not allow another attempt"))
	default:
		h.reserveTokens(p, attemptTokens)
		c.reservedTokens += attemptTokens
		c.state = stateQueued
		h.applyRules(c)
		h.enqueueCall(c, true)
	}
}

// writeSnapshot writes the complete state of the program into this member's
// stream, in one or more records.
func (h *Host) writeSnapshot(p *program) {
	s := &peerpb.ProgramSnapshot{
		Created:     p.createdRecord(h.now),
		SpentTokens: p.spentTokens,
	}
	for _, cache := range p.cacheTargets {
		s.Holders = append(s.Holders, cache.target)
	}
	if p.ended {
		s.Ended = p.endReason
	}
	turns := p.snapshotTurns()
	s.TurnCount = uint32(len(turns))
	s.Turns, turns = splitTurns(turns)
	p.firstSegment = h.log.writer.NextSegment()
	h.appendRecord(p, &peerpb.Record{Body: &peerpb.Record_Snapshot{Snapshot: s}})
	for len(turns) > 0 {
		part := &peerpb.SnapshotPart{}
		part.Turns, turns = splitTurns(turns)
		h.appendRecord(p, &peerpb.Record{Body: &peerpb.Record_Part{Part: part}})
	}
}

// snapshotTurns returns the turns and the active call for a snapshot.
func (p *program) snapshotTurns() []*peerpb.Turn {
	turns := make([]*peerpb.Turn, 0, len(p.turns)+1)
	for _, t := range p.turns {
		turns = append(turns, &peerpb.Turn{Accepted: t.accepted, Finished: t.finishedRecord()})
	}
	if c := p.activeCall; c != nil {
		t := &peerpb.Turn{Accepted: c.accepted, Finished: c.finished}
		if c.finished == nil {
			t.Intent = &peerpb.CallIntent{Sequence: c.accepted.Sequence, Target: c.target, Attempt: c.lastAttempt}
		}
		turns = append(turns, t)
	}
	return turns
}

// snapshotPartBytes is the size after which a snapshot continues in another
// record, so that each record fits into a segment: an object has at most 1 MiB.
const snapshotPartBytes = 128 << 10

// splitTurns splits off the turns that one record should hold, at least one.
func splitTurns(turns []*peerpb.Turn) (first, rest []*peerpb.Turn) {
	bytes, n := 0, 0
	for n < len(turns) && (n == 0 || bytes < snapshotPartBytes) {
		bytes += proto.Size(turns[n])
		n++
	}
	return turns[:n], turns[n:]
}

// createdRecord returns the creation record of the program with the deadline
// relative to now.
func (p *program) createdRecord(now time.Duration) *peerpb.ProgramCreated {
	m := &peerpb.ProgramCreated{
		Caller: p.caller, Service: p.service, Parent: string(p.parent), BudgetTokens: p.budgetTokens, Key: p.key,
	}
	if p.deadline > 0 {
		m.DeadlineMs = max(1, (p.deadline - now).Milliseconds())
	}
	return m
}

// finishedRecord returns the record of the turn's outcome.
func (t *turn) finishedRecord() *peerpb.CallFinished {
	m := &peerpb.CallFinished{
		Sequence: t.accepted.Sequence, Answer: t.answer, Target: t.target,
		PromptTokens: t.usage.Prompt, OutputTokens: t.usage.Output, CachedTokens: t.usage.Cached,
	}
	setFailure(m, t.failure)
	return m
}

// setFailure adds a failure, if any, to the record of an outcome.
func setFailure(m *peerpb.CallFinished, f *failure.Failure) {
	if f == nil {
		return
	}
	m.FailureKind, m.FailureDetail, m.Ran = string(f.Kind), f.Detail, string(f.Ran)
	m.RetryAfterMs = f.RetryAfter.Milliseconds()
}

func (h *Host) sortedActivePrograms() []*program {
	return slices.SortedFunc(maps.Keys(h.activePrograms), func(a, b *program) int { return cmp.Compare(a.id, b.id) })
}
