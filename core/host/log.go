package host

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/journal"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// commitLog is this member's journal stream and the tails it keeps for others.
//
// A record is durable when it is in a segment at the platform, or when the tail
// peer has acknowledged it while this member may serve. The tail is a write
// buffer in the memory of one peer, bounded by MaxTailBytes and trimmed as
// segments are written.
type commitLog struct {
	writer  *journal.Writer
	flushAt time.Duration
	segment *segmentWrite
	waits   []durableWait // in order of lsn

	tailPeer           string // where the tail is sent
	registeredTailPeer string // the same as the lease at the platform says
	tailSent           uint64
	tailAcked          uint64
	tailSentAt         time.Duration
	// secondPeer, of the own data centre, gets the tail too, without being waited
	// for: a new owner asks every peer, and finds it there if the first is away.
	secondTailPeer string
	secondTailSent uint64

	firstNeeded     uint64 // first segment of the stream that is needed
	registeredFirst uint64 // the same as the lease at the platform says
	firstExisting   uint64 // first segment not yet deleted
	cleanBefore     uint64 // segments below are free once cleanLSN is durable
	cleanLSN        uint64
	deleting        bool
	cleanAt         time.Duration

	peerTails map[string]*peerTail // of other members, by stream
}

// segmentFlight is a segment under way. It is sent again unchanged until its
// outcome is known.
type segmentWrite struct {
	number  uint64
	body    []byte
	writing bool
}

// durableWait is what happens once a record is durable.
type durableWait struct {
	lsn       uint64
	call      *call
	done      func(*call)
	timeoutAt time.Duration // when a failure is told without waiting any longer; 0 = never
}

// heldTail is the tail of another member's stream.
type peerTail struct {
	records []*peerpb.Record
	lastLSN uint64
	sealed  bool // a new owner has read it: nothing more is taken
	usedAt  time.Duration
}

const (
	tailAckTimeout      = 500 * time.Millisecond
	maxTailFrameBytes   = 1 << 20 // of one message to the tail peer
	sealedTailRetention = 10 * time.Minute
	// failureWait is how long a failure waits for its record to be durable
	// before it is told as "ran: unknown".
	maxFailureWait = time.Second
	cleanInterval  = time.Second
	// Cleaning begins when the stream has more segments, or more bytes beyond
	// twice the live ones, than these.
	maxUncleanedSegments = 128
	maxDeadBytes         = 4 << 20
	cleanBatchSegments   = 32
)

// append writes a record of a program under its slot's epoch.
func (h *Host) appendRecord(p *program, r *peerpb.Record) uint64 {
	r.Program, r.Epoch = string(p.id), p.slot.epoch
	lsn := h.log.writer.Append(r)
	p.slot.lastLSN = lsn
	return lsn
}

// durable is the last lsn that is durable.
func (h *Host) durableLSN() uint64 {
	d := h.log.writer.DurableLSN()
	if h.isTailDurable() {
		d = max(d, h.log.tailAcked)
	}
	return d
}

// tailCounts reports whether the tail peer's word counts. A new owner asks the
// peer that the lease names; while the platform is out of reach the lease
// cannot name another, and the new owner asks all it hears.
func (h *Host) isTailDurable() bool {
	return h.log.tailPeer != "" && h.mayServe() &&
		(h.log.registeredTailPeer == h.log.tailPeer || !h.ops.reachable)
}

// whenDurable calls then once lsn is durable, at once if it is.
func (h *Host) whenDurable(lsn uint64, c *call, timeoutAt time.Duration, done func(*call)) {
	h.log.waits = append(h.log.waits, durableWait{lsn: lsn, call: c, done: done, timeoutAt: timeoutAt})
}

func (h *Host) completeWaits() {
	durable := h.durableLSN()
	n := 0
	for n < len(h.log.waits) && h.log.waits[n].lsn <= durable {
		n++
	}
	if n == 0 {
		return
	}
	due := append([]durableWait(nil), h.log.waits[:n]...)
	h.log.waits = append(h.log.waits[:0], h.log.waits[n:]...)
	for _, w := range due {
		w.done(w.call)
	}
}

func (h *Host) tickLog() {
	h.timeOutWaits()
	h.selectTailPeer()
	h.selectSecondTailPeer()
	if h.log.tailAcked < h.log.tailSent && h.now-h.log.tailSentAt > tailAckTimeout {
		h.log.tailSent = h.log.tailAcked
		h.log.tailSentAt = h.now
	}
	if h.now >= h.log.flushAt {
		h.flush()
	}
	h.cleanJournal()
	for stream, t := range h.log.peerTails {
		if t.sealed && h.now-t.usedAt > sealedTailRetention {
			delete(h.log.peerTails, stream)
		}
	}
	h.completeWaits()
}

