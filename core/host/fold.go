package host

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// fold rebuilds programs from the records of one or more streams.
//
// Each epoch of a slot was written by one member, so the records of a slot in
// order of epoch, then lsn, are its history whatever streams they came from.
type fold struct {
	slots  map[int]*ownedSlot
	bySlot map[int][]foldRecord
	// gaps are the missing parts of streams, for each stream.
	gaps        map[string][]uint64
	keepStreams bool
}

type foldRecord struct {
	*peerpb.Record
	stream string
}

// foldProgram is a program under reconstruction.
type foldProgram struct {
	p *program
	// base is the record that states the program whole: its creation or a
	// snapshot.
	base foldRecord
	open *openCall
	// partial is a newer statement of the program of which parts are missing
	// yet. If they never come, what was known before still holds.
	partial *foldProgram
	missing int // turns of partial
}

// openCall is a call that was accepted and has no outcome.
type openCall struct {
	accepted *peerpb.CallAccepted
	intents  int
}

func newFold(slots map[int]*ownedSlot) *fold {
	return &fold{slots: slots, bySlot: map[int][]foldRecord{}, gaps: map[string][]uint64{}}
}

func (f *fold) addStream(s *streamReader) {
	for _, r := range s.records {
		slot, err := ident.Program(r.Program).Slot()
		if err != nil || f.slots[slot.Number] == nil {
			continue
		}
		f.bySlot[slot.Number] = append(f.bySlot[slot.Number], foldRecord{Record: r, stream: s.name})
	}
	if len(s.gaps) > 0 {
		f.gaps[s.name] = s.gaps
		f.keepStreams = true
	}
}

// programs returns the programs of all slots, in order of identifier.
func (f *fold) programs(h *Host) []*program {
	var all []*program
	for _, n := range slices.Sorted(maps.Keys(f.bySlot)) {
		records := f.bySlot[n]
		slices.SortStableFunc(records, func(a, b foldRecord) int {
			return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Lsn, b.Lsn))
		})
		found := map[ident.Program]*foldProgram{}
		for _, r := range records {
			f.apply(h, f.slots[n], found, r)
		}
		for _, id := range slices.Sorted(maps.Keys(found)) {
			fp := found[id]
			fp.p.corrupt = fp.p.corrupt || f.damaged(fp, records)
			fp.close(h)
			all = append(all, fp.p)
		}
	}
	return all
}

// damaged reports whether records of the program may be missing: a stream with
// a gap may have held some, unless the program was stated whole after it.
func (f *fold) damaged(fp *foldProgram, records []foldRecord) bool {
	for stream, gaps := range f.gaps {
		last := gaps[len(gaps)-1]
		if fp.base.stream == stream && fp.base.Lsn >= last {
			continue
		}
		newest := uint64(0)
		for _, r := range records {
			if r.stream == stream {
				newest = max(newest, r.Epoch)
			}
		}
		if newest > 0 && fp.base.Epoch > newest {
			continue
		}
		return true
	}
	return false
}

func (f *fold) apply(h *Host, own *ownedSlot, found map[ident.Program]*foldProgram, r foldRecord) {
	id := ident.Program(r.Program)
	fp := found[id]
	if fp == nil {
		fp = &foldProgram{p: newProgram(id, own, h.now)}
		found[id] = fp
		fp.p.corrupt = r.GetCreated() == nil // until a snapshot is whole
	}
	switch m := r.Body.(type) {
	case *peerpb.Record_Created:
		fp.base = r
		fp.p.created(m.Created, h.now)
	case *peerpb.Record_Snapshot:
		fp.partial = newPartial(h, own, id, m.Snapshot, r)
		fp.addTurns(m.Snapshot.Turns)
	case *peerpb.Record_Part:
		fp.addTurns(m.Part.Turns)
	case *peerpb.Record_Accepted:
		fp.open = &openCall{accepted: m.Accepted}
	case *peerpb.Record_Intent:
		fp.p.hold(m.Intent.Target, 0)
		if fp.open != nil && fp.open.accepted.Sequence == m.Intent.Sequence {
			fp.open.intents++
		}
	case *peerpb.Record_Finished:
		fp.finish(m.Finished)
		for q := fp; q != nil; q = found[q.p.parent] {
			q.p.spent += m.Finished.ChargedTokens
		}
	case *peerpb.Record_Ended:
		fp.p.ended, fp.p.reason, fp.p.endedAt = true, m.Ended.Reason, h.now
	case *peerpb.Record_Released:
		fp.p.unhold(m.Released.Target)
	}
}

// newPartial begins a program as a snapshot states it, without its turns.
func newPartial(h *Host, own *ownedSlot, id ident.Program, s *peerpb.ProgramSnapshot, r foldRecord) *foldProgram {
	next := &foldProgram{p: newProgram(id, own, h.now), base: r, missing: int(s.TurnCount)}
	next.p.created(s.Created, h.now)
	next.p.spent = s.SpentTokens
	for _, target := range s.Holders {
		next.p.hold(target, 0)
	}
	if s.Ended != "" {
		next.p.ended, next.p.reason, next.p.endedAt = true, s.Ended, h.now
	}
	return next
}

// addTurns adds turns to the snapshot under way; the last makes it count.
func (fp *foldProgram) addTurns(turns []*peerpb.Turn) {
	next := fp.partial
	if next == nil {
		return
	}
	for _, t := range turns {
		next.open = &openCall{accepted: t.Accepted}
		if t.Intent != nil {
			next.open.intents = int(t.Intent.Attempt)
		}
		if t.Finished != nil {
			next.finish(t.Finished) // its charge is in the snapshot's sum
		}
		next.missing--
	}
	if next.missing <= 0 {
		*fp = *next
	}
}

// finish closes the open call with its outcome.
func (fp *foldProgram) finish(m *peerpb.CallFinished) {
	if fp.open == nil || fp.open.accepted.Sequence != m.Sequence {
		fp.p.corrupt = true
		return
	}
	a := fp.open.accepted
	fp.open = nil
	t := finishedTurn(a, m)
	if !t.consumes() {
		return
	}
	if int(a.Sequence) != len(fp.p.turns) {
		fp.p.corrupt = true
		return
	}
	fp.p.addTurn(t)
}

// close settles a call that was open when its owner died. A non-idempotent call
// that may have been sent is never sent again; any other will run.
func (fp *foldProgram) close(h *Host) {
	if fp.open == nil || fp.p.corrupt || fp.p.ended {
		return
	}
	a := fp.open.accepted
	f := newFlight(fp.p, a, h.now)
	lost := fp.open.intents
	f.attempt = uint32(lost)
	f.lostAttempts = lost
	if lost > 0 && !a.Idempotent {
		f.failure = failure.Unknown(failure.OwnerLost, "the owner was lost after the call may have been sent")
	}
	fp.p.active = f
}

func finishedTurn(a *peerpb.CallAccepted, m *peerpb.CallFinished) *turn {
	t := &turn{
		accepted: a, answer: m.Answer, target: m.Target,
		usage: Usage{Prompt: m.PromptTokens, Output: m.OutputTokens, Cached: m.CachedTokens},
	}
	if m.FailureKind != "" {
		t.failure = &failure.Failure{
			Kind: failure.Kind(m.FailureKind), Ran: failure.Ran(m.Ran), Detail: m.FailureDetail,
			RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
		}
	}
	return t
}
