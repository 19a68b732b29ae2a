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
	flight  *segmentFlight
	waits   []durableWait // in order of lsn

	tailPeer       string // where the tail is sent
	tailRegistered string // the same as the lease at the platform says
	tailSent       uint64
	tailAcked      uint64
	tailSentAt     time.Duration
	// secondPeer, of the own data centre, gets the tail too, without being waited
	// for: a new owner asks every peer, and finds it there if the first is away.
	secondPeer string
	secondSent uint64

	firstKept       uint64 // first segment of the stream that is needed
	firstRegistered uint64 // the same as the lease at the platform says
	firstExisting   uint64 // first segment not yet deleted
	cleanTo         uint64 // segments below are free once cleanLSN is durable
	cleanLSN        uint64
	deleting        bool
	cleanAt         time.Duration

	tails map[string]*heldTail // of other members, by stream
}

// segmentFlight is a segment under way. It is sent again unchanged until its
// outcome is known.
type segmentFlight struct {
	number uint64
	body   []byte
	busy   bool
}

// durableWait is what happens once a record is durable.
type durableWait struct {
	lsn    uint64
	flight *flight
	then   func(*flight)
	failAt time.Duration // when a failure is told without waiting any longer; 0 = never
}

// heldTail is the tail of another member's stream.
type heldTail struct {
	records []*peerpb.Record
	last    uint64
	sealed  bool // a new owner has read it: nothing more is taken
	touched time.Duration
}

const (
	tailResendAfter = 500 * time.Millisecond
	tailFrameBytes  = 1 << 20 // of one message to the tail peer
	tailKeepSealed  = 10 * time.Minute
	// failureWait is how long a failure waits for its record to be durable
	// before it is told as "ran: unknown".
	failureWait = time.Second
	cleanEvery  = time.Second
	// Cleaning begins when the stream has more segments, or more bytes beyond
	// twice the live ones, than these.
	cleanSegments = 128
	cleanSlack    = 4 << 20
	cleanBatch    = 32
)

// append writes a record of a program under its slot's epoch.
func (h *Host) append(p *program, r *peerpb.Record) uint64 {
	r.Program, r.Epoch = string(p.id), p.slot.epoch
	lsn := h.log.writer.Append(r)
	p.slot.lastLSN = lsn
	return lsn
}

// durable is the last lsn that is durable.
func (h *Host) durable() uint64 {
	d := h.log.writer.DurableLSN()
	if h.tailCounts() {
		d = max(d, h.log.tailAcked)
	}
	return d
}

// tailCounts reports whether the tail peer's word counts. A new owner asks the
// peer that the lease names; while the platform is out of reach the lease
// cannot name another, and the new owner asks all it hears.
func (h *Host) tailCounts() bool {
	return h.log.tailPeer != "" && h.mayServe() &&
		(h.log.tailRegistered == h.log.tailPeer || !h.ops.reachable)
}

// whenDurable calls then once lsn is durable, at once if it is.
func (h *Host) whenDurable(lsn uint64, f *flight, failAt time.Duration, then func(*flight)) {
	h.log.waits = append(h.log.waits, durableWait{lsn: lsn, flight: f, then: then, failAt: failAt})
}

func (h *Host) releaseWaits() {
	d := h.durable()
	n := 0
	for n < len(h.log.waits) && h.log.waits[n].lsn <= d {
		n++
	}
	if n == 0 {
		return
	}
	due := append([]durableWait(nil), h.log.waits[:n]...)
	h.log.waits = append(h.log.waits[:0], h.log.waits[n:]...)
	for _, w := range due {
		w.then(w.flight)
	}
}

func (h *Host) tickLog() {
	h.expireWaits()
	h.chooseTail()
	h.chooseSecond()
	if h.log.tailAcked < h.log.tailSent && h.now-h.log.tailSentAt > tailResendAfter {
		h.log.tailSent = h.log.tailAcked
		h.log.tailSentAt = h.now
	}
	if h.now >= h.log.flushAt {
		h.flush()
	}
	h.clean()
	for stream, t := range h.log.tails {
		if t.sealed && h.now-t.touched > tailKeepSealed {
			delete(h.log.tails, stream)
		}
	}
	h.releaseWaits()
}

