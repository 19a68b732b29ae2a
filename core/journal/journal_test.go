package journal

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

func newRecord(program string, bytes int) *peerpb.Record {
	return &peerpb.Record{Program: program, Body: &peerpb.Record_Accepted{Accepted: &peerpb.CallAccepted{Prompt: make([]byte, bytes)}}}
}

func TestWriterFillsOneSegmentAtATime(t *testing.T) {
	w := NewWriter("s", "n", 4096)
	for range 10 {
		w.Append(newRecord("p", 1000))
	}
	number, body, ok := w.BeginSegment()
	require.True(t, ok)
	assert.EqualValues(t, 1, number)
	segment, err := Decode(body)
	require.NoError(t, err)
	assert.Len(t, segment.Records, 3, "as many records as fit into a segment")
	_, _, again := w.BeginSegment()
	assert.False(t, again, "a second segment starts while one is being written")
	w.EndSegment(false, 0)
	assert.Zero(t, w.DurableLSN())
	number, body, _ = w.BeginSegment()
	assert.EqualValues(t, 1, number, "a failed write keeps the segment number")
	w.EndSegment(true, len(body))
	assert.EqualValues(t, 3, w.DurableLSN())
	assert.Len(t, w.PendingAfter(0, 1<<20), 7)
	assert.Len(t, w.PendingAfter(8, 1<<20), 2)
	assert.Len(t, w.PendingAfter(8, 1), 1)
	assert.EqualValues(t, 4, w.PendingAfter(0, 1<<20)[0].Lsn)
}

func TestRecordLargerThanASegmentIsWrittenAlone(t *testing.T) {
	w := NewWriter("s", "n", 1024)
	w.Append(newRecord("p", 5000))
	_, body, ok := w.BeginSegment()
	require.True(t, ok)
	segment, err := Decode(body)
	require.NoError(t, err)
	assert.Len(t, segment.Records, 1)
}

func TestDecodeRejectsDamagedAndTruncatedSegments(t *testing.T) {
	body, err := Encode(&peerpb.Segment{Stream: "s", Number: 7, Records: []*peerpb.Record{newRecord("p", 100)}})
	require.NoError(t, err)
	for i := range body {
		damaged := append([]byte(nil), body...)
		damaged[i] ^= 0x40
		_, err := Decode(damaged)
		assert.True(t, failure.Is(err, failure.Corrupt), "byte %d damaged", i)
		_, err = Decode(body[:i])
		assert.True(t, failure.Is(err, failure.Corrupt), "truncated to %d bytes", i)
	}
}

func TestSegmentKeysSortByNumber(t *testing.T) {
	assert.Less(t, SegmentKey("s", 9), SegmentKey("s", 10))
	n, err := SegmentNumber(SegmentKey("dc/h.1", 42))
	require.NoError(t, err)
	assert.EqualValues(t, 42, n)
	_, err = SegmentNumber("journal/s/x")
	assert.True(t, failure.Is(err, failure.Corrupt))
}

func FuzzDecode(f *testing.F) {
	body, _ := Encode(&peerpb.Segment{Stream: "s", Number: 1, Records: []*peerpb.Record{newRecord("p", 10)}})
	f.Add(body)
	f.Add([]byte("PJS1"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Decode(b); err == nil && s == nil {
			t.Fatal("Decode returned neither a segment nor an error")
		}
	})
}
