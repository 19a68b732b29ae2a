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
// A stream whose member died is first ended with a seal: the next segment, which
// the dead member, should it wake, then fails to create. Only after the seal is
// the tail of the stream asked from the peers that may keep it. Every step may be
// repeated.
type recovery struct {
	slots   map[int]*ownedSlot
	streams []*streamReader
	// generation guards against answers to an attempt that was given up.
	generation int
	retryAt    time.Duration
	attempts   int
	waiting    bool
}

// streamReader is the progress through one stream.
type streamReader struct {
	name string
	upto uint64 // last segment to read; 0 means to the end, and seal
	next uint64 // segment to read next
	last uint64 // segments up to here surely exist
	// bounded says that the bounds were read from the lease.
	bounded bool

	lastLSN uint64
	gaps    []uint64 // lsn from which records are missing
	records []*peerpb.Record
	read    bool // all segments are read, the stream is sealed if need be

	tail      string // member that keeps the tail
	tailAsked time.Duration
	tailFrom  map[string]bool
	// tailGone says that the keeper has no lease any more; tailLookAt is when to
	// look for one again.
	tailGone   bool
	tailLookAt time.Duration
	tailDone   bool
	tailPart   []*peerpb.Record
}

const (
	recoveryRetry = 200 * time.Millisecond
	tailWait      = time.Second
	// recoveryAttempts to find an object that must exist take about two minutes;
	// after boundsAttempts the bounds of the stream are read again.
	recoveryAttempts = 600
	boundsAttempts   = 5
)

// recover starts the recovery of slots that became this member's.
func (h *Host) recover(t *slotTable, gained []*ownedSlot) {
	r := &recovery{slots: map[int]*ownedSlot{}}
	upto := map[string]uint64{}
	for _, own := range gained {
		r.slots[own.slot.Number] = own
		for stream, last := range t.Slots[own.slot.Number].Streams {
			if stream == h.self && last == 0 {
				continue // nothing was written for the slot yet
			}
			if old, ok := upto[stream]; ok && (old == 0 || last != 0 && old > last) {
				last = old
			}
			upto[stream] = last
		}
	}
	for _, name := range slices.Sorted(maps.Keys(upto)) {
		r.streams = append(r.streams, &streamReader{name: name, upto: upto[name], tailFrom: map[string]bool{}})
	}
	h.slots.recoveries = append(h.slots.recoveries, r)
	h.advanceRecovery(r)
}

func (h *Host) tickRecoveries() {
	for _, r := range slices.Clone(h.slots.recoveries) {
		if h.now >= r.retryAt {
			h.advanceRecovery(r)
		}
	}
}

// advanceRecovery does the next step that has not been done.
func (h *Host) advanceRecovery(r *recovery) {
	if r.waiting && h.now < r.retryAt {
		return
	}
	r.generation++
	r.waiting = true
	r.retryAt = h.now + h.cfg.OperationTimeout + time.Second
	for _, s := range r.streams {
		if !s.read {
			h.readStream(r, s)
			return
		}
		if !s.tailDone && !h.collectTail(s) {
			r.retryAt = h.now + TickInterval
			return
		}
	}
	if h.set() == nil && r.found() {
		r.retryAt = h.now + recoveryRetry // calls cannot go on without a declaration
		return
	}
	h.slots.recoveries = slices.DeleteFunc(h.slots.recoveries, func(x *recovery) bool { return x == r })
	h.finishRecovery(r)
}

// found reports whether any record was read.
func (r *recovery) found() bool {
	return slices.ContainsFunc(r.streams, func(s *streamReader) bool { return len(s.records) > 0 })
}

// step wraps the answer to an operation of the current attempt. A handler
// returns whether to go on at once; otherwise the step is tried again later.
func (h *Host) step(r *recovery, handle func(*PlatformReply) bool) func(*PlatformReply) {
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
		r.retryAt = h.now + recoveryRetry
	}
}

func (h *Host) readStream(r *recovery, s *streamReader) {
	switch {
	case !s.bounded:
		h.readBounds(r, s)
	case s.upto != 0 && s.next > s.upto:
		s.read, s.tailDone = true, true // handed over: all was at the platform
		r.waiting = false
		h.advanceRecovery(r)
	case s.upto != 0 || s.next <= s.last:
		h.readSegment(r, s)
	default:
		h.seal(r, s)
	}
}