// expireWaits tells failures whose record is still not durable. Such a failure
// cannot be "ran: no" any more: a new owner might not know of it and run the
// call.
func (h *Host) expireWaits() {
	kept := h.log.waits[:0]
	var due []durableWait
	for _, w := range h.log.waits {
		if w.failAt != 0 && h.now >= w.failAt {
			due = append(due, w)
			continue
		}
		kept = append(kept, w)
	}
	h.log.waits = kept
	for _, w := range due {
		w.flight.failure.Ran = failure.RanUnknown
		w.then(w.flight)
	}
}

// flush writes the next segment, or sends one of unknown outcome again.
func (h *Host) flush() {
	f := h.log.flight
	if f == nil {
		number, body, ok := h.log.writer.BeginSegment()
		if !ok {
			return
		}
		f = &segmentFlight{number: number, body: body}
		h.log.flight = f
	}
	if f.busy {
		return
	}
	f.busy = true
	h.log.flushAt = h.now + h.cfg.FlushInterval
	h.put(journal.SegmentKey(h.self, f.number), 0, f.body, func(s OpStatus, _ uint64) {
		f.busy = false
		switch s {
		case OpOK:
			h.log.flight = nil
			h.segmentWritten(len(f.body))
		case OpConflict:
			h.note(Note{Kind: NoteSealed, Member: h.self})
			h.lose("journal sealed by a new owner")
		}
	})
}

func (h *Host) segmentWritten(size int) {
	h.log.writer.EndSegment(true, size)
	h.stats.SegmentBytes += uint64(size)
	for _, keeper := range []string{h.log.tailPeer, h.log.secondPeer} {
		if p := h.members.peers[keeper]; p != nil {
			h.send(p.address, &peerpb.Frame{Body: &peerpb.Frame_TailTrim{TailTrim: &peerpb.TailTrim{
				Stream: h.self, Lsn: h.log.writer.DurableLSN(),
			}}})
		}
	}
	h.releaseWaits()
}

// chooseTail keeps a living peer as the keeper of the tail: one of another data
// centre first, so that the loss of a whole data centre loses no answer.
func (h *Host) chooseTail() {
	if p := h.members.peers[h.log.tailPeer]; p != nil && h.hears(p) && !p.draining && !h.local(p) {
		return
	}
	best := h.prefer(false, func(p *peer) bool { return h.hears(p) && !p.draining })
	if best == nil || best.name == h.log.tailPeer {
		return
	}
	if p := h.members.peers[h.log.tailPeer]; p != nil && h.hears(p) && !p.draining && h.local(best) {
		return // one local peer is as good as another
	}
	h.log.tailPeer = best.name
	h.log.tailSent, h.log.tailAcked = 0, 0
	h.lease.tryAt = min(h.lease.tryAt, h.now) // to name it in the lease
}

// shipTail sends the tail peer what it has not been sent.
func (h *Host) shipTail() {
	if h.ready.Lost {
		return
	}
	if sent := h.shipTo(h.log.tailPeer, h.log.tailSent); sent != h.log.tailSent {
		h.log.tailSent, h.log.tailSentAt = sent, h.now
	}
	h.log.secondSent = h.shipTo(h.log.secondPeer, h.log.secondSent)
}

// shipTo sends a peer the records after sent and returns the last one sent.
func (h *Host) shipTo(peer string, sent uint64) uint64 {
	p, w := h.members.peers[peer], h.log.writer
	if p == nil || sent >= w.LastLSN() {
		return sent
	}
	records := w.PendingAfter(sent, tailFrameBytes)
	if len(records) == 0 {
		return sent
	}
	h.send(p.address, &peerpb.Frame{Body: &peerpb.Frame_TailAppend{TailAppend: &peerpb.TailAppend{
		Stream: h.self, Records: records, Durable: w.DurableLSN(),
	}}})
	return records[len(records)-1].Lsn
}

