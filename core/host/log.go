package host

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/journal"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// commitLog is this member's journal stream and the tails it keeps for other
// members.
//
// A record is durable when it is in a segment at the platform, or when the tail
// peer has acknowledged it while this member may serve. The tail is a write
// buffer in the memory of one peer, bounded by MaxTailBytes and trimmed as
// segments are written.
type commitLog struct {
	writer  *journal.Writer
	flushAt time.Duration
	segment *segmentWrite
	waits   []durableWait // in order of LSN

	tailPeer           string // member that the tail is sent to
	registeredTailPeer string // the tail peer that the lease at the platform names
	tailSent           uint64
	tailAcked          uint64
	tailSentAt         time.Duration
	// secondTailPeer, of the same data centre, gets the tail too, but its
	// acknowledgements do not count. A new owner requests the tail from every
	// peer, and finds it there if the tail peer cannot be reached.
	secondTailPeer string
	secondTailSent uint64

	firstNeeded     uint64 // first segment of the stream still needed
	registeredFirst uint64 // the first segment that the lease at the platform names
	firstExisting   uint64 // first segment not yet deleted
	cleanBefore     uint64 // segments before it can be freed once cleanLSN is durable
	cleanLSN        uint64
	deleting        bool
	cleanAt         time.Duration

	peerTails map[string]*peerTail // tails of other members, by stream
}

// segmentWrite is a segment being written. It is sent again unchanged until its
// outcome is known.
type segmentWrite struct {
	number  uint64
	body    []byte
	writing bool
}

// durableWait is an action that waits for a record to be durable.
type durableWait struct {
	lsn       uint64
	call      *call
	done      func(*call)
	timeoutAt time.Duration // when a failure is reported without waiting longer; 0 = never
}

// peerTail is the tail of another member's stream.
type peerTail struct {
	records []*peerpb.Record
	lastLSN uint64
	sealed  bool // a new owner has read it; it accepts no more records
	usedAt  time.Duration
}

const (
	tailAckTimeout      = 500 * time.Millisecond
	maxTailFrameBytes   = 1 << 20 // of the records in one message
	sealedTailRetention = 10 * time.Minute
	// maxFailureWait is how long a failure waits for its record to be durable.
	// After that it is reported as "ran: unknown".
	maxFailureWait = time.Second
	cleanInterval  = time.Second
	// Cleaning starts when the stream has more than maxUncleanedSegments
	// segments, or its bytes exceed twice the live bytes by more than
	// maxDeadBytes. One round frees up to cleanBatchSegments segments.
	maxUncleanedSegments = 128
	maxDeadBytes         = 4 << 20
	cleanBatchSegments   = 32
)

// appendRecord appends a record of a program under its slot's epoch and returns
// its LSN.
func (h *Host) appendRecord(p *program, r *peerpb.Record) uint64 {
	r.Program, r.Epoch = string(p.id), p.slot.epoch
	lsn := h.log.writer.Append(r)
	p.slot.lastLSN = lsn
	return lsn
}

// durableLSN returns the last durable LSN.
func (h *Host) durableLSN() uint64 {
	d := h.log.writer.DurableLSN()
	if h.isTailDurable() {
		d = max(d, h.log.tailAcked)
	}
	return d
}

// isTailDurable reports whether records acknowledged by the tail peer count as
// durable. A new owner requests the tail from the peer that the lease names.
// While the platform is unreachable the lease cannot name another peer, and the
// new owner requests it from all live peers.
func (h *Host) isTailDurable() bool {
	return h.log.tailPeer != "" && h.mayServe() &&
		(h.log.registeredTailPeer == h.log.tailPeer || !h.ops.reachable)
}

// whenDurable calls done with c once lsn is durable, in this Step or a later
// one. At timeoutAt, if not 0, done is called anyway and the failure of c
// becomes "ran: unknown".
func (h *Host) whenDurable(lsn uint64, c *call, timeoutAt time.Duration, done func(*call)) {
	h.log.waits = append(h.log.waits, durableWait{lsn: lsn, call: c, done: done, timeoutAt: timeoutAt})
}

// completeWaits runs the actions whose records are durable.
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

// tickLog does the periodic work of the journal: it selects the tail peers,
// sends unacknowledged records again, writes segments and frees old ones.
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

// timeOutWaits reports failures whose record is still not durable at their
// timeout. Such a failure is no longer "ran: no": a new owner that lacks
// the record may run the call.
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

// flush writes the next segment, or repeats one whose outcome is unknown.
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
			h.markLost("journal stream sealed by a new owner")
		}
	})
}

// segmentWritten counts a stored segment and lets the tail peers trim its
// records.
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

// selectTailPeer keeps a live peer as the tail peer, preferably of another data
// centre, so that the loss of a whole data centre loses no answer.
func (h *Host) selectTailPeer() {
	if p := h.members.peers[h.log.tailPeer]; p != nil && h.isHeard(p) && !p.draining && !h.isLocal(p) {
		return
	}
	candidate := h.selectPeer(false, func(p *peer) bool { return h.isHeard(p) && !p.draining })
	if candidate == nil || candidate.name == h.log.tailPeer {
		return
	}
	if p := h.members.peers[h.log.tailPeer]; p != nil && h.isHeard(p) && !p.draining && h.isLocal(candidate) {
		return // a local peer is no better than the present one
	}
	h.log.tailPeer = candidate.name
	h.log.tailSent, h.log.tailAcked = 0, 0
	h.lease.renewAt = min(h.lease.renewAt, h.now) // the lease must name the new tail peer
}

// sendTail sends both tail peers the records that they have not been sent.
func (h *Host) sendTail() {
	if h.ready.Lost {
		return
	}
	if sent := h.sendTailTo(h.log.tailPeer, h.log.tailSent); sent != h.log.tailSent {
		h.log.tailSent, h.log.tailSentAt = sent, h.now
	}
	h.log.secondTailSent = h.sendTailTo(h.log.secondTailPeer, h.log.secondTailSent)
}

// sendTailTo sends a peer the records after LSN sent, up to maxTailFrameBytes,
// and returns the last LSN sent.
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

// selectSecondTailPeer keeps a live peer of the same data centre as the second
// tail peer.
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

// handleTailAppend stores records of a peer's tail in LSN order and acknowledges
// them, unless the tail is sealed.
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

// handleTailAck records what the tail peer has stored.
func (h *Host) handleTailAck(from *peer, m *peerpb.TailAck) {
	if from.name != h.log.tailPeer || m.Stream != h.self {
		return
	}
	h.log.tailAcked = min(max(h.log.tailAcked, m.Lsn), h.log.writer.LastLSN())
	h.completeWaits()
}

// handleTailTrim drops the records of a tail that are stored at the platform.
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

// handleTailFetch sends the tail to a new owner of the stream's slots and seals
// it, so that it accepts no more records.
func (h *Host) handleTailFetch(from *peer, m *peerpb.TailFetch) {
	t := h.log.peerTails[m.Stream]
	if t == nil {
		t = &peerTail{}
		h.log.peerTails[m.Stream] = t
	}
	t.sealed, t.usedAt = true, h.now
	h.send(from.address, &peerpb.Frame{Body: &peerpb.Frame_TailData{TailData: &peerpb.TailData{Stream: m.Stream, Records: t.records}}})
}
