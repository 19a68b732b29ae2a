// Package ledger holds the state of a history host: each program's budget
// reservations and settlements, its finished turns, and the broken runs of its requests.
//
// A ledger is a set of mergeable records: a settlement supersedes the
// reservation of the same turn, and a turn is immutable. Records may be applied
// in any order and more than once, so that replicas agree once they have the
// same records, however these reached them.
package ledger

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// spending is the budget use of one turn.
type spending struct {
	tokens  int64
	settled bool
	// run says which target ran the turn's prompt, nil if that is not known.
	run *historypb.Ran
	// softwareVersion is the software version of the targets that made the turn's events, empty if
	// it is not known. It never changes once it is known.
	softwareVersion string
}

// program is the state of one program.
type program struct {
	slot      uint32
	expiresMs int64               // in ms since the Unix epoch
	spendings map[string]spending // by turn ID
	turnIDs   map[string]bool     // the program's finished turns, and those of chains that it took over
	// brokenRuns holds the broken runs of the program's requests by fingerprint; nil if there are none.
	brokenRuns map[string]*BrokenRuns
}

// Ledger holds the records of all slots of a member. It is not safe for concurrent use.
//
// A turn is removed when all programs that have it have expired. A chain that began in another program
// would lose its beginning in this way, so the program of a turn takes over all turns before it; LackingTurns
// tells which.
type Ledger struct {
	programs  map[string]*program
	slots     map[uint32]map[string]*program
	turns     map[string]*turnEntry
	turnBytes int64
}

// turnEntry is a turn and the number of programs that refer to it.
type turnEntry struct {
	turn     *historypb.Turn
	refCount int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{programs: map[string]*program{}, slots: map[uint32]map[string]*program{}, turns: map[string]*turnEntry{}}
}

// Apply merges one record. It keeps a reference to a turn in the record.
func (l *Ledger) Apply(r *historypb.Record) {
	p := l.programs[r.Program]
	if p == nil {
		p = l.addProgram(r.Program, r.Slot)
	}
	p.expiresMs = max(p.expiresMs, r.ExpiresMs)
	switch c := r.Change.(type) {
	case *historypb.Record_Reserve:
		s, known := p.spendings[c.Reserve.Turn]
		if !known {
			s.tokens = c.Reserve.Tokens
		}
		s.softwareVersion = max(s.softwareVersion, c.Reserve.SoftwareVersion)
		p.spendings[c.Reserve.Turn] = s
	case *historypb.Record_Settle:
		previous := p.spendings[c.Settle.Turn]
		s := spending{tokens: c.Settle.Tokens, settled: true, run: c.Settle.Ran}
		if s.run == nil {
			s.run = previous.run // brief settlements omit the run
		}
		s.softwareVersion = max(previous.softwareVersion, c.Settle.SoftwareVersion)
		p.spendings[c.Settle.Turn] = s
	case *historypb.Record_Turn:
		l.retainTurn(p, c.Turn)
	case *historypb.Record_BrokenRun:
		p.addBrokenRun(c.BrokenRun)
	}
}

func (l *Ledger) addProgram(name string, slot uint32) *program {
	p := &program{slot: slot, spendings: map[string]spending{}, turnIDs: map[string]bool{}}
	l.programs[name] = p
	if l.slots[slot] == nil {
		l.slots[slot] = map[string]*program{}
	}
	l.slots[slot][name] = p
	return p
}

// retainTurn adds a turn to a program, and to the ledger if no program has it yet.
func (l *Ledger) retainTurn(p *program, t *historypb.Turn) {
	if p.turnIDs[t.Turn] {
		return
	}
	p.turnIDs[t.Turn] = true
	e := l.turns[t.Turn]
	if e == nil {
		e = &turnEntry{turn: t}
		l.turns[t.Turn] = e
		l.turnBytes += int64(len(t.Content))
	}
	e.refCount++
}

// releaseTurn drops one reference to a turn, and the turn with its last reference.
func (l *Ledger) releaseTurn(turn string) {
	e := l.turns[turn]
	e.refCount--
	if e.refCount == 0 {
		l.turnBytes -= int64(len(e.turn.Content))
		delete(l.turns, turn)
	}
}

// TurnBytes returns the size of the contents of all turns, in bytes.
func (l *Ledger) TurnBytes() int64 { return l.turnBytes }

// ProgramCount returns the number of programs in the ledger.
func (l *Ledger) ProgramCount() int { return len(l.programs) }

// Spending returns the tokens that the program has reserved and used, one entry for each
// turn, in no order; nil if the program is not known.
func (l *Ledger) Spending(name string) []*historypb.Spending {
	p := l.programs[name]
	if p == nil {
		return nil
	}
	list := make([]*historypb.Spending, 0, len(p.spendings))
	for turn, s := range p.spendings {
		list = append(list, &historypb.Spending{Turn: turn, Tokens: s.tokens, Settled: s.settled, SoftwareVersion: s.softwareVersion})
	}
	return list
}

