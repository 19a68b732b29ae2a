package host

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// SlotsPrefix is the key prefix of the slot tables, one object per data centre.
const SlotsPrefix = SharedPrefix + "slots/"

// SlotTable maps the slots of one data centre to their owners, as stored at the
// platform, encoded as JSON.
type SlotTable struct {
	DataCentre string `json:"data_centre"`
	// Writer is unique to each write, so that a write whose reply was lost can
	// be recognised.
	Writer string      `json:"writer"`
	Slots  []SlotEntry `json:"slots"`
}

// SlotEntry is the ownership of one slot.
type SlotEntry struct {
	// Owner is a member, or empty.
	Owner string `json:"owner"`
	// Epoch grows by one with each change of owner.
	Epoch uint64 `json:"epoch"`
	// Streams maps the journal streams with records of the slot to the number of
	// the last segment that has any. The number is 0 for a stream that its
	// member is still writing or was writing when it died.
	Streams map[string]uint64 `json:"streams,omitempty"`
}

// assign gives the slot to a member under the next epoch.
func (e *SlotEntry) assign(member string) {
	e.Owner = member
	e.Epoch++
	if e.Streams == nil {
		e.Streams = map[string]uint64{}
	}
	if _, ok := e.Streams[member]; !ok {
		e.Streams[member] = 0
	}
}

// slotTable is a SlotTable with the version of its object.
type slotTable struct {
	version uint64
	SlotTable
}

// slotTables holds the known slot tables and the slots of this member.
type slotTables struct {
	tables      map[string]*slotTable // by data centre
	owned       map[ident.Slot]*ownedSlot
	writeCount  uint64 // number of table writes, for SlotTable.Writer
	updating    bool   // whether an update of a table is being written
	checkAt     time.Duration
	fullClaimAt time.Duration // end of fairShareWindow; 0 before its start

	recoveries    []*recovery
	createCounter int // modulo the number of owned slots, where the last program was created
}

type slotState uint8

const (
	slotLoading slotState = iota // programs are being recovered
	slotServing
	slotMoving // being handed over; accepts no new calls
)

var slotStateNames = [...]string{"loading", "serving", "moving"}

// ownedSlot is a slot that this member owns.
type ownedSlot struct {
	slot  ident.Slot
	epoch uint64
	state slotState
	// newOwner is the member that gets the slot while it is moving.
	newOwner string
	// programs are the programs of the slot.
	programs map[ident.Program]*program
	// mayMissRecords reports whether records of the slot may be missing.
	mayMissRecords bool
	// activeCalls counts the programs of the slot with an active call.
	activeCalls int
	// lastLSN is the LSN of the last record written for the slot.
	lastLSN uint64
	// carriedLSN is the LSN that must be durable before the other streams of the
	// slot are no longer needed; 0 until the slot is recovered, neverLSN if they
	// must be kept.
	carriedLSN uint64
}

// neverLSN is an LSN that is never reached.
const neverLSN = ^uint64(0)

// slotCheckInterval is the time between two checks for slots to claim or hand
// over.
const slotCheckInterval = 200 * time.Millisecond

func (h *Host) tickSlots() {
	h.tickRecoveries()
	if h.now < h.slots.checkAt || !h.holdsLease() {
		return
	}
	h.slots.checkAt = h.now + slotCheckInterval
	for _, dc := range sortedKeys(h.slots.tables) {
		if h.slots.updating {
			return
		}
		t := h.slots.tables[dc]
		if !h.claimUnownedSlots(t) && !h.handOverSlots(t) {
			h.pruneStreams(t)
		}
	}
}

func (h *Host) ownTable() *slotTable { return h.slots.tables[h.cfg.DataCentre] }

// createTable creates the table of a new data centre.
func (h *Host) createTable() {
	if h.slots.updating || !h.holdsLease() {
		return
	}
	t := &slotTable{SlotTable: SlotTable{DataCentre: h.cfg.DataCentre, Slots: make([]SlotEntry, h.cfg.Slots)}}
	h.writeTable(t, nil)
}

// updateTable changes a copy of a table by conditional update. done, if not nil,
// is called with true if the change is in force.
func (h *Host) updateTable(old *slotTable, change func(*SlotTable), done func(ok bool)) {
	next := &slotTable{version: old.version, SlotTable: old.SlotTable}
	next.Slots = slices.Clone(old.Slots)
	for i := range next.Slots {
		next.Slots[i].Streams = maps.Clone(next.Slots[i].Streams)
	}
	change(&next.SlotTable)
	h.writeTable(next, done)
}

// writeTable writes a table, and applies and announces it if written.
func (h *Host) writeTable(t *slotTable, done func(ok bool)) {
	h.slots.writeCount++
	t.Writer = h.self + "#" + strconv.FormatUint(h.slots.writeCount, 10)
	body := mustEncodeJSON(t.SlotTable)
	key := SlotsPrefix + t.DataCentre
	h.slots.updating = true
	h.putObject(key, t.version, body, func(s OpStatus, version uint64) {
		h.slots.updating = false
		if s == OpOK {
			h.applyTable(Object{Key: key, Version: version, Body: body})
			h.notifySlotsChanged(t.DataCentre, version)
		} else {
			h.readTable(t.DataCentre)
		}
		if done != nil {
			done(s == OpOK)
		}
	})
}

// notifySlotsChanged announces a new version of a table to the peers of this
// data centre and of the table's.
func (h *Host) notifySlotsChanged(dc string, version uint64) {
	for _, p := range h.members.list {
		if (h.isLocal(p) || p.dataCentre == dc) && !p.gone {
			h.send(p.address, &peerpb.Frame{Body: &peerpb.Frame_SlotChanged{SlotChanged: &peerpb.SlotChanged{
				DataCentre: dc, Version: version,
			}}})
		}
	}
}

