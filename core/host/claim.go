package host

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/journal"
)

// countLocalMembers counts the members of the data centre that may own slots,
// this one included.
func (h *Host) countLocalMembers() int {
	n := 0
	if !h.draining {
		n++
	}
	for _, p := range h.members.list {
		if h.isLocal(p) && h.isHeard(p) && !p.draining {
			n++
		}
	}
	return n
}

// fairShareWindow is how long a new member claims no more than its fair share of
// the unowned slots, so that members that start together share them.
const fairShareWindow = 3 * time.Second

// claimUnownedSlots claims slots without an owner: those of its own data centre,
// at first up to a fair share, and those of another data centre that has no live
// member. It reports whether it started an update of the table.
func (h *Host) claimUnownedSlots(t *slotTable) bool {
	if h.draining {
		return false
	}
	maxClaims := len(t.Slots)
	if t.DataCentre == h.cfg.DataCentre {
		maxClaims = h.maxUnownedClaims(t)
	} else if !h.isDataCentreDead(t.DataCentre) {
		return false
	}
	return h.claimSlots(t, maxClaims, func(e *SlotEntry) bool { return e.Owner == "" })
}

// maxUnownedClaims returns how many unowned slots of its own data centre this
// member may claim now.
func (h *Host) maxUnownedClaims(t *slotTable) int {
	if h.slots.fullClaimAt == 0 {
		h.slots.fullClaimAt = h.now + fairShareWindow
	}
	if h.now >= h.slots.fullClaimAt {
		return len(t.Slots)
	}
	members := max(1, h.countLocalMembers())
	return (len(t.Slots)+members-1)/members - len(h.ownedSlotsIn(t.DataCentre))
}

// isDataCentreDead reports whether every member of another data centre has been
// revoked for at least dataCentreDeadTimeout. Whoever revoked them has waited
// for the lease of the data centre to lapse.
func (h *Host) isDataCentreDead(dc string) bool {
	found := false
	for _, p := range h.members.list {
		if p.dataCentre != dc {
			continue
		}
		found = true
		if !p.revoked || h.now-p.revokedAt < dataCentreDeadTimeout {
			return false
		}
	}
	return found
}

// dataCentreDeadTimeout is how long all members of a data centre must have been
// revoked before other data centres claim its slots. A host that restarts takes
// its own slots back sooner.
const dataCentreDeadTimeout = 30 * time.Second

// minRemovalDelay is the minimum time for which the objects of a revoked member
// stay at the platform. By then every slot table that could still name its
// stream is known.
const minRemovalDelay = time.Minute

// claimSlotsOf claims the slots of a member whose lease is revoked. Members of
// its own data centre do so, and those of others once that data centre is dead.
// Every peer tries; the conditional update lets only one succeed.
func (h *Host) claimSlotsOf(p *peer) {
	if !h.holdsLease() || h.draining || h.slots.updating || h.now < p.leaseCheckAt || h.ownTable() == nil {
		return
	}
	p.leaseCheckAt = h.now + leaseCheckInterval
	if !h.isLocal(p) && !h.isDataCentreDead(p.dataCentre) {
		return
	}
	for _, dc := range sortedKeys(h.slots.tables) {
		t := h.slots.tables[dc]
		if h.claimSlots(t, len(t.Slots), func(e *SlotEntry) bool { return e.Owner == p.name }) {
			h.stats.Takeovers++
			h.addNote(Note{Kind: NoteTakeover, Member: p.name, Detail: "slots claimed"})
			return
		}
	}
	if h.now-p.revokedAt >= minRemovalDelay && h.slots.tables[p.dataCentre] != nil && !h.isStreamNeeded(p.name) {
		h.removeMember(p)
	}
}

// claimSlots claims up to maxClaims matching slots of a table under their next
// epoch. It reports whether it started the update.
func (h *Host) claimSlots(t *slotTable, maxClaims int, matches func(*SlotEntry) bool) bool {
	found := false
	for i := range t.Slots {
		found = found || matches(&t.Slots[i])
	}
	if !found || maxClaims <= 0 {
		return false
	}
	h.updateTable(t, func(next *SlotTable) {
		for i := range next.Slots {
			e := &next.Slots[i]
			if maxClaims <= 0 || !matches(e) {
				continue
			}
			maxClaims--
			if e.Owner != "" {
				e.Streams[e.Owner] = 0 // to be read to its end and sealed
			}
			e.assign(h.self)
		}
	}, nil)
	return true
}

// ownsSlots reports whether a known table names the peer as the owner of a slot.
func (h *Host) ownsSlots(p *peer) bool {
	for _, t := range h.slots.tables {
		for _, e := range t.Slots {
			if e.Owner == p.name {
				return true
			}
		}
	}
	return false
}

// isStreamNeeded reports whether a slot of any known table still needs the
// stream.
func (h *Host) isStreamNeeded(stream string) bool {
	for _, t := range h.slots.tables {
		for _, e := range t.Slots {
			if _, ok := e.Streams[stream]; ok {
				return true
			}
		}
	}
	return false
}

// removeMember deletes the objects of a dead member at the platform once no slot
// needs its stream. It deletes the lease last, so that other members find and
// finish the removal if this member dies before its end.
func (h *Host) removeMember(p *peer) {
	h.submitOp(PlatformOp{Kind: OpListKeys, Key: journal.StreamPrefix(p.name)}, func(r *PlatformReply) {
		if r.Status != OpOK {
			return
		}
		for _, o := range r.Objects {
			h.submitOp(PlatformOp{Kind: OpDelete, Key: o.Key}, ignoreReply)
		}
		if len(r.Objects) == 0 {
			h.submitOp(PlatformOp{Kind: OpDelete, Key: LeaseKey(p.name)}, ignoreReply)
			h.members.remove(p)
		}
	})
}

func ignoreReply(*PlatformReply) {}
