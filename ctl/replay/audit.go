package replay

import (
	"fmt"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/ident"
)

// audit checks the calls that engines ran and the answers that callers received.
type audit struct {
	sim           *simulation
	attempts      map[ident.Program]map[uint32]int // attempts that an engine started, by sequence
	latest        map[ident.Program]uint32         // latest sequence that an engine started
	endedPrograms map[ident.Program]bool           // ended by their callers
	history       map[ident.Program]int64          // in tokens
	noteCounts    map[host.NoteKind]int
}

func newAudit(sim *simulation) *audit {
	return &audit{
		sim: sim, attempts: map[ident.Program]map[uint32]int{}, latest: map[ident.Program]uint32{}, endedPrograms: map[ident.Program]bool{},
		history: map[ident.Program]int64{}, noteCounts: map[host.NoteKind]int{},
	}
}

// maxViolationTexts bounds the violations, and the failures, whose texts a result
// contains.
const maxViolationTexts = 20

// recordViolation counts a violation. Its text begins with the time in the trace.
func (a *audit) recordViolation(format string, args ...any) {
	result := a.sim.result
	result.Violations++
	if len(result.ViolationTexts) < maxViolationTexts {
		result.ViolationTexts = append(result.ViolationTexts, fmt.Sprintf("%s: ", a.sim.Now()-startupTime)+fmt.Sprintf(format, args...))
	}
}

// recordStart checks a call that an engine starts: whether it may run again, its order
// and its history. It returns the number of tokens of the history.
func (sim *simulation) recordStart(e *engine, c *engineCall) int64 {
	a, id := sim.audit, c.send.Call
	if a.attempts[id.Program] == nil {
		a.attempts[id.Program] = map[uint32]int{}
	}
	a.attempts[id.Program][id.Sequence]++
	r := sim.callers.byID[id.Program]
	line := r.program.Calls[id.Sequence]
	if line.Idempotent != nil && !*line.Idempotent && a.attempts[id.Program][id.Sequence] > 1 {
		a.recordViolation("%s call %d is not idempotent, but ran again at %s", r.program.Name, id.Sequence, e.header.Name)
	}
	if id.Sequence < a.latest[id.Program] {
		a.recordViolation("%s call %d was started after call %d", r.program.Name, id.Sequence, a.latest[id.Program])
	}
	a.latest[id.Program] = max(a.latest[id.Program], id.Sequence)
	if len(c.send.History) != int(id.Sequence) {
		a.recordViolation("%s call %d was sent with a history of %d calls", r.program.Name, id.Sequence, len(c.send.History))
	}
	for i, t := range c.send.History {
		if string(t.Answer) != string(answerFor(id.Program, uint32(i))) {
			a.recordViolation("%s call %d was sent with the history of another program", r.program.Name, id.Sequence)
		}
	}
	tokens := int64(0)
	for i := range id.Sequence {
		tokens += r.program.Calls[i].PromptTokens + r.program.Calls[i].OutputTokens
	}
	return tokens
}

// recordRecomputedTokens counts history tokens that were not in the engine's cache.
func (sim *simulation) recordRecomputedTokens(tokens int64) { sim.result.RecomputedTokens += tokens }

// checkAnswer checks that a call got its own answer.
func (a *audit) checkAnswer(r *programRun, l Line, out host.Outcome) {
	if string(out.Answer) != string(answerFor(r.id, l.Sequence)) {
		a.recordViolation("%s call %d was answered %q", r.program.Name, l.Sequence, out.Answer)
	}
}

// recordFailure checks the final failure of a program's call: one that states that the
// call did not run must be true.
func (a *audit) recordFailure(r *programRun, f *failure.Failure) {
	texts := &a.sim.result.FailureTexts
	if len(*texts) < maxViolationTexts {
		*texts = append(*texts, fmt.Sprintf("%s: %s call %d: %s", a.sim.Now()-startupTime, r.program.Name, r.nextCall, f))
	}
	if f.Ran != failure.RanNo || r.id == "" {
		return
	}
	if n := a.attempts[r.id][uint32(r.nextCall)]; n > 0 {
		a.recordViolation("%s call %d failed as not run, but an engine started it", r.program.Name, r.nextCall)
	}
}

// recordEnd records that a caller ended a program; from now on its cache is waste.
func (a *audit) recordEnd(id ident.Program) {
	a.endedPrograms[id] = true
	for _, name := range a.sim.engineNames() {
		a.sim.engines[name].recordProgramEnd(id)
	}
}

// checkCaches checks at the end of a replay that no engine but a frozen one caches an
// ended program.
func (a *audit) checkCaches() {
	for _, name := range a.sim.engineNames() {
		e := a.sim.engines[name]
		for _, p := range e.recentPrograms {
			if a.endedPrograms[p] && !e.frozen {
				a.recordViolation("%s still caches the ended program %s", name, a.sim.callers.byID[p].program.Name)
			}
		}
	}
}

func (a *audit) recordNote(_ *entryHost, n host.Note) { a.noteCounts[n.Kind]++ }
