package host

import (
	"strconv"
	"time"

	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// drain starts a graceful stop: the member creates no new programs and hands
// every slot over to a peer, or leaves it unowned if there is none. Active
// calls, and the calls that wait behind them, are answered first.
func (h *Host) drain() { h.draining = true }

// handOverSlots moves slots of a table to peers: all of them during a drain, or
// when they belong to another data centre that is alive again; otherwise the
// excess over a fair share, so that a host that joined gets slots. It reports
// whether it started an update of the table.
func (h *Host) handOverSlots(t *slotTable) bool {
	h.selectMoves(t)
	movable := map[int]string{}
	for _, own := range h.ownedSlotsIn(t.DataCentre) {
		if own.state == slotMoving && own.activeCalls == 0 && own.lastLSN <= h.log.writer.DurableLSN() {
			movable[own.slot.Number] = own.newOwner
		}
	}
	if len(movable) == 0 {
		return false
	}
	lastSegment := h.log.writer.LastSegment()
	h.updateTable(t, func(next *SlotTable) {
		for number, newOwner := range movable {
			e := &next.Slots[number]
			delete(e.Streams, h.self)
			if lastSegment > 0 {
				e.Streams[h.self] = lastSegment
			}
			if newOwner == "" {
				e.Owner = ""
				continue
			}
			e.assign(newOwner)
		}
	}, func(ok bool) {
		if ok {
			h.addNote(Note{Kind: NoteHandover, Detail: strconv.Itoa(len(movable)) + " slots"})
		}
	})
	return true
}

// selectMoves marks the slots of a table that should move, and their new owners.
func (h *Host) selectMoves(t *slotTable) {
	counts := h.slotCounts(t)
	owned := h.ownedSlotsIn(t.DataCentre)
	foreign := t.DataCentre != h.cfg.DataCentre
	if h.draining || foreign {
		if foreign && !h.draining && len(counts) == 0 {
			return
		}
		for _, own := range owned {
			if own.state != slotLoading {
				h.startMove(own, counts)
			}
		}
		return
	}
	members := len(counts) + 1
	excess := len(owned) - (len(t.Slots)+members-1)/members
	for _, own := range owned {
		if own.state == slotMoving {
			excess--
		}
	}
	// An excess of one slot is tolerated, so that two hosts do not hand the same
	// slots back and forth.
	if excess <= 1 {
		return
	}
	for _, own := range owned {
		if excess > 0 && own.state == slotServing && own.activeCalls == 0 {
			h.startMove(own, counts)
			excess--
		}
	}
}

// slotCounts counts the slots of each peer of the table's data centre that can
// take more.
func (h *Host) slotCounts(t *slotTable) map[string]int {
	counts := map[string]int{}
	for _, p := range h.members.list {
		if p.dataCentre == t.DataCentre && h.isHeard(p) && !p.draining && !p.suspended {
			counts[p.name] = 0
		}
	}
	for _, e := range t.Slots {
		if _, ok := counts[e.Owner]; ok {
			counts[e.Owner]++
		}
	}
	return counts
}

// startMove marks a slot as moving to the peer with the fewest slots. Without a
// peer a draining member leaves the slot unowned, for the next member that
// joins.
func (h *Host) startMove(own *ownedSlot, counts map[string]int) {
	if _, alive := counts[own.newOwner]; own.state == slotMoving && alive {
		return
	}
	fewest := ""
	for _, name := range sortedKeys(counts) {
		if fewest == "" || counts[name] < counts[fewest] {
			fewest = name
		}
	}
	own.state, own.newOwner = slotMoving, fewest
	if fewest != "" {
		counts[fewest]++
	}
}

// tickDrain ends a graceful stop once no slot is owned and no call is active.
// The lease stays, marked as revoked by the member itself, while other members
// need its stream.
func (h *Host) tickDrain() {
	if !h.draining || h.ready.Drained || len(h.slots.owned) > 0 || h.slots.updating || len(h.activePrograms) > 0 {
		return
	}
	if h.lease.writing || h.now < h.nextRun.leaveAt {
		return
	}
	h.releaseLease()
}

// releaseLease marks the member's own lease as revoked and then says goodbye to
// its peers.
func (h *Host) releaseLease() {
	h.nextRun.leaveAt = h.now + releaseRetryDelay
	if !h.lease.acquired {
		h.sendGoodbye()
		return
	}
	h.lease.renewAt = h.now + time.Hour // no more renewals
	object := h.lease.object
	object.RevokedBy = h.self
	object.FirstSegment, object.LastSegment = h.log.firstNeeded, h.log.writer.LastSegment()
	h.lease.writing = true
	h.putObject(h.lease.key(h), h.lease.version, mustEncodeJSON(object), func(s OpStatus, _ uint64) {
		h.lease.writing = false
		if s == OpOK || s == OpConflict {
			h.sendGoodbye()
		}
	})
}

// sendGoodbye tells the peers that this member has left, and reports the end of
// the drain.
func (h *Host) sendGoodbye() {
	for _, p := range h.members.list {
		if !p.gone {
			h.send(p.address, &peerpb.Frame{Body: &peerpb.Frame_Goodbye{Goodbye: &peerpb.Goodbye{}}})
		}
	}
	h.ready.Drained = true
}