// expireWaits tells failures whose record is still not durable. Such a failure
// cannot be "ran: no" any more: a new owner might not know of it and run the
// call.
func (h *Host) timeOutWaits() {
	kept := h.log.waits[:0]
	var due []durableWait
	for _, w := range h.log.waits {
		if w.timeoutAt != 0 && h.now >= w.timeoutAt {
			due = append(due, w)
			continue
		}
		kept = append(kept, w)
	}
	h.log.waits = kept
	for _, w := range due {
		w.call.failure.Ran = failure.RanUnknown
		w.done(w.call)
	}
}

// flush writes the next segment, or sends one of unknown outcome again.
func (h *Host) flush() {
	segment := h.log.segment
	if segment == nil {
		number, body, ok := h.log.writer.BeginSegment()
		if !ok {
			return
		}
		segment = &segmentWrite{number: number, body: body}
		h.log.segment = segment
	}
	if segment.writing {
		return
	}
	segment.writing = true
	h.log.flushAt = h.now + h.cfg.FlushInterval
	h.putObject(journal.SegmentKey(h.self, segment.number), 0, segment.body, func(s OpStatus, _ uint64) {
		segment.writing = false
		switch s {
		case OpOK:
			h.log.segment = nil
			h.segmentWritten(len(segment.body))
		case OpConflict:
			h.addNote(Note{Kind: NoteSealed, Member: h.self})
			h.markLost("journal sealed by a new owner")
		}
	})
}

func (h *Host) segmentWritten(bodyBytes int) {
	h.log.writer.EndSegment(true, bodyBytes)
	h.stats.SegmentBytes += uint64(bodyBytes)
	for _, tailPeer := range []string{h.log.tailPeer, h.log.secondTailPeer} {
		if p := h.members.peers[tailPeer]; p != nil {
			h.send(p.address, &peerpb.Frame{Body: &peerpb.Frame_TailTrim{TailTrim: &peerpb.TailTrim{
				Stream: h.self, Lsn: h.log.writer.DurableLSN(),
			}}})
		}
	}
	h.completeWaits()
}

// chooseTail keeps a living peer as the keeper of the tail: one of another data
// centre first, so that the loss of a whole data centre loses no answer.
func (h *Host) selectTailPeer() {
	if p := h.members.peers[h.log.tailPeer]; p != nil && h.isHeard(p) && !p.draining && !h.isLocal(p) {
		return
	}
	candidate := h.selectPeer(false, func(p *peer) bool { return h.isHeard(p) && !p.draining })
	if candidate == nil || candidate.name == h.log.tailPeer {
		return
	}
	if p := h.members.peers[h.log.tailPeer]; p != nil && h.isHeard(p) && !p.draining && h.isLocal(candidate) {
		return // one local peer is as good as another
	}
	h.log.tailPeer = candidate.name
	h.log.tailSent, h.log.tailAcked = 0, 0
	h.lease.renewAt = min(h.lease.renewAt, h.now) // to name it in the lease
}

// shipTail sends the tail peer what it has not been sent.
func (h *Host) sendTail() {
	if h.ready.Lost {
		return
	}
	if sent := h.sendTailTo(h.log.tailPeer, h.log.tailSent); sent != h.log.tailSent {
		h.log.tailSent, h.log.tailSentAt = sent, h.now
	}
	h.log.secondTailSent = h.sendTailTo(h.log.secondTailPeer, h.log.secondTailSent)
}

// shipTo sends a peer the records after sent and returns the last one sent.
func (h *Host) sendTailTo(peer string, sent uint64) uint64 {
	p, w := h.members.peers[peer], h.log.writer
	if p == nil || sent >= w.LastLSN() {
		return sent
	}
	records := w.PendingAfter(sent, maxTailFrameBytes)
	if len(records) == 0 {
		return sent
	}
	h.send(p.address, &peerpb.Frame{Body: &peerpb.Frame_TailAppend{TailAppend: &peerpb.TailAppend{
		Stream: h.self, Records: records, Durable: w.DurableLSN(),
	}}})
	return records[len(records)-1].Lsn
}

// chooseSecond keeps a living peer of the own data centre as the second keeper.
func (h *Host) selectSecondTailPeer() {
	if p := h.members.peers[h.log.secondTailPeer]; p != nil && h.isHeard(p) && p.name != h.log.tailPeer {
		return
	}
	h.log.secondTailPeer, h.log.secondTailSent = "", 0
	second := h.selectPeer(true, func(p *peer) bool { return h.isHeard(p) && !p.draining && p.name != h.log.tailPeer })
	if second != nil {
		h.log.secondTailPeer = second.name
	}
}

