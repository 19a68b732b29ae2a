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

// rebuilder rebuilds programs from the records of one or more streams.
//
// All records of one epoch of a slot were written by one member. So the records
// of a slot, sorted by epoch and then LSN, are its history, independent of the
// streams that they come from.
type rebuilder struct {
	slots         map[int]*ownedSlot
	recordsBySlot map[int][]streamRecord
	// gaps maps a stream to the LSNs from which records are missing.
	gaps        map[string][]uint64
	keepStreams bool
}

// streamRecord is a record and the stream that it comes from.
type streamRecord struct {
	*peerpb.Record
	stream string
}

// rebuiltProgram is a program being rebuilt.
type rebuiltProgram struct {
	program *program
	// base is the record that contains the whole state of the program: its
	// creation or a snapshot.
	base     streamRecord
	openCall *openCall
	// snapshot is a newer snapshot of the program with parts still missing. If
	// they are never found, the state before the snapshot stays valid.
	snapshot     *rebuiltProgram
	missingTurns int // number of turns of snapshot still missing
}

// openCall is a call that was accepted and has no outcome.
type openCall struct {
	accepted *peerpb.CallAccepted
	attempts int
}

func newRebuilder(slots map[int]*ownedSlot) *rebuilder {
	return &rebuilder{slots: slots, recordsBySlot: map[int][]streamRecord{}, gaps: map[string][]uint64{}}
}

// addStream adds the records of a stream that belong to the slots.
func (r *rebuilder) addStream(s *streamReader) {
	for _, record := range s.records {
		slot, err := ident.Program(record.Program).Slot()
		if err != nil || r.slots[slot.Number] == nil {
			continue
		}
		r.recordsBySlot[slot.Number] = append(r.recordsBySlot[slot.Number], streamRecord{Record: record, stream: s.name})
	}
	if len(s.gaps) > 0 {
		r.gaps[s.name] = s.gaps
		r.keepStreams = true
	}
}

// programs returns the programs of all slots, sorted by slot number, then by
// identifier.
func (r *rebuilder) programs(h *Host) []*program {
	var all []*program
	for _, number := range slices.Sorted(maps.Keys(r.recordsBySlot)) {
		records := r.recordsBySlot[number]
		slices.SortStableFunc(records, func(a, b streamRecord) int {
			return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Lsn, b.Lsn))
		})
		found := map[ident.Program]*rebuiltProgram{}
		for _, record := range records {
			r.applyRecord(h, r.slots[number], found, record)
		}
		for _, id := range slices.Sorted(maps.Keys(found)) {
			rebuilt := found[id]
			rebuilt.program.corrupt = rebuilt.program.corrupt || r.mayMissRecords(rebuilt, records)
			rebuilt.settleOpenCall(h)
			all = append(all, rebuilt.program)
		}
	}
	return all
}

// mayMissRecords reports whether records of the program may be missing. A stream
// with a gap may have held some, unless the base record of the program follows
// the gap.
func (r *rebuilder) mayMissRecords(rebuilt *rebuiltProgram, records []streamRecord) bool {
	for stream, gaps := range r.gaps {
		lastGap := gaps[len(gaps)-1]
		if rebuilt.base.stream == stream && rebuilt.base.Lsn >= lastGap {
			continue
		}
		newestEpoch := uint64(0)
		for _, record := range records {
			if record.stream == stream {
				newestEpoch = max(newestEpoch, record.Epoch)
			}
		}
		if newestEpoch > 0 && rebuilt.base.Epoch > newestEpoch {
			continue
		}
		return true
	}
	return false
}

