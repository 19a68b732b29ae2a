package host

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

func newTestHost(t *testing.T) (*Host, *ownedSlot) {
	h, err := New(Config{Host: "h", DataCentre: "a", Incarnation: "1"})
	require.NoError(t, err)
	slot := ident.Slot{DataCentre: "a", Number: 3}
	own := &ownedSlot{slot: slot, epoch: 1, state: slotServing, programs: map[ident.Program]*program{}}
	h.slots.owned[slot] = own
	return h, own
}

// addLongProgram adds a program with the given number of turns of 50 kB each,
// and appends their records to the journal.
func addLongProgram(h *Host, own *ownedSlot, turns int) *program {
	p := newProgram(ident.NewProgram(own.slot, "x"), own, 0)
	m := &peerpb.ProgramCreated{Caller: "c", Service: "s", BudgetTokens: 1 << 40}
	p.setCreated(m, 0)
	h.addProgram(p)
	h.appendRecord(p, &peerpb.Record{Body: &peerpb.Record_Created{Created: m}})
	for i := range turns {
		a := &peerpb.CallAccepted{Sequence: uint32(i), Service: "s", Idempotent: true, PromptTokens: 20, MaxTokens: 10, Prompt: make([]byte, 50_000)}
		f := &peerpb.CallFinished{Sequence: uint32(i), Answer: []byte{byte(i)}, PromptTokens: int64(20 + 30*i), OutputTokens: 10, ChargedTokens: 30}
		h.appendRecord(p, &peerpb.Record{Body: &peerpb.Record_Accepted{Accepted: a}})
		h.appendRecord(p, &peerpb.Record{Body: &peerpb.Record_Finished{Finished: f}})
		p.addTurn(finishedTurn(a, f))
		p.spentTokens += 30
	}
	return p
}

func rebuildProgram(t *testing.T, h *Host, records []*peerpb.Record, gaps ...uint64) *program {
	slot := ident.Slot{DataCentre: "a", Number: 3}
	r := newRebuilder(map[int]*ownedSlot{3: {slot: slot, epoch: 2, programs: map[ident.Program]*program{}}})
	r.addStream(&streamReader{name: "m", records: records, gaps: gaps})
	all := r.programs(h)
	require.Len(t, all, 1)
	return all[0]
}

func assertSameProgram(t *testing.T, want, got *program) {
	assert.False(t, got.corrupt)
	assert.Equal(t, want.spentTokens, got.spentTokens)
	assert.Equal(t, want.historyTokens, got.historyTokens)
	require.Len(t, got.turns, len(want.turns))
	for i := range want.turns {
		assert.Equal(t, want.turns[i].answer, got.turns[i].answer)
	}
}

func TestProgramIsRebuiltFromItsRecords(t *testing.T) {
	h, own := newTestHost(t)
	p := addLongProgram(h, own, 5)
	assertSameProgram(t, p, rebuildProgram(t, h, h.log.writer.PendingAfter(0, 1<<30)))
}

// A history larger than an object is written as several snapshot records, each
// smaller than a segment.
func TestSnapshotOfALongHistoryIsSplitToFitSegments(t *testing.T) {
	h, own := newTestHost(t)
	p := addLongProgram(h, own, 40)
	before := h.log.writer.LastLSN()
	h.writeSnapshot(p)
	parts := h.log.writer.PendingAfter(before, 1<<30)
	assert.Greater(t, len(parts), 5)
	for _, r := range parts {
		assert.Less(t, proto.Size(r), h.cfg.MaxSegmentBytes)
	}
	assertSameProgram(t, p, rebuildProgram(t, h, parts))
}

// An owner that dies while it writes the parts of a snapshot leaves an
// incomplete one; the records before it must still rebuild the program.
func TestIncompleteSnapshotIsIgnored(t *testing.T) {
	h, own := newTestHost(t)
	p := addLongProgram(h, own, 40)
	h.writeSnapshot(p)
	records := h.log.writer.PendingAfter(0, 1<<30)
	assertSameProgram(t, p, rebuildProgram(t, h, records[:len(records)-1]))
}

// Missing records make a program corrupt, unless a later snapshot contains its
// whole state.
func TestGapMakesAProgramCorruptUnlessASnapshotFollows(t *testing.T) {
	h, own := newTestHost(t)
	p := addLongProgram(h, own, 4)
	records := h.log.writer.PendingAfter(0, 1<<30)
	gap := records[3].Lsn
	assert.True(t, rebuildProgram(t, h, append(append([]*peerpb.Record(nil), records[:3]...), records[5:]...), gap).corrupt)
	h.writeSnapshot(p)
	all := h.log.writer.PendingAfter(0, 1<<30)
	assertSameProgram(t, p, rebuildProgram(t, h, append(append([]*peerpb.Record(nil), all[:3]...), all[5:]...), gap))
}
