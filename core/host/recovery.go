package host

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/journal"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// recovery reads the streams of newly owned slots and rebuilds their programs.
//
// The stream of a dead member is first ended with a seal: the next segment,
// which the member then fails to create if it is still running after all. Only after the
// seal is the tail of the stream requested from the peers that may keep it.
// Every step may be repeated.
type recovery struct {
	slots   map[int]*ownedSlot
	streams []*streamReader
	// generation identifies the current attempt; replies to earlier ones are
	// ignored.
	generation int
	retryAt    time.Duration
	attempts   int
	waiting    bool
}

// streamReader is the progress of reading one stream.
type streamReader struct {
	name         string
	lastToRead   uint64 // last segment to read; 0 to read to the end and seal
	nextSegment  uint64 // next segment to read
	lastExisting uint64 // segments up to this one certainly exist
	// hasBounds reports whether the bounds were read from the lease.
	hasBounds bool

	lastLSN      uint64
	gaps         []uint64 // LSNs from which records are missing
	records      []*peerpb.Record
	segmentsRead bool // all segments are read and the stream is sealed if necessary

	tailPeer         string // member that keeps the tail, as named by the lease
	tailRequestedAt  time.Duration
	tailReceivedFrom map[string]bool
	// tailPeerGone reports whether the tail peer's lease was found deleted;
	// tailLeaseCheckAt is when to read it again.
	tailPeerGone     bool
	tailLeaseCheckAt time.Duration
	tailMerged       bool
	tailRecords      []*peerpb.Record
}

const (
	recoveryRetryDelay = 200 * time.Millisecond
	// maxTailWait is how long a recovery waits for the tails of peers other than
	// the one that the lease names.
	maxTailWait = time.Second
	// maxRecoveryAttempts attempts to read an object that must exist take about
	// two minutes. After each attemptsPerBoundsRead attempts the bounds of the
	// stream are read again.
	maxRecoveryAttempts   = 600
	attemptsPerBoundsRead = 5
)

// recoverSlots starts the recovery of slots that this member has gained.
func (h *Host) recoverSlots(t *slotTable, gained []*ownedSlot) {
	r := &recovery{slots: map[int]*ownedSlot{}}
	lastToRead := map[string]uint64{}
	for _, own := range gained {
		r.slots[own.slot.Number] = own
		for stream, last := range t.Slots[own.slot.Number].Streams {
			if stream == h.self && last == 0 {
				continue // this member has written no record of the slot yet
			}
			if old, ok := lastToRead[stream]; ok && (old == 0 || last != 0 && old > last) {
				last = old
			}
			lastToRead[stream] = last
		}
	}
	for _, name := range slices.Sorted(maps.Keys(lastToRead)) {
		r.streams = append(r.streams, &streamReader{name: name, lastToRead: lastToRead[name], tailReceivedFrom: map[string]bool{}})
	}
	h.slots.recoveries = append(h.slots.recoveries, r)
	h.advanceRecovery(r)
}

// tickRecoveries continues the recoveries whose next step is due.
func (h *Host) tickRecoveries() {
	for _, r := range slices.Clone(h.slots.recoveries) {
		if h.now >= r.retryAt {
			h.advanceRecovery(r)
		}
	}
}

// advanceRecovery takes the next step that is not done.
func (h *Host) advanceRecovery(r *recovery) {
	if r.waiting && h.now < r.retryAt {
		return
	}
	r.generation++
	r.waiting = true
	r.retryAt = h.now + h.cfg.OperationTimeout + time.Second
	for _, s := range r.streams {
		if !s.segmentsRead {
			h.readStream(r, s)
			return
		}
		if !s.tailMerged && !h.collectTail(s) {
			r.retryAt = h.now + TickInterval
			return
		}
	}
	if h.declared() == nil && r.hasRecords() {
		r.retryAt = h.now + recoveryRetryDelay // calls cannot continue without a declaration
		return
	}
	h.slots.recoveries = slices.DeleteFunc(h.slots.recoveries, func(x *recovery) bool { return x == r })
	h.finishRecovery(r)
}

// hasRecords reports whether any record was read.
func (r *recovery) hasRecords() bool {
	return slices.ContainsFunc(r.streams, func(s *streamReader) bool { return len(s.records) > 0 })
}

// onReply wraps the handler of a reply to the current attempt. handle returns
// whether the recovery continues at once; otherwise the step is repeated after
// recoveryRetryDelay.
func (h *Host) onReply(r *recovery, handle func(*PlatformReply) bool) func(*PlatformReply) {
	generation := r.generation
	return func(reply *PlatformReply) {
		if generation != r.generation {
			return
		}
		r.waiting = false
		if handle(reply) {
			h.advanceRecovery(r)
			return
		}
		r.retryAt = h.now + recoveryRetryDelay
	}
}

// readStream takes the next step to read a stream: its bounds, a segment or the
// seal.
func (h *Host) readStream(r *recovery, s *streamReader) {
	switch {
	case !s.hasBounds:
		h.readBounds(r, s)
	case s.lastToRead != 0 && s.nextSegment > s.lastToRead:
		s.segmentsRead, s.tailMerged = true, true // handed over after all records were stored at the platform
		r.waiting = false
		h.advanceRecovery(r)
	case s.lastToRead != 0 || s.nextSegment <= s.lastExisting:
		h.readSegment(r, s)
	default:
		h.sealStream(r, s)
	}
}