func (h *Host) handleSlotChanged(m *peerpb.SlotChanged) {
	if t := h.slots.tables[m.DataCentre]; t == nil || t.version < m.Version {
		h.readTable(m.DataCentre)
	}
}

func (h *Host) readTable(dc string) {
	key := SlotsPrefix + dc
	h.submitOp(PlatformOp{Kind: OpGet, Key: key}, func(r *PlatformReply) {
		if r.Status == OpOK {
			h.applyTable(Object{Key: key, Version: r.Version, Body: r.Body})
		}
	})
}

// applyTable stores a table that was read unless a newer version is known.
func (h *Host) applyTable(o Object) {
	t := &slotTable{version: o.Version}
	if json.Unmarshal(o.Body, &t.SlotTable) != nil || SlotsPrefix+t.DataCentre != o.Key {
		return
	}
	if old := h.slots.tables[t.DataCentre]; old != nil && old.version >= t.version {
		return
	}
	h.slots.tables[t.DataCentre] = t
	h.updateOwned(t)
}

// updateOwned starts the recovery of slots that this member has gained, and
// removes those that were handed over. Any other loss of a slot only happens to
// a member whose lease was revoked, which then stops.
func (h *Host) updateOwned(t *slotTable) {
	var gained []*ownedSlot
	for i, e := range t.Slots {
		slot := ident.Slot{DataCentre: t.DataCentre, Number: i}
		own := h.slots.owned[slot]
		switch {
		case e.Owner == h.self && own == nil:
			own = &ownedSlot{slot: slot, epoch: e.Epoch, programs: map[ident.Program]*program{}}
			h.slots.owned[slot] = own
			gained = append(gained, own)
		case e.Owner != h.self && own != nil && own.state == slotMoving && own.activeCalls == 0:
			h.removeSlot(own) // the handover is in force
		case e.Owner != h.self && own != nil, own != nil && own.epoch != e.Epoch:
			h.markLost("slot " + slot.String() + " has another owner")
			return
		}
	}
	if len(gained) > 0 {
		h.recoverSlots(t, gained)
	}
}

// removeSlot removes a slot that was handed over.
func (h *Host) removeSlot(own *ownedSlot) {
	delete(h.slots.owned, own.slot)
	for _, p := range own.programs {
		h.removeProgram(p)
	}
}

// pruneStreams removes from the table the streams whose records have all been
// written again into this member's own stream.
func (h *Host) pruneStreams(t *slotTable) {
	prunable := map[int]bool{}
	for i, e := range t.Slots {
		own := h.slots.owned[ident.Slot{DataCentre: t.DataCentre, Number: i}]
		if own == nil || e.Owner != h.self || len(e.Streams) < 2 || own.state == slotLoading {
			continue
		}
		if own.carriedLSN != neverLSN && own.carriedLSN <= h.log.writer.DurableLSN() {
			prunable[i] = true
		}
	}
	if len(prunable) == 0 {
		return
	}
	h.updateTable(t, func(next *SlotTable) {
		for i := range prunable {
			next.Slots[i].Streams = map[string]uint64{h.self: 0}
		}
	}, nil)
}

// Owner returns the address of the owner of a slot. self reports whether this
// member is the owner. found is false if no owner is known now, known is false
// if there is no such slot.
func (h *Host) Owner(slot ident.Slot) (address string, self, found, known bool) {
	t := h.slots.tables[slot.DataCentre]
	if t == nil {
		return "", false, false, len(h.slots.tables) == 0 || h.isDataCentreKnown(slot.DataCentre)
	}
	if slot.Number >= len(t.Slots) {
		return "", false, false, false
	}
	owner := t.Slots[slot.Number].Owner
	if owner == h.self {
		return h.cfg.Address, true, true, true
	}
	p := h.members.peers[owner]
	if p == nil {
		return "", false, false, true
	}
	return p.address, false, true, true
}

func (h *Host) isDataCentreKnown(dc string) bool {
	for _, p := range h.members.list {
		if p.dataCentre == dc {
			return true
		}
	}
	return dc == h.cfg.DataCentre
}

// Healthy reports whether a load balancer should send requests to this host.
func (h *Host) Healthy() bool {
	return !h.draining && !h.ready.Lost && h.lease.acquired && h.declared() != nil
}

// NewProgramAddress returns the address of a peer that can create programs when
// this host cannot, because it drains, has no slot of its own or may not serve.
// It is empty if this host can, or there is no such peer.
func (h *Host) NewProgramAddress() string {
	if h.draining || len(h.ownedSlotsIn(h.cfg.DataCentre)) == 0 || !h.mayServe() {
		for _, p := range h.members.list {
			if h.isLocal(p) && h.isHeard(p) && !p.draining && !p.suspended && p.slots > 0 {
				return p.address
			}
		}
	}
	return ""
}

// ownedSlotsIn returns this member's slots of a data centre, sorted by number.
func (h *Host) ownedSlotsIn(dc string) []*ownedSlot {
	var all []*ownedSlot
	for _, own := range h.slots.owned {
		if own.slot.DataCentre == dc {
			all = append(all, own)
		}
	}
	slices.SortFunc(all, func(a, b *ownedSlot) int { return a.slot.Number - b.slot.Number })
	return all
}

// ownedSlots returns all slots of this member, sorted.
func (h *Host) ownedSlots() []*ownedSlot {
	return slices.SortedFunc(maps.Values(h.slots.owned), func(a, b *ownedSlot) int {
		return cmp.Or(cmp.Compare(a.slot.DataCentre, b.slot.DataCentre), a.slot.Number-b.slot.Number)
	})
}