// LongestRuns returns the targets that have run prompts of the program whose last part is one
// of parts, each target with its longest such prompt, in no order.
func (l *Ledger) LongestRuns(name string, parts []string) []*historypb.Ran {
	p := l.programs[name]
	if p == nil || len(parts) == 0 {
		return nil
	}
	longest := map[string]*historypb.Ran{} // by target
	for _, s := range p.spendings {
		if s.run == nil || !slices.Contains(parts, s.run.Part) {
			continue
		}
		if known := longest[s.run.Target]; known == nil || known.Prompt < s.run.Prompt {
			longest[s.run.Target] = s.run
		}
	}
	return slices.Collect(maps.Values(longest))
}

// Chain returns a turn and its predecessors, newest first, up to the first one that is
// missing from the ledger.
func (l *Ledger) Chain(turn string) []*historypb.Turn {
	var chain []*historypb.Turn
	for turn != "" {
		e := l.turns[turn]
		if e == nil {
			break
		}
		chain = append(chain, e.turn)
		turn = e.turn.Previous
	}
	return chain
}

// LackingTurns returns which of the named turns a program lacks: those that other programs have here,
// and the names of those that the ledger does not hold at all.
func (l *Ledger) LackingTurns(name string, turns []string) (elsewhere []*historypb.Turn, missing []string) {
	p := l.programs[name]
	for _, id := range turns {
		if p != nil && p.turnIDs[id] {
			continue
		}
		if e := l.turns[id]; e != nil {
			elsewhere = append(elsewhere, e.turn)
			continue
		}
		missing = append(missing, id)
	}
	return elsewhere, missing
}

// OwnsChain reports whether a chain, newest turn first, is complete, the program has all its turns and stored
// the newest itself.
func (l *Ledger) OwnsChain(name string, chain []*historypb.Turn) bool {
	p := l.programs[name]
	if p == nil || len(chain) == 0 || chain[0].Program != name || chain[len(chain)-1].Previous != "" {
		return false
	}
	return !slices.ContainsFunc(chain, func(t *historypb.Turn) bool { return !p.turnIDs[t.Turn] })
}

// RecordPage returns all records of the named programs, in the order given, and whether programs
// are left over. It stops after the program with which the page reaches limit bytes.
func (l *Ledger) RecordPage(names []string, limit int) (page []*historypb.Record, more bool) {
	size := 0
	for i, name := range names {
		for _, r := range l.ProgramRecords(name) {
			size += proto.Size(r)
			page = append(page, r)
		}
		if size >= limit {
			return page, i+1 < len(names)
		}
	}
	return page, false
}

// programNamesAfter returns the names of the slot's programs that are greater than after, in
// ascending order.
func (l *Ledger) programNamesAfter(slot uint32, after string) []string {
	var names []string
	for name := range l.slots[slot] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ProgramRecords returns all records of a program, in no order; nil if it is not known.
func (l *Ledger) ProgramRecords(name string) []*historypb.Record {
	p := l.programs[name]
	if p == nil {
		return nil
	}
	return l.recordsOf(name, p)
}

func (l *Ledger) recordsOf(name string, p *program) []*historypb.Record {
	list := make([]*historypb.Record, 0, len(p.spendings)+len(p.turnIDs))
	for turn, s := range p.spendings {
		r := &historypb.Record{Slot: p.slot, Program: name, ExpiresMs: p.expiresMs}
		if s.settled {
			r.Change = &historypb.Record_Settle{Settle: &historypb.Settle{Turn: turn, Tokens: s.tokens, Ran: s.run, SoftwareVersion: s.softwareVersion}}
		} else {
			r.Change = &historypb.Record_Reserve{Reserve: &historypb.Reserve{Turn: turn, Tokens: s.tokens, SoftwareVersion: s.softwareVersion}}
		}
		list = append(list, r)
	}
	for id := range p.turnIDs {
		list = append(list, &historypb.Record{
			Slot: p.slot, Program: name, ExpiresMs: p.expiresMs,
			Change: &historypb.Record_Turn{Turn: l.turns[id].turn},
		})
	}
	return append(list, p.brokenRunRecords(name)...)
}

// Expire removes the programs whose expiry is not after nowMs, in ms since the Unix epoch,
// and returns their number. A turn is removed with the last program that refers to it.
func (l *Ledger) Expire(nowMs int64) int {
	dropped := 0
	for name, p := range l.programs {
		if p.expiresMs > nowMs {
			continue
		}
		for id := range p.turnIDs {
			l.releaseTurn(id)
		}
		delete(l.programs, name)
		delete(l.slots[p.slot], name)
		dropped++
	}
	return dropped
}
