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
	h.slots.mine[slot] = own
	return h, own
}

// longProgram has so many turns of 50 kB each, and the records that made it.
func longProgram(h *Host, own *ownedSlot, turns int) *program {
	p := newProgram(ident.NewProgram(own.slot, "x"), own, 0)
	m := &peerpb.ProgramCreated{Caller: "c", Service: "s", BudgetTokens: 1 << 40}
	p.created(m, 0)
	h.adopt(p)
	h.append(p, &peerpb.Record{Body: &peerpb.Record_Created{Created: m}})
	for i := range turns {
		a := &peerpb.CallAccepted{Sequence: uint32(i), Service: "s", Idempotent: true, PromptTokens: 20, MaxTokens: 10, Prompt: make([]byte, 50_000)}
		f := &peerpb.CallFinished{Sequence: uint32(i), Answer: []byte{byte(i)}, PromptTokens: int64(20 + 30*i), OutputTokens: 10, ChargedTokens: 30}
		h.append(p, &peerpb.Record{Body: &peerpb.Record_Accepted{Accepted: a}})
		h.append(p, &peerpb.Record{Body: &peerpb.Record_Finished{Finished: f}})
		p.addTurn(finishedTurn(a, f))
		p.spent += 30
	}
	return p
}

func refold(t *testing.T, h *Host, records []*peerpb.Record, gaps ...uint64) *program {
	slot := ident.Slot{DataCentre: "a", Number: 3}
	f := newFold(map[int]*ownedSlot{3: {slot: slot, epoch: 2, programs: map[ident.Program]*program{}}})
	f.addStream(&streamReader{name: "m", records: records, gaps: gaps})
	all := f.programs(h)
	require.Len(t, all, 1)
	return all[0]
}

func assertSame(t *testing.T, want, got *program) {
	assert.False(t, got.corrupt)
	assert.Equal(t, want.spent, got.spent)
	assert.Equal(t, want.history, got.history)
	require.Len(t, got.turns, len(want.turns))
	for i := range want.turns {
		assert.Equal(t, want.turns[i].answer, got.turns[i].answer)
	}
}

func TestFoldRebuildsAProgram(t *testing.T) {
	h, own := newTestHost(t)
	p := longProgram(h, own, 5)
	assertSame(t, p, refold(t, h, h.log.writer.PendingAfter(0, 1<<30)))
}

// TestLongHistoriesFitSegments: a history larger than an object is carried
// forward in parts.
func TestLongHistoriesFitSegments(t *testing.T) {
	h, own := newTestHost(t)
	p := longProgram(h, own, 40)
	before := h.log.writer.LastLSN()
	h.snapshot(p)
	parts := h.log.writer.PendingAfter(before, 1<<30)
	assert.Greater(t, len(parts), 5)
	for _, r := range parts {
		assert.Less(t, proto.Size(r), h.cfg.MaxSegmentBytes)
	}
	assertSame(t, p, refold(t, h, parts))
}

// TestHalfASnapshotDoesNotCount: the owner died between the parts.
func TestHalfASnapshotDoesNotCount(t *testing.T) {
	h, own := newTestHost(t)
	p := longProgram(h, own, 40)
	h.snapshot(p)
	records := h.log.writer.PendingAfter(0, 1<<30)
	assertSame(t, p, refold(t, h, records[:len(records)-1]))
}

func TestGapMakesAProgramCorrupt(t *testing.T) {
	h, own := newTestHost(t)
	p := longProgram(h, own, 4)
	records := h.log.writer.PendingAfter(0, 1<<30)
	gap := records[3].Lsn
	assert.True(t, refold(t, h, append(append([]*peerpb.Record(nil), records[:3]...), records[5:]...), gap).corrupt)
	h.snapshot(p)
	all := h.log.writer.PendingAfter(0, 1<<30)
	assertSame(t, p, refold(t, h, append(append([]*peerpb.Record(nil), all[:3]...), all[5:]...), gap))
}