// applyRecord applies one record to its program.
func (r *rebuilder) applyRecord(h *Host, own *ownedSlot, found map[ident.Program]*rebuiltProgram, record streamRecord) {
	id := ident.Program(record.Program)
	rebuilt := found[id]
	if rebuilt == nil {
		rebuilt = &rebuiltProgram{program: newProgram(id, own, h.now)}
		found[id] = rebuilt
		rebuilt.program.corrupt = record.GetCreated() == nil // until a complete snapshot follows
	}
	switch m := record.Body.(type) {
	case *peerpb.Record_Created:
		rebuilt.base = record
		rebuilt.program.setCreated(m.Created, h.now)
	case *peerpb.Record_Snapshot:
		rebuilt.snapshot = newSnapshotProgram(h, own, id, m.Snapshot, record)
		rebuilt.addTurns(m.Snapshot.Turns)
	case *peerpb.Record_Part:
		rebuilt.addTurns(m.Part.Turns)
	case *peerpb.Record_Accepted:
		rebuilt.openCall = &openCall{accepted: m.Accepted}
	case *peerpb.Record_Intent:
		rebuilt.program.addCacheTarget(m.Intent.Target, 0)
		if rebuilt.openCall != nil && rebuilt.openCall.accepted.Sequence == m.Intent.Sequence {
			rebuilt.openCall.attempts++
		}
	case *peerpb.Record_Finished:
		rebuilt.finishCall(m.Finished)
		for ancestor := rebuilt; ancestor != nil; ancestor = found[ancestor.program.parent] {
			ancestor.program.spentTokens += m.Finished.ChargedTokens
		}
	case *peerpb.Record_Ended:
		rebuilt.program.ended, rebuilt.program.endReason, rebuilt.program.endedAt = true, m.Ended.Reason, h.now
	case *peerpb.Record_Released:
		rebuilt.program.removeCacheTarget(m.Released.Target)
	}
}

// newSnapshotProgram returns the program of a snapshot without its turns.
func newSnapshotProgram(h *Host, own *ownedSlot, id ident.Program, state *peerpb.ProgramSnapshot, record streamRecord) *rebuiltProgram {
	snapshot := &rebuiltProgram{program: newProgram(id, own, h.now), base: record, missingTurns: int(state.TurnCount)}
	snapshot.program.setCreated(state.Created, h.now)
	snapshot.program.spentTokens = state.SpentTokens
	for _, target := range state.Holders {
		snapshot.program.addCacheTarget(target, 0)
	}
	if state.Ended != "" {
		snapshot.program.ended, snapshot.program.endReason, snapshot.program.endedAt = true, state.Ended, h.now
	}
	return snapshot
}

// addTurns adds turns to the incomplete snapshot. With the last turn the
// snapshot replaces the state before it.
func (rp *rebuiltProgram) addTurns(turns []*peerpb.Turn) {
	snapshot := rp.snapshot
	if snapshot == nil {
		return
	}
	for _, t := range turns {
		snapshot.openCall = &openCall{accepted: t.Accepted}
		if t.Intent != nil {
			snapshot.openCall.attempts = int(t.Intent.Attempt)
		}
		if t.Finished != nil {
			snapshot.finishCall(t.Finished) // its charge is included in SpentTokens of the snapshot
		}
		snapshot.missingTurns--
	}
	if snapshot.missingTurns <= 0 {
		*rp = *snapshot
	}
}

// finishCall closes the open call with its outcome.
func (rp *rebuiltProgram) finishCall(m *peerpb.CallFinished) {
	if rp.openCall == nil || rp.openCall.accepted.Sequence != m.Sequence {
		rp.program.corrupt = true
		return
	}
	accepted := rp.openCall.accepted
	rp.openCall = nil
	t := finishedTurn(accepted, m)
	if !t.consumesSequence() {
		return
	}
	if int(accepted.Sequence) != len(rp.program.turns) {
		rp.program.corrupt = true
		return
	}
	rp.program.addTurn(t)
}

// settleOpenCall settles a call that was open when its owner died. A
// non-idempotent call that may have been sent is never sent again; any other
// call will run.
func (rp *rebuiltProgram) settleOpenCall(h *Host) {
	if rp.openCall == nil || rp.program.corrupt || rp.program.ended {
		return
	}
	accepted := rp.openCall.accepted
	c := newCall(rp.program, accepted, h.now)
	attempts := rp.openCall.attempts
	c.lastAttempt = uint32(attempts)
	c.lostAttempts = attempts
	if attempts > 0 && !accepted.Idempotent {
		c.failure = failure.Unknown(failure.OwnerLost, "the owner was lost, and the call may have been sent before")
	}
	rp.program.activeCall = c
}

// finishedTurn returns the turn of an accepted call and its outcome.
func finishedTurn(accepted *peerpb.CallAccepted, m *peerpb.CallFinished) *turn {
	t := &turn{
		accepted: accepted, answer: m.Answer, target: m.Target,
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
