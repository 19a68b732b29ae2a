package replay

import (
	"fmt"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/ident"
)

// audit judges by what the engines did and the callers got.
type audit struct {
	w       *world
	started map[ident.Program]map[uint32]int // attempts that an engine began, by call
	last    map[ident.Program]uint32
	over    map[ident.Program]bool
	history map[ident.Program]int64 // tokens, as engines must see them
	notes   map[host.NoteKind]int
}

func newAudit(w *world) *audit {
	return &audit{
		w: w, started: map[ident.Program]map[uint32]int{}, last: map[ident.Program]uint32{}, over: map[ident.Program]bool{},
		history: map[ident.Program]int64{}, notes: map[host.NoteKind]int{},
	}
}

// maxViolationTexts bounds the violations that are kept with their text.
const maxViolationTexts = 20

func (a *audit) violate(format string, args ...any) {
	r := a.w.result
	r.Violations++
	if len(r.ViolationTexts) < maxViolationTexts {
		r.ViolationTexts = append(r.ViolationTexts, fmt.Sprintf("%s: ", a.w.Now()-settleBefore)+fmt.Sprintf(format, args...))
	}
}

// started notes that an engine begins a call, and returns the tokens of its
// history.
func (w *world) started(e *engine, c *engineCall) int64 {
	a, id := w.audit, c.send.Call
	if a.started[id.Program] == nil {
		a.started[id.Program] = map[uint32]int{}
	}
	a.started[id.Program][id.Sequence]++
	r := w.callers.byID[id.Program]
	line := r.p.Calls[id.Sequence]
	if line.Idempotent != nil && !*line.Idempotent && a.started[id.Program][id.Sequence] > 1 {
		a.violate("%s call %d, which must not be repeated, ran again at %s", r.p.Name, id.Sequence, e.header.Name)
	}
	if id.Sequence < a.last[id.Program] {
		a.violate("%s call %d was started after call %d", r.p.Name, id.Sequence, a.last[id.Program])
	}
	a.last[id.Program] = max(a.last[id.Program], id.Sequence)
	if len(c.send.History) != int(id.Sequence) {
		a.violate("%s call %d came with a history of %d calls", r.p.Name, id.Sequence, len(c.send.History))
	}
	for i, t := range c.send.History {
		if string(t.Answer) != string(answerFor(id.Program, uint32(i))) {
			a.violate("%s call %d came with another program's history", r.p.Name, id.Sequence)
		}
	}
	tokens := int64(0)
	for i := range id.Sequence {
		tokens += r.p.Calls[i].PromptTokens + r.p.Calls[i].OutputTokens
	}
	return tokens
}

func (w *world) recomputed(tokens int64) { w.result.RecomputedTokens += tokens }

func (a *audit) answered(r *running, l Line, out host.Outcome) {
	if string(out.Answer) != string(answerFor(r.id, l.Sequence)) {
		a.violate("%s call %d was answered %q", r.p.Name, l.Sequence, out.Answer)
	}
}

func (a *audit) gaveUp(r *running, f *failure.Failure) {
	texts := &a.w.result.FailureTexts
	if len(*texts) < maxViolationTexts {
		*texts = append(*texts, fmt.Sprintf("%s: %s call %d: %s", a.w.Now()-settleBefore, r.p.Name, r.at, f))
	}
	if f.Ran != failure.RanNo || r.id == "" {
		return
	}
	if n := a.started[r.id][uint32(r.at)]; n > 0 {
		a.violate("%s call %d was told not run, but ran", r.p.Name, r.at)
	}
}

func (a *audit) ended(id ident.Program) {
	a.over[id] = true
	for _, name := range a.w.engineNames() {
		a.w.engines[name].programEnded(id)
	}
}

// close checks what must hold once all is over.
func (a *audit) close() {
	for _, name := range a.w.engineNames() {
		e := a.w.engines[name]
		for _, p := range e.used {
			if a.over[p] && !e.frozen {
				a.violate("%s still keeps cache of %s", name, a.w.callers.byID[p].p.Name)
			}
		}
	}
}

func (a *audit) note(_ *entry, n host.Note) { a.notes[n.Kind]++ }
