// Package placement assigns slots to history hosts.
//
// Programs are hashed into slots. Each slot has a replica set of 2t+1 members,
// where t is the number of simultaneous host failures to tolerate. A record is
// written to t+1 replicas, and a complete read asks t+1 active replicas, so that
// every complete read sees every acknowledged write. A member is one disk: a host
// that returns with an empty disk is a new member.
//
// The Map is a single object in the platform's store. It is replaced by
// conditional update only when members come and go; requests do not need the
// platform. A replica that is new to a slot is joining: its acknowledgements
// count, but it serves no reads until it has copied the slot from t+1 active
// replicas. A copy fences its source: from then on the source refuses writers
// that use an older map, so that no writer can gather a quorum from former members.
package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// GlobalSlotCount is the number of slots of a map that are not bound to a region: enough that
// 100 history hosts hold about the same number each, few enough that the map stays below 64 KB.
const GlobalSlotCount = 64

// ObjectName is the name of the map's object in the platform's store.
const ObjectName = "slots"

// Member is one history host with one disk.
type Member struct {
	ID         string `json:"id"`
	Host       string `json:"host"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
}

// Replica is the role of a member in a slot.
type Replica struct {
	// Member is the ID of the member.
	Member string `json:"member"`
	// Joining is set until the replica has copied the slot.
	Joining bool `json:"joining,omitempty"`
	// Syncing is set while an active replica copies the records that it may have missed before
	// its slot was spanning.
	Syncing bool `json:"syncing,omitempty"`
	// AckRequired is set on a joining replica of a guarded slot whose acknowledgement every
	// write needs.
	AckRequired bool `json:"required,omitempty"`
	// Demoted is set on a replica of the crowded data centre that Demote has turned into a joining
	// one; its disk still holds the records that it had then.
	Demoted bool `json:"demoted,omitempty"`
}

// NeedsCopy reports whether the replica has to copy the slot.
func (r Replica) NeedsCopy() bool { return r.Joining || r.Syncing }

// Slot is the replica set of one slot.
type Slot struct {
	Replicas []Replica `json:"replicas"`
	// Region is the region of all replicas, empty for a global slot.
	Region string `json:"region,omitempty"`
	// ChangedEpoch is the epoch of the last change of the slot; replicas refuse writers with an
	// older map.
	ChangedEpoch uint64 `json:"changed"`
	// FormerMember is the ID of the member that a joining replica replaces, empty if there is
	// none. It may serve as a source of the copy.
	FormerMember string `json:"former,omitempty"`
	// Spanning is set while a write needs all replicas outside the crowded data centre.
	Spanning bool `json:"span,omitempty"`
	// Guarded is set while a write needs all active replicas; see Map.Demote.
	Guarded bool `json:"guarded,omitempty"`
}

// Map is the placement of all slots.
type Map struct {
	// Epoch grows by one with each change.
	Epoch uint64 `json:"epoch"`
	// Faults is the number of members that may be lost at the same time.
	Faults int `json:"faults"`
	// Members holds the members by ID.
	Members map[string]Member `json:"members"`
	// Slots holds the global slots, then SlotsPerRegion slots of each region.
	Slots []Slot `json:"slots"`
}

// GlobalSlotOf returns the slot of a program that is not bound to a region; see Map.Slot for
// other programs.
func GlobalSlotOf(program string) uint32 { return programHash(program) % GlobalSlotCount }

func programHash(program string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(program))
	return h.Sum32()
}

// Quorum returns the number of acknowledgements that make a write durable, which is
// also the number of active replicas that a complete read needs.
func (m *Map) Quorum() int { return m.Faults + 1 }

// ReplicationFactor returns the number of replicas of a slot when there are enough members.
func (m *Map) ReplicationFactor() int { return 2*m.Faults + 1 }

// ReadQuorum returns the number of active replicas of s that together hold every
// acknowledged write: all but Quorum-1 of the set, at most the number of active
// replicas, and at least one.
func (m *Map) ReadQuorum(s *Slot) int {
	return max(1, min(len(s.Replicas)-m.Quorum()+1, s.ActiveCount()))
}

// IsWriteDurable reports whether acknowledgements of these members make a write
// durable: enough copies, and enough of them on active replicas that every complete
// read sees one. While a member is being replaced, a reader with the older map may
// still count that member and one active replica, so a write then needs a quorum of
// active replicas. The same holds while several replicas join one after the other: a
// reader with the older map counts only the replicas that were active before. acks holds
// member IDs.
func (m *Map) IsWriteDurable(s *Slot, acks map[string]bool) bool {
	if s.Guarded {
		return allRequiredAcked(s, acks)
	}
	ackCount, activeAcks := 0, 0
	for _, r := range s.Replicas {
		if !acks[r.Member] {
			continue
		}
		ackCount++
		if !r.Joining {
			activeAcks++
		}
	}
	minAcks := min(len(s.Replicas), m.Quorum())
	minActiveAcks := s.ActiveCount() - m.ReadQuorum(s) + 1
	if s.FormerMember != "" || m.HasSpareReplicas() && s.ActiveCount() < len(s.Replicas) {
		minActiveAcks = min(m.Quorum(), s.ActiveCount())
	}
	return ackCount >= minAcks && activeAcks >= minActiveAcks && m.outsideReplicasAcked(s, acks)
}

// ActiveCount returns the number of replicas that are not joining.
func (s *Slot) ActiveCount() int {
	count := 0
	for _, r := range s.Replicas {
		if !r.Joining {
			count++
		}
	}
	return count
}

// Replica returns the replica of a member, or false if the member has none in the slot.
func (s *Slot) Replica(member string) (Replica, bool) {
	for _, r := range s.Replicas {
		if r.Member == member {
			return r, true
		}
	}
	return Replica{}, false
}

// Clone returns a deep copy.
func (m *Map) Clone() *Map {
	clone := *m
	clone.Members = make(map[string]Member, len(m.Members))
	for id, member := range m.Members {
		clone.Members[id] = member
	}
	clone.Slots = make([]Slot, len(m.Slots))
	for i, s := range m.Slots {
		s.Replicas = slices.Clone(s.Replicas)
		clone.Slots[i] = s
	}
	return &clone
}

// New returns a map without members that tolerates the given number of faults. Assign
// gives its slots replicas later, so that members that start together get about the same number each.
func New(faults int) *Map {
	return &Map{Epoch: 1, Faults: faults, Members: map[string]Member{}, Slots: make([]Slot, GlobalSlotCount)}
}

// IsAssigned reports whether the slots have replicas.
func (m *Map) IsAssigned() bool { return len(m.Slots[0].Replicas) > 0 }

// Assign gives all slots their first replicas. All are active, as there is nothing to
// copy yet.
func (m *Map) Assign() {
	m.Epoch++
	m.addRegionalSlots()
	m.assignFrom(0)
}

// assignFrom gives the slots from index firstSlot on their first replicas.
func (m *Map) assignFrom(firstSlot int) {
	for i := firstSlot; i < len(m.Slots); i++ {
		m.Slots[i].ChangedEpoch = m.Epoch
		m.fillReplicas(i, nil, false)
	}
}

// slotsPerMember returns the number of slots of each member, by member ID.
func (m *Map) slotsPerMember() map[string]int {
	counts := map[string]int{}
	for _, s := range m.Slots {
		for _, r := range s.Replicas {
			counts[r.Member]++
		}
	}
	return counts
}

// candidates returns the members that may join a slot, best first: ordered by the
// number of the slot's replicas in their data centre, then by their number of slots,
// then by ID.
func (m *Map) candidates(slot int, excluded map[string]bool) []Member {
	slotCounts := m.slotsPerMember()
	replicasByDataCentre := map[string]int{}
	for _, r := range m.Slots[slot].Replicas {
		replicasByDataCentre[m.Members[r.Member].DataCentre]++
	}
	var candidates []Member
	for _, member := range m.Members {
		if _, in := m.Slots[slot].Replica(member.ID); in || excluded[member.ID] || !m.Slots[slot].allowsMember(member) {
			continue
		}
		candidates = append(candidates, member)
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(replicasByDataCentre[a.DataCentre], replicasByDataCentre[b.DataCentre]),
			cmp.Compare(slotCounts[a.ID], slotCounts[b.ID]),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return candidates
}

// allowsMember reports whether the slot's region allows a member as a replica.
func (s *Slot) allowsMember(member Member) bool { return s.Region == "" || s.Region == member.Region }

// fillReplicas adds replicas to a slot up to the replication factor. It reports whether the
// slot changed.
func (m *Map) fillReplicas(slot int, excluded map[string]bool, joining bool) bool {
	changed := false
	for len(m.Slots[slot].Replicas) < m.ReplicationFactor() {
		candidates := m.candidates(slot, excluded)
		if len(candidates) == 0 {
			break
		}
		m.Slots[slot].Replicas = append(m.Slots[slot].Replicas, Replica{Member: candidates[0].ID, Joining: joining})
		m.Slots[slot].stopSpanning()
		changed = true
	}
	return changed
}
