package host

import "github.com/pistachioarch/pistachioarch/core/journal"

// cleanJournal frees the oldest segments: it writes snapshots of their live
// programs, and deletes the segments once the snapshots are durable and the
// lease names the new first segment. It frees none while slots of another member
// need this stream.
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

// isCleaningDue reports whether the stream has grown beyond the limits for
// cleaning.
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

// isNeededByOthers reports whether a slot of another owner needs this member's
// stream. It is true as long as the table of the own data centre is not known.
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

// deleteOldestSegment deletes one segment. The next one is deleted only when
// this one is certainly gone.
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
