// Package journal holds the segments in which a member's records are kept.
//
// A stream is the journal of one member: records numbered by lsn from 1, in
// segment objects numbered from 1. A segment is created once and never changed,
// so whoever creates the next number first decides how the stream goes on. A new
// owner ends a dead member's stream by creating the next segment as a seal.
package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// Prefix is the key prefix of all journal objects.
const Prefix = "journal/"

// headerSize is the magic and the CRC-32C of what follows.
const headerBytes = 8

var (
	segmentMagic    = [4]byte{'P', 'J', 'S', '1'}
	castagnoliTable = crc32.MakeTable(crc32.Castagnoli)
)

// StreamPrefix is the key prefix of the segments of a stream.
func StreamPrefix(stream string) string { return Prefix + stream + "/" }

// Key is the key of one segment. Keys sort as the numbers do.
func SegmentKey(stream string, number uint64) string {
	return fmt.Sprintf("%s%012d", StreamPrefix(stream), number)
}

// Number returns the segment number in a key.
func SegmentNumber(key string) (uint64, error) {
	n, err := strconv.ParseUint(key[strings.LastIndexByte(key, '/')+1:], 10, 64)
	if err != nil {
		return 0, failure.New(failure.Corrupt, "segment key %q", key)
	}
	return n, nil
}

// Encode gives the content of a segment object.
func Encode(segment *peerpb.Segment) ([]byte, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(make([]byte, headerBytes), segment)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "encode segment %d", segment.Number)
	}
	copy(body, segmentMagic[:])
	binary.BigEndian.PutUint32(body[4:], crc32.Checksum(body[headerBytes:], castagnoliTable))
	return body, nil
}

// Decode reads a segment object; a damaged one gives a failure of kind Corrupt.
func Decode(body []byte) (*peerpb.Segment, error) {
	if len(body) < headerBytes || [4]byte(body[:4]) != segmentMagic {
		return nil, failure.New(failure.Corrupt, "not a journal segment")
	}
	if binary.BigEndian.Uint32(body[4:]) != crc32.Checksum(body[headerBytes:], castagnoliTable) {
		return nil, failure.New(failure.Corrupt, "checksum of a journal segment differs")
	}
	segment := &peerpb.Segment{}
	if err := proto.Unmarshal(body[headerBytes:], segment); err != nil {
		return nil, failure.New(failure.Corrupt, "journal segment: %v", err)
	}
	return segment, nil
}

// Writer is the group-commit writer of one stream. At most one segment is
// under way; records that come meanwhile wait for the next.
type Writer struct {
	stream          string
	nonce           string
	maxSegmentBytes int
	lastLSN         uint64 // last given out
	durableLSN      uint64 // last in a segment at the platform
	lastSegment     uint64 // last segment written
	pending         []*peerpb.Record
	pendingSizes    []int
	pendingBytes    int
	inFlight        int // records of pending in the segment under way
	totalBytes      int64
}

// NewWriter returns the writer of an empty stream. nonce is unique to the
// writer, maxBytes bounds a segment.
func NewWriter(stream, nonce string, maxSegmentBytes int) *Writer {
	return &Writer{stream: stream, nonce: nonce, maxSegmentBytes: maxSegmentBytes}
}

// recordOverhead covers the framing of a record in a segment.
const recordOverheadBytes = 16

// Append gives the record its lsn and keeps it until it is durable.
func (w *Writer) Append(r *peerpb.Record) uint64 {
	w.lastLSN++
	r.Lsn = w.lastLSN
	bytes := proto.Size(r) + recordOverheadBytes
	w.pending = append(w.pending, r)
	w.pendingSizes = append(w.pendingSizes, bytes)
	w.pendingBytes += bytes
	return w.lastLSN
}

// Last is the lsn given out last.
func (w *Writer) LastLSN() uint64 { return w.lastLSN }

// Durable is the last lsn that is in a segment at the platform.
func (w *Writer) DurableLSN() uint64 { return w.durableLSN }

// Segment is the number of the last segment written.
func (w *Writer) LastSegment() uint64 { return w.lastSegment }

// Next is the number of the segment that the next record goes to, or a lower
// bound of it.
func (w *Writer) NextSegment() uint64 { return w.lastSegment + 1 }

// PendingBytes is the size of what is not yet at the platform.
func (w *Writer) PendingBytes() int { return w.pendingBytes }

// TotalBytes is the size of all that was written.
func (w *Writer) TotalBytes() int64 { return w.totalBytes }

// Since returns the records after lsn that are not yet at the platform, as many
// as maxBytes hold and at least one if there is any.
func (w *Writer) PendingAfter(lsn uint64, maxBytes int) []*peerpb.Record {
	from := uint64(0)
	if lsn > w.durableLSN {
		from = min(uint64(len(w.pending)), lsn-w.durableLSN)
	}
	bytes, to := 0, from
	for to < uint64(len(w.pending)) && (to == from || bytes+w.pendingSizes[to] <= maxBytes) {
		bytes += w.pendingSizes[to]
		to++
	}
	return w.pending[from:to]
}

// Begin starts the next segment with as many records as fit. ok is false when
// there is nothing to write or a segment is under way.
func (w *Writer) BeginSegment() (number uint64, body []byte, ok bool) {
	if w.inFlight > 0 || len(w.pending) == 0 {
		return 0, nil, false
	}
	bytes := 0
	for w.inFlight < len(w.pending) && (w.inFlight == 0 || bytes+w.pendingSizes[w.inFlight] <= w.maxSegmentBytes) {
		bytes += w.pendingSizes[w.inFlight]
		w.inFlight++
	}
	body, err := Encode(&peerpb.Segment{
		Stream: w.stream, Number: w.NextSegment(), Nonce: w.nonce, Records: w.pending[:w.inFlight],
	})
	if err != nil {
		w.inFlight = 0
		return 0, nil, false
	}
	return w.NextSegment(), body, true
}

// Done ends the segment under way; written says whether it is at the platform.
func (w *Writer) EndSegment(written bool, bodyBytes int) {
	if !written {
		w.inFlight = 0
		return
	}
	for _, s := range w.pendingSizes[:w.inFlight] {
		w.pendingBytes -= s
	}
	w.durableLSN = w.pending[w.inFlight-1].Lsn
	w.pending = append([]*peerpb.Record(nil), w.pending[w.inFlight:]...)
	w.pendingSizes = append([]int(nil), w.pendingSizes[w.inFlight:]...)
	w.lastSegment++
	w.inFlight = 0
	w.totalBytes += int64(bodyBytes)
}