// readBounds learns from the lease of the stream's member where the stream
// begins, how far it surely goes, and who keeps its tail.
func (h *Host) readBounds(r *recovery, s *streamReader) {
	if s.name == h.self {
		s.bound(h.log.firstKept, h.log.writer.LastSegment())
		r.waiting = false
		h.advanceRecovery(r)
		return
	}
	key := LeaseKey(s.name)
	h.do(PlatformOp{Kind: OpGet, Key: key}, h.step(r, func(reply *PlatformReply) bool {
		var l LeaseObject
		switch {
		case reply.Status == OpOK && json.Unmarshal(reply.Body, &l) == nil:
			s.tail = l.TailPeer
			s.bound(max(1, l.FirstSegment), l.LastSegment)
			return true
		case reply.Status == OpNotFound:
			return r.givesUp(h, s, "lease")
		}
		return false
	}))
}

// bound notes how far the stream surely goes. Segments before first were freed:
// their live records stand again in later ones.
func (s *streamReader) bound(first, last uint64) {
	s.bounded = true
	s.last = max(s.last, last)
	if first > s.next {
		s.next, s.lastLSN, s.gaps, s.records = first, 0, nil, nil
	}
}

func (h *Host) readSegment(r *recovery, s *streamReader) {
	h.do(PlatformOp{Kind: OpGet, Key: journal.SegmentKey(s.name, s.next)}, h.step(r, func(reply *PlatformReply) bool {
		switch reply.Status {
		case OpOK:
			h.takeSegment(r, s, reply.Body)
			return true
		case OpNotFound: // a stale read, or freed since the bounds were read
			if r.givesUp(h, s, "segment "+strconv.FormatUint(s.next, 10)) {
				return true
			}
			if r.attempts%boundsAttempts == 0 {
				s.bounded = false
			}
		}
		return false
	}))
}

// givesUp counts a failed look for something that must exist. After many it
// reports true and the records that should be there count as missing.
func (r *recovery) givesUp(h *Host, s *streamReader, what string) bool {
	r.attempts++
	if r.attempts < recoveryAttempts {
		return false
	}
	h.note(Note{Kind: NoteCorrupt, Member: s.name, Detail: what + " is missing"})
	s.gaps = append(s.gaps, s.lastLSN+1)
	s.next++
	s.bounded = true
	r.attempts = 0
	return true
}

func (h *Host) takeSegment(r *recovery, s *streamReader, body []byte) {
	seg, err := journal.Decode(body)
	s.next++
	r.attempts = 0
	if err != nil {
		h.note(Note{Kind: NoteCorrupt, Member: s.name, Detail: err.Error()})
		s.gaps = append(s.gaps, s.lastLSN+1)
		return
	}
	if seg.Seal {
		s.read = true
		return
	}
	s.records = append(s.records, seg.Records...)
	if n := len(seg.Records); n > 0 {
		s.lastLSN = seg.Records[n-1].Lsn
	}
}

// seal ends the stream of a dead member by creating its next segment.
func (h *Host) seal(r *recovery, s *streamReader) {
	body, err := journal.Encode(&peerpb.Segment{Stream: s.name, Number: s.next, Nonce: h.self, Seal: true})
	if err != nil {
		return
	}
	generation := r.generation
	h.put(journal.SegmentKey(s.name, s.next), 0, body, func(status OpStatus, _ uint64) {
		if generation != r.generation {
			return
		}
		r.waiting = false
		switch status {
		case OpOK:
			s.read = true
			h.advanceRecovery(r)
		case OpConflict: // the dead member wrote one more, or a seal stands
			s.last = s.next
			h.advanceRecovery(r)
		default:
			r.retryAt = h.now + recoveryRetry
		}
	})
}

// finishRecovery rebuilds the programs, carries them forward and serves.
func (h *Host) finishRecovery(r *recovery) {
	f := newFold(r.slots)
	for _, s := range r.streams {
		f.addStream(s)
	}
	for _, p := range f.programs(h) {
		h.adopt(p)
	}
	for _, n := range slices.Sorted(maps.Keys(r.slots)) {
		own := r.slots[n]
		own.state, own.damaged = slotServing, f.keepStreams
		h.carryForward(own, f.keepStreams)
	}
	h.note(Note{Kind: NoteSlotsServing, Detail: strconv.Itoa(len(r.slots)) + " slots"})
	for _, n := range slices.Sorted(maps.Keys(r.slots)) {
		for _, p := range sortedPrograms(r.slots[n].programs) {
			h.resume(p)
		}
	}
}

// carryForward writes the programs of a slot into this member's own stream, so
// that the older streams can be let go.
func (h *Host) carryForward(own *ownedSlot, keep bool) {
	for _, p := range sortedPrograms(own.programs) {
		if p.corrupt {
			keep = true
			continue
		}
		h.snapshot(p)
	}
	own.carried = own.lastLSN
	if keep {
		own.carried = noLSN
	}
}

func sortedPrograms(m map[ident.Program]*program) []*program {
	return slices.SortedFunc(maps.Values(m), func(a, b *program) int { return cmp.Compare(a.id, b.id) })
}