func (h *Host) handleTailAppend(from *peer, m *peerpb.TailAppend) {
	if m.Stream != from.name {
		return
	}
	t := h.log.peerTails[m.Stream]
	if t == nil {
		t = &peerTail{}
		h.log.peerTails[m.Stream] = t
	}
	t.usedAt = h.now
	if t.sealed {
		return
	}
	t.lastLSN = max(t.lastLSN, m.Durable)
	for _, r := range m.Records {
		if r.Lsn == t.lastLSN+1 {
			t.records = append(t.records, r)
			t.lastLSN = r.Lsn
		}
	}
	h.send(from.address, &peerpb.Frame{Body: &peerpb.Frame_TailAck{TailAck: &peerpb.TailAck{Stream: m.Stream, Lsn: t.lastLSN}}})
}

func (h *Host) handleTailAck(from *peer, m *peerpb.TailAck) {
	if from.name != h.log.tailPeer || m.Stream != h.self {
		return
	}
	h.log.tailAcked = min(max(h.log.tailAcked, m.Lsn), h.log.writer.LastLSN())
	h.completeWaits()
}

func (h *Host) handleTailTrim(m *peerpb.TailTrim) {
	t := h.log.peerTails[m.Stream]
	if t == nil {
		return
	}
	n := 0
	for n < len(t.records) && t.records[n].Lsn <= m.Lsn {
		n++
	}
	t.records = append([]*peerpb.Record(nil), t.records[n:]...)
}

// tailFetch hands the tail to a new owner of the stream's slots and takes
// nothing more for it.
func (h *Host) handleTailFetch(from *peer, m *peerpb.TailFetch) {
	t := h.log.peerTails[m.Stream]
	if t == nil {
		t = &peerTail{}
		h.log.peerTails[m.Stream] = t
	}
	t.sealed, t.usedAt = true, h.now
	h.send(from.address, &peerpb.Frame{Body: &peerpb.Frame_TailData{TailData: &peerpb.TailData{Stream: m.Stream, Records: t.records}}})
}

// clean frees the oldest segments: it carries their live programs forward, and
// deletes them once that is durable and the lease says so. Nothing is freed
// while the slots of another member need this stream.
func (h *Host) cleanJournal() {
	l := &h.log
	l.firstExisting = max(l.firstExisting, 1)
	if l.cleanBefore != 0 && l.writer.DurableLSN() >= l.cleanLSN {
		l.firstNeeded, l.cleanBefore = l.cleanBefore, 0
	}
	if l.firstExisting < min(l.firstNeeded, l.registeredFirst) {
		h.deleteOldestSegment()
	}
	if h.now < l.cleanAt || l.cleanBefore != 0 || l.firstExisting < l.firstNeeded {
		return
	}
	l.cleanAt = h.now + cleanInterval
	if !h.isCleaningDue() || h.isNeededByOthers() {
		return
	}
	before := min(l.firstNeeded+cleanBatchSegments, l.writer.LastSegment())
	for _, own := range h.ownedSlots() {
		for _, p := range sortedPrograms(own.programs) {
			if p.firstSegment < before && !p.corrupt {
				h.writeSnapshot(p)
			}
		}
	}
	l.cleanBefore, l.cleanLSN = before, l.writer.LastLSN()
}

func (h *Host) isCleaningDue() bool {
	segments := h.log.writer.LastSegment() + 1 - h.log.firstNeeded
	if segments > maxUncleanedSegments {
		return true
	}
	if segments <= cleanBatchSegments {
		return false
	}
	live := int64(0)
	for _, p := range h.programs {
		live += int64(p.sizeBytes)
	}
	perSegment := h.log.writer.TotalBytes() / int64(max(1, h.log.writer.LastSegment()))
	return perSegment*int64(segments) > 2*live+maxDeadBytes
}

// othersNeed reports whether a slot that is not this member's needs its stream.
func (h *Host) isNeededByOthers() bool {
	for _, t := range h.slots.tables {
		for _, e := range t.Slots {
			if _, ok := e.Streams[h.self]; ok && e.Owner != h.self {
				return true
			}
		}
	}
	return h.ownTable() == nil
}

// deleteOldest deletes one segment; the next follows when it is surely gone.
func (h *Host) deleteOldestSegment() {
	if h.log.deleting {
		return
	}
	h.log.deleting = true
	key := journal.SegmentKey(h.self, h.log.firstExisting)
	h.submitOp(PlatformOp{Kind: OpDelete, Key: key}, func(r *PlatformReply) {
		h.log.deleting = false
		if r.Status == OpOK || r.Status == OpNotFound {
			h.log.firstExisting++
		}
	})
}
