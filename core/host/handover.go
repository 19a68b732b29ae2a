package host

import (
	"strconv"
	"time"

	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// drain begins a graceful stop: no new programs, every slot to a peer. Calls
// under way, and those that wait behind them, are answered first.
func (h *Host) drain() { h.draining = true }

// handOver moves slots of a table to peers: all of them on a drain or when they
// belong to another data centre that is alive again, else the excess over a fair
// share, so that a host that joined gets work. It reports whether it updated the
// table.
func (h *Host) handOver(t *slotTable) bool {
	h.chooseMoves(t)
	ready := map[int]string{}
	for _, own := range h.mineIn(t.DataCentre) {
		if own.state == slotMoving && own.busy == 0 && own.lastLSN <= h.log.writer.DurableLSN() {
			ready[own.slot.Number] = own.to
		}
	}
	if len(ready) == 0 {
		return false
	}
	last := h.log.writer.LastSegment()
	h.updateTable(t, func(next *SlotTable) {
		for n, to := range ready {
			e := &next.Slots[n]
			delete(e.Streams, h.self)
			if last > 0 {
				e.Streams[h.self] = last
			}
			if to == "" {
				e.Owner = ""
				continue
			}
			e.assign(to)
		}
	}, func(ok bool) {
		if ok {
			h.note(Note{Kind: NoteHandover, Detail: strconv.Itoa(len(ready)) + " slots"})
		}
	})
	return true
}

// chooseMoves marks the slots of a table that should move, and to whom.
func (h *Host) chooseMoves(t *slotTable) {
	counts := h.slotCounts(t)
	mine := h.mineIn(t.DataCentre)
	away := t.DataCentre != h.cfg.DataCentre
	if h.draining || away {
		if away && !h.draining && len(counts) == 0 {
			return
		}
		for _, own := range mine {
			if own.state != slotLoading {
				h.move(own, counts)
			}
		}
		return
	}
	members := len(counts) + 1
	excess := len(mine) - (len(t.Slots)+members-1)/members
	for _, own := range mine {
		if own.state == slotMoving {
			excess--
		}
	}
	// One slot of slack keeps two hosts from handing the same slots to and fro.
	if excess <= 1 {
		return
	}
	for _, own := range mine {
		if excess > 0 && own.state == slotServing && own.busy == 0 {
			h.move(own, counts)
			excess--
		}
	}
}

// slotCounts counts the slots of each peer of the table's data centre that may
// get more.
func (h *Host) slotCounts(t *slotTable) map[string]int {
	counts := map[string]int{}
	for _, p := range h.members.list {
		if p.dataCentre == t.DataCentre && h.hears(p) && !p.draining && !p.suspended {
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

// move marks a slot for the peer with the fewest; without a peer a draining
// member leaves it unowned, for the next that joins.
func (h *Host) move(own *ownedSlot, counts map[string]int) {
	if _, alive := counts[own.to]; own.state == slotMoving && alive {
		return
	}
	best := ""
	for _, name := range sortedKeys(counts) {
		if best == "" || counts[name] < counts[best] {
			best = name
		}
	}
	own.state, own.to = slotMoving, best
	if best != "" {
		counts[best]++
	}
}

// tickDrain ends a graceful stop once nothing is owned or under way. The lease
// stays, marked by the member itself, while other members need its stream.
func (h *Host) tickDrain() {
	if !h.draining || h.ready.Drained || len(h.slots.mine) > 0 || h.slots.busy || len(h.active) > 0 {
		return
	}
	if h.lease.busy || h.now < h.paced.leave {
		return
	}
	h.leave()
}

func (h *Host) leave() {
	h.paced.leave = h.now + releaseRetry
	if !h.lease.held {
		h.sayGoodbye()
		return
	}
	h.lease.tryAt = h.now + time.Hour // no more renewals
	o := h.lease.object
	o.RevokedBy = h.self
	o.FirstSegment, o.LastSegment = h.log.firstKept, h.log.writer.LastSegment()
	h.lease.busy = true
	h.put(h.lease.key(h), h.lease.version, mustJSON(o), func(s OpStatus, _ uint64) {
		h.lease.busy = false
		if s == OpOK || s == OpConflict {
			h.sayGoodbye()
		}
	})
}

func (h *Host) sayGoodbye() {
	for _, p := range h.members.list {
		if !p.gone {
			h.send(p.address, &peerpb.Frame{Body: &peerpb.Frame_Goodbye{Goodbye: &peerpb.Goodbye{}}})
		}
	}
	h.ready.Drained = true
}