// chooseSecond keeps a living peer of the own data centre as the second keeper.
func (h *Host) chooseSecond() {
	if p := h.members.peers[h.log.secondPeer]; p != nil && h.hears(p) && p.name != h.log.tailPeer {
		return
	}
	h.log.secondPeer, h.log.secondSent = "", 0
	second := h.prefer(true, func(p *peer) bool { return h.hears(p) && !p.draining && p.name != h.log.tailPeer })
	if second != nil {
		h.log.secondPeer = second.name
	}
}

func (h *Host) tailAppend(from *peer, m *peerpb.TailAppend) {
	if m.Stream != from.name {
		return
	}
	t := h.log.tails[m.Stream]
	if t == nil {
		t = &heldTail{}
		h.log.tails[m.Stream] = t
	}
	t.touched = h.now
	if t.sealed {
		return
	}
	t.last = max(t.last, m.Durable)
	for _, r := range m.Records {
		if r.Lsn == t.last+1 {
			t.records = append(t.records, r)
			t.last = r.Lsn
		}
	}
	h.send(from.address, &peerpb.Frame{Body: &peerpb.Frame_TailAck{TailAck: &peerpb.TailAck{Stream: m.Stream, Lsn: t.last}}})
}

func (h *Host) tailAck(from *peer, m *peerpb.TailAck) {
	if from.name != h.log.tailPeer || m.Stream != h.self {
		return
	}
	h.log.tailAcked = min(max(h.log.tailAcked, m.Lsn), h.log.writer.LastLSN())
	h.releaseWaits()
}

func (h *Host) tailTrim(m *peerpb.TailTrim) {
	t := h.log.tails[m.Stream]
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
func (h *Host) tailFetch(from *peer, m *peerpb.TailFetch) {
	t := h.log.tails[m.Stream]
	if t == nil {
		t = &heldTail{}
		h.log.tails[m.Stream] = t
	}
	t.sealed, t.touched = true, h.now
	h.send(from.address, &peerpb.Frame{Body: &peerpb.Frame_TailData{TailData: &peerpb.TailData{Stream: m.Stream, Records: t.records}}})
}

// clean frees the oldest segments: it carries their live programs forward, and
// deletes them once that is durable and the lease says so. Nothing is freed
// while the slots of another member need this stream.
func (h *Host) clean() {
	l := &h.log
	l.firstExisting = max(l.firstExisting, 1)
	if l.cleanTo != 0 && l.writer.DurableLSN() >= l.cleanLSN {
		l.firstKept, l.cleanTo = l.cleanTo, 0
	}
	if l.firstExisting < min(l.firstKept, l.firstRegistered) {
		h.deleteOldest()
	}
	if h.now < l.cleanAt || l.cleanTo != 0 || l.firstExisting < l.firstKept {
		return
	}
	l.cleanAt = h.now + cleanEvery
	if !h.cleaningDue() || h.othersNeed() {
		return
	}
	cut := min(l.firstKept+cleanBatch, l.writer.LastSegment())
	for _, own := range h.allMine() {
		for _, p := range sortedPrograms(own.programs) {
			if p.firstSegment < cut && !p.corrupt {
				h.snapshot(p)
			}
		}
	}
	l.cleanTo, l.cleanLSN = cut, l.writer.LastLSN()
}

func (h *Host) cleaningDue() bool {
	segments := h.log.writer.LastSegment() + 1 - h.log.firstKept
	if segments > cleanSegments {
		return true
	}
	if segments <= cleanBatch {
		return false
	}
	live := int64(0)
	for _, p := range h.programs {
		live += int64(p.size)
	}
	perSegment := h.log.writer.TotalBytes() / int64(max(1, h.log.writer.LastSegment()))
	return perSegment*int64(segments) > 2*live+cleanSlack
}

// othersNeed reports whether a slot that is not this member's needs its stream.
func (h *Host) othersNeed() bool {
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
func (h *Host) deleteOldest() {
	if h.log.deleting {
		return
	}
	h.log.deleting = true
	key := journal.SegmentKey(h.self, h.log.firstExisting)
	h.do(PlatformOp{Kind: OpDelete, Key: key}, func(r *PlatformReply) {
		h.log.deleting = false
		if r.Status == OpOK || r.Status == OpNotFound {
			h.log.firstExisting++
		}
	})
}