// readBounds reads from the lease of the stream's member where the stream
// begins, which segments certainly exist, and who keeps its tail.
func (h *Host) readBounds(r *recovery, s *streamReader) {
	if s.name == h.self {
		s.setBounds(h.log.firstNeeded, h.log.writer.LastSegment())
		r.waiting = false
		h.advanceRecovery(r)
		return
	}
	key := LeaseKey(s.name)
	h.submitOp(PlatformOp{Kind: OpGet, Key: key}, h.onReply(r, func(reply *PlatformReply) bool {
		var l LeaseObject
		switch {
		case reply.Status == OpOK && json.Unmarshal(reply.Body, &l) == nil:
			s.tailPeer = l.TailPeer
			s.setBounds(max(1, l.FirstSegment), l.LastSegment)
			return true
		case reply.Status == OpNotFound:
			return r.skipMissing(h, s, "lease")
		}
		return false
	}))
}

// setBounds sets the segments that certainly exist. Segments before first were
// freed: their live records were written again in later ones.
func (s *streamReader) setBounds(first, last uint64) {
	s.hasBounds = true
	s.lastExisting = max(s.lastExisting, last)
	if first > s.nextSegment {
		s.nextSegment, s.lastLSN, s.gaps, s.records = first, 0, nil, nil
	}
}

// readSegment reads the next segment of a stream.
func (h *Host) readSegment(r *recovery, s *streamReader) {
	h.submitOp(PlatformOp{Kind: OpGet, Key: journal.SegmentKey(s.name, s.nextSegment)}, h.onReply(r, func(reply *PlatformReply) bool {
		switch reply.Status {
		case OpOK:
			h.addSegment(r, s, reply.Body)
			return true
		case OpNotFound: // a stale read, or the segment was freed since the bounds were read
			if r.skipMissing(h, s, "segment "+strconv.FormatUint(s.nextSegment, 10)) {
				return true
			}
			if r.attempts%attemptsPerBoundsRead == 0 {
				s.hasBounds = false
			}
		}
		return false
	}))
}

// skipMissing counts a failed read of an object that must exist. After
// maxRecoveryAttempts it returns true: the object is skipped, and its records
// count as missing.
func (r *recovery) skipMissing(h *Host, s *streamReader, object string) bool {
	r.attempts++
	if r.attempts < maxRecoveryAttempts {
		return false
	}
	h.addNote(Note{Kind: NoteCorrupt, Member: s.name, Detail: object + " is missing"})
	s.gaps = append(s.gaps, s.lastLSN+1)
	s.nextSegment++
	s.hasBounds = true
	r.attempts = 0
	return true
}

// addSegment adds the records of a segment. A damaged segment leaves a gap, a
// seal ends the stream.
func (h *Host) addSegment(r *recovery, s *streamReader, body []byte) {
	segment, err := journal.Decode(body)
	s.nextSegment++
	r.attempts = 0
	if err != nil {
		h.addNote(Note{Kind: NoteCorrupt, Member: s.name, Detail: err.Error()})
		s.gaps = append(s.gaps, s.lastLSN+1)
		return
	}
	if segment.Seal {
		s.segmentsRead = true
		return
	}
	s.records = append(s.records, segment.Records...)
	if n := len(segment.Records); n > 0 {
		s.lastLSN = segment.Records[n-1].Lsn
	}
}

// sealStream ends the stream of a dead member by creating its next segment as a
// seal.
func (h *Host) sealStream(r *recovery, s *streamReader) {
	body, err := journal.Encode(&peerpb.Segment{Stream: s.name, Number: s.nextSegment, Nonce: h.self, Seal: true})
	if err != nil {
		return
	}
	generation := r.generation
	h.putObject(journal.SegmentKey(s.name, s.nextSegment), 0, body, func(status OpStatus, _ uint64) {
		if generation != r.generation {
			return
		}
		r.waiting = false
		switch status {
		case OpOK:
			s.segmentsRead = true
			h.advanceRecovery(r)
		case OpConflict: // the dead member wrote another segment, or the stream is sealed already
			s.lastExisting = s.nextSegment
			h.advanceRecovery(r)
		default:
			r.retryAt = h.now + recoveryRetryDelay
		}
	})
}

// finishRecovery rebuilds the programs, writes them into this member's stream
// and starts to serve the slots.
func (h *Host) finishRecovery(r *recovery) {
	rb := newRebuilder(r.slots)
	for _, s := range r.streams {
		rb.addStream(s)
	}
	for _, p := range rb.programs(h) {
		h.addProgram(p)
	}
	for _, number := range slices.Sorted(maps.Keys(r.slots)) {
		own := r.slots[number]
		own.state, own.mayMissRecords = slotServing, rb.keepStreams
		h.carryForward(own, rb.keepStreams)
	}
	h.addNote(Note{Kind: NoteSlotsServing, Detail: strconv.Itoa(len(r.slots)) + " slots"})
	for _, number := range slices.Sorted(maps.Keys(r.slots)) {
		for _, p := range sortedPrograms(r.slots[number].programs) {
			h.resumeProgram(p)
		}
	}
}

// carryForward writes the programs of a slot into this member's stream, so that
// the older streams are no longer needed. If keepStreams is set or a program is
// corrupt, they are kept.
func (h *Host) carryForward(own *ownedSlot, keepStreams bool) {
	for _, p := range sortedPrograms(own.programs) {
		if p.corrupt {
			keepStreams = true
			continue
		}
		h.writeSnapshot(p)
	}
	own.carriedLSN = own.lastLSN
	if keepStreams {
		own.carriedLSN = neverLSN
	}
}

// sortedPrograms returns the programs sorted by identifier.
func sortedPrograms(m map[ident.Program]*program) []*program {
	return slices.SortedFunc(maps.Values(m), func(a, b *program) int { return cmp.Compare(a.id, b.id) })
}
