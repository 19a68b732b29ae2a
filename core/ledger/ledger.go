// Package ledger is the state of a history host: what each program has spent of
// its budget, and its finished turns.
//
// A ledger is a set of records that merge: a settlement outweighs the
// reservation of the same turn, a turn is immutable. Records may be applied in
// any order and more than once, so that replicas agree once they have the same
// records, however those reached them.
package ledger

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/historypb"
)

type spending struct {
	tokens  int64
	settled bool
	// ran is where the turn ran, nil if that is not known.
	ran *historypb.Ran
}

type program struct {
	slot    uint32
	expires int64 // ms since the Unix epoch
	spent   map[string]spending
	turns   map[string]bool // the program's finished turns, and chains that it took over
}

// Ledger is the state of all slots that a member holds. Not safe for concurrent use.
type Ledger struct {
	programs map[string]*program
	slots    map[uint32]map[string]*program
	turns    map[string]*entry
	bytes    int64
}

// entry is a turn and the number of programs that keep it.
type entry struct {
	turn *historypb.Turn
	refs int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{programs: map[string]*program{}, slots: map[uint32]map[string]*program{}, turns: map[string]*entry{}}
}

// Apply merges one record.
func (l *Ledger) Apply(r *historypb.Record) {
	p := l.programs[r.Program]
	if p == nil {
		p = l.add(r.Program, r.Slot)
	}
	p.expires = max(p.expires, r.ExpiresMs)
	switch c := r.Change.(type) {
	case *historypb.Record_Reserve:
		if _, known := p.spent[c.Reserve.Turn]; !known {
			p.spent[c.Reserve.Turn] = spending{tokens: c.Reserve.Tokens}
		}
	case *historypb.Record_Settle:
		ran := c.Settle.Ran
		if ran == nil {
			ran = p.spent[c.Settle.Turn].ran // a brief settlement tells less than a whole one
		}
		p.spent[c.Settle.Turn] = spending{tokens: c.Settle.Tokens, settled: true, ran: ran}
	case *historypb.Record_Turn:
		l.keep(p, c.Turn)
	}
}

func (l *Ledger) add(name string, slot uint32) *program {
	p := &program{slot: slot, spent: map[string]spending{}, turns: map[string]bool{}}
	l.programs[name] = p
	if l.slots[slot] == nil {
		l.slots[slot] = map[string]*program{}
	}
	l.slots[slot][name] = p
	return p
}

func (l *Ledger) keep(p *program, t *historypb.Turn) {
	if p.turns[t.Turn] {
		return
	}
	p.turns[t.Turn] = true
	e := l.turns[t.Turn]
	if e == nil {
		e = &entry{turn: t}
		l.turns[t.Turn] = e
		l.bytes += int64(len(t.Content))
	}
	e.refs++
}

func (l *Ledger) release(turn string) {
	e := l.turns[turn]
	e.refs--
	if e.refs == 0 {
		l.bytes -= int64(len(e.turn.Content))
		delete(l.turns, turn)
	}
}

// Bytes is the size of all turns kept.
func (l *Ledger) TurnBytes() int64 { return l.bytes }

// Programs is the number of programs known.
func (l *Ledger) ProgramCount() int { return len(l.programs) }

// Spending returns what the program has reserved and used, turn by turn.
func (l *Ledger) Spending(name string) []*historypb.Spending {
	p := l.programs[name]
	if p == nil {
		return nil
	}
	list := make([]*historypb.Spending, 0, len(p.spent))
	for turn, s := range p.spent {
		list = append(list, &historypb.Spending{Turn: turn, Tokens: s.tokens, Settled: s.settled})
	}
	return list
}

// Ran returns the targets that have read prompts of the program which ended with one of
// the parts, each with the longest of these.
func (l *Ledger) LongestRuns(name string, parts []string) []*historypb.Ran {
	p := l.programs[name]
	if p == nil || len(parts) == 0 {
		return nil
	}
	longest := map[string]*historypb.Ran{} // by target
	for _, s := range p.spent {
		if s.ran == nil || !slices.Contains(parts, s.ran.Part) {
			continue
		}
		if old := longest[s.ran.Target]; old == nil || old.Prompt < s.ran.Prompt {
			longest[s.ran.Target] = s.ran
		}
	}
	return slices.Collect(maps.Values(longest))
}

// Chain returns the turn and those before it, newest first, as far as they are
// here.
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

// Records returns all records of the programs, in their order, up to about limit
// bytes, and whether programs are left over.
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

// namesAfter returns the slot's programs whose names follow after, in order.
func (l *Ledger) namesAfter(slot uint32, after string) []string {
	var names []string
	for name := range l.slots[slot] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Program returns all records of a program.
func (l *Ledger) ProgramRecords(name string) []*historypb.Record {
	p := l.programs[name]
	if p == nil {
		return nil
	}
	return l.programRecords(name, p)
}

func (l *Ledger) programRecords(name string, p *program) []*historypb.Record {
	list := make([]*historypb.Record, 0, len(p.spent)+len(p.turns))
	for turn, s := range p.spent {
		r := &historypb.Record{Slot: p.slot, Program: name, ExpiresMs: p.expires}
		if s.settled {
			r.Change = &historypb.Record_Settle{Settle: &historypb.Settle{Turn: turn, Tokens: s.tokens, Ran: s.ran}}
		} else {
			r.Change = &historypb.Record_Reserve{Reserve: &historypb.Reserve{Turn: turn, Tokens: s.tokens}}
		}
		list = append(list, r)
	}
	for id := range p.turns {
		list = append(list, &historypb.Record{
			Slot: p.slot, Program: name, ExpiresMs: p.expires,
			Change: &historypb.Record_Turn{Turn: l.turns[id].turn},
		})
	}
	return list
}

// Expire drops the programs whose time is over. A turn lives as long as any
// program that keeps it.
func (l *Ledger) Expire(nowMs int64) int {
	dropped := 0
	for name, p := range l.programs {
		if p.expires > nowMs {
			continue
		}
		for id := range p.turns {
			l.release(id)
		}
		delete(l.programs, name)
		delete(l.slots[p.slot], name)
		dropped++
	}
	return dropped
}
