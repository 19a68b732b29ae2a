// Package journal encodes and decodes the segments that hold a member's records,
// and groups the records of one member into segments.
//
// A stream is the journal of one member. Its records are numbered by log sequence
// number (LSN) from 1, its segment objects by segment number from 1. A segment is
// created once and never changed, so of several writers only the first creates a
// given number.
// A new owner ends the stream of a dead member by creating the next segment as a
// seal.
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

// headerBytes is the size of the header: the magic and the CRC-32C of the
// remaining bytes, big-endian, 4 bytes each.
const headerBytes = 8

var (
	segmentMagic    = [4]byte{'P', 'J', 'S', '1'}
	castagnoliTable = crc32.MakeTable(crc32.Castagnoli)
)

// StreamPrefix returns the key prefix of the segments of a stream.
func StreamPrefix(stream string) string { return Prefix + stream + "/" }

// SegmentKey returns the key of one segment. Keys of a stream sort by segment
// number.
func SegmentKey(stream string, number uint64) string {
	return fmt.Sprintf("%s%012d", StreamPrefix(stream), number)
}

// SegmentNumber returns the segment number in a key, or a failure of kind Corrupt
// if the key ends in no number.
func SegmentNumber(key string) (uint64, error) {
	n, err := strconv.ParseUint(key[strings.LastIndexByte(key, '/')+1:], 10, 64)
	if err != nil {
		return 0, failure.New(failure.Corrupt, "journal segment key %q does not end in a number", key)
	}
	return n, nil
}

// Encode returns the body of a segment object: the header and the segment as a
// protobuf message. The encoding is deterministic. It fails with kind Internal.
func Encode(segment *peerpb.Segment) ([]byte, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(make([]byte, headerBytes), segment)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "encode segment %d", segment.Number)
	}
	copy(body, segmentMagic[:])
	binary.BigEndian.PutUint32(body[4:], crc32.Checksum(body[headerBytes:], castagnoliTable))
	return body, nil
}

// Decode parses the body of a segment object. A damaged or truncated body gives a
// failure of kind Corrupt.
func Decode(body []byte) (*peerpb.Segment, error) {
	if len(body) < headerBytes || [4]byte(body[:4]) != segmentMagic {
		return nil, failure.New(failure.Corrupt, "journal segment has no valid header")
	}
	if binary.BigEndian.Uint32(body[4:]) != crc32.Checksum(body[headerBytes:], castagnoliTable) {
		return nil, failure.New(failure.Corrupt, "journal segment checksum mismatch")
	}
	segment := &peerpb.Segment{}
	if err := proto.Unmarshal(body[headerBytes:], segment); err != nil {
		return nil, failure.New(failure.Corrupt, "decode journal segment: %v", err)
	}
	return segment, nil
}

// Writer is the group-commit writer of one stream. At most one segment is being
// written at a time; records appended meanwhile go into a later segment. Not safe
// for concurrent use.
type Writer struct {
	stream          string
	nonce           string
	maxSegmentBytes int
	lastLSN         uint64 // LSN assigned last
	durableLSN      uint64 // last LSN in a segment stored at the platform
	lastSegment     uint64 // number of the last segment written
	pending         []*peerpb.Record
	pendingSizes    []int
	pendingBytes    int
	inFlight        int // number of pending records in the segment being written
	totalBytes      int64
}

// NewWriter returns the writer of an empty stream. nonce must be unique to the
// writer. maxSegmentBytes bounds the records of a segment; a larger single record
// gets a segment of its own.
func NewWriter(stream, nonce string, maxSegmentBytes int) *Writer {
	return &Writer{stream: stream, nonce: nonce, maxSegmentBytes: maxSegmentBytes}
}

// recordOverheadBytes covers the framing of a record in a segment.
const recordOverheadBytes = 16

// Append assigns the next LSN to the record, keeps the record until it is stored
// at the platform, and returns the LSN.
func (w *Writer) Append(r *peerpb.Record) uint64 {
	w.lastLSN++
	r.Lsn = w.lastLSN
	bytes := proto.Size(r) + recordOverheadBytes
	w.pending = append(w.pending, r)
	w.pendingSizes = append(w.pendingSizes, bytes)
	w.pendingBytes += bytes
	return w.lastLSN
}

// LastLSN returns the LSN assigned last, 0 before the first.
func (w *Writer) LastLSN() uint64 { return w.lastLSN }

// DurableLSN returns the last LSN in a segment stored at the platform.
func (w *Writer) DurableLSN() uint64 { return w.durableLSN }

// LastSegment returns the number of the last segment written, 0 before the first.
func (w *Writer) LastSegment() uint64 { return w.lastSegment }

// NextSegment returns the number of the next segment to write. It is a lower bound
// of the segment number of the next record.
func (w *Writer) NextSegment() uint64 { return w.lastSegment + 1 }

// PendingBytes returns the size of the records not yet stored at the platform.
func (w *Writer) PendingBytes() int { return w.pendingBytes }

// TotalBytes returns the size of all segments written.
func (w *Writer) TotalBytes() int64 { return w.totalBytes }

// PendingAfter returns the records after lsn that are not yet stored at the
// platform: as many as fit into maxBytes, and at least one if there is any.
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

// BeginSegment encodes the next segment with as many pending records as fit, at
// least one, and returns its number and body. ok is false if no record is pending,
// a segment is being written or the encoding fails. EndSegment must follow.
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

// EndSegment ends the write of the current segment. written reports whether it is
// stored at the platform; if not, BeginSegment starts it again under its number.
// bodyBytes is the size of its body.
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
