// Package placement decides which history hosts keep which slot.
//
// Programs are hashed into slots. Each slot has a replica set of 2t+1 members,
// where t is the number of hosts whose loss must be borne. Records are written
// to t+1 of them, and what must not be missed is read from t+1 active ones, so
// that every read meets every acknowledged write. A member is one disk: a host
// that comes back with an empty disk is another member.
//
// The Map is one object at the platform, replaced by conditional update only
// when members come and go; no request needs the platform. A replica that is
// new to a slot is joining: its acknowledgements count, its reads do not, until
// it has copied the slot from t+1 active replicas. A copy fences the source:
// from then on the source refuses writers that use an older map, so that none
// can gather a quorum from members of the past.
package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Slots is the number of slots of a map that are not bound to a region: enough that 100 history
// hosts hold even shares, few enough that the map stays below 64 KB.
const GlobalSlotCount = 64

// Member is one history host with one disk.
type Member struct {
	ID         string `json:"id"`
	Host       string `json:"host"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
}

// Replica is the place of a member in a slot.
type Replica struct {
	Member string `json:"member"`
	// Joining replicas have not copied the slot yet.
	Joining bool `json:"joining,omitempty"`
	// Syncing: an active replica copies what it may have missed before its slot spanned.
	Syncing bool `json:"syncing,omitempty"`
	// Required: the acknowledgement of a joining replica of a guarded slot is needed.
	AckRequired bool `json:"required,omitempty"`
	// Demoted: the replica was left out by Demote and still has what it had.
	Demoted bool `json:"demoted,omitempty"`
}

// Copies reports whether the replica has to copy the slot.
func (r Replica) NeedsCopy() bool { return r.Joining || r.Syncing }

// Slot is the replica set of one slot.
type Slot struct {
	Replicas []Replica `json:"replicas"`
	// Region is where all replicas are, empty if they may be anywhere.
	Region string `json:"region,omitempty"`
	// Changed is the epoch of the last change; older writers are refused.
	ChangedEpoch uint64 `json:"changed"`
	// Former is the member that a joining replica replaces; it may serve as a
	// source of the copy.
	FormerMember string `json:"former,omitempty"`
	// Span: a write needs all replicas outside of the data centre that crowds the slot.
	Spanning bool `json:"span,omitempty"`
	// Guarded: a write needs all active replicas; see Demote.
	Guarded bool `json:"guarded,omitempty"`
}

// Map is the placement of all slots.
type Map struct {
	// Epoch grows by one with each change.
	Epoch   uint64            `json:"epoch"`
	Faults  int               `json:"faults"`
	Members map[string]Member `json:"members"`
	Slots   []Slot            `json:"slots"`
}

// SlotOf returns the slot of a program that may be kept anywhere; see Map.Slot for others.
func GlobalSlotOf(program string) uint32 { return hash(program) % GlobalSlotCount }

func hash(program string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(program))
	return h.Sum32()
}

// Quorum is the number of acknowledgements that make a write durable, and the
// number of active replicas that a complete read takes.
func (m *Map) Quorum() int { return m.Faults + 1 }

// SetSize is the number of replicas of a slot where there are members enough.
func (m *Map) ReplicationFactor() int { return 2*m.Faults + 1 }

// ReadQuorum is the number of active replicas of s that together know every
// acknowledged write: all but Quorum-1 of the set, but never more than are left.
func (m *Map) ReadQuorum(s *Slot) int {
	return max(1, min(len(s.Replicas)-m.Quorum()+1, s.ActiveCount()))
}

// Written reports whether acknowledgements of these members make a write
// durable: enough copies, and enough of them active that every complete read
// meets one. While a member is being replaced, a reader with the older map may
// still count it and one active replica, so a write then needs a quorum of active
// ones. So does a write while several replicas join one after the other: a reader with the
// older map counts only those that were active before.
func (m *Map) IsWriteDurable(s *Slot, acks map[string]bool) bool {
	if s.Guarded {
		return guarded(s, acks)
	}
	total, active := 0, 0
	for _, r := range s.Replicas {
		if !acks[r.Member] {
			continue
		}
		total++
		if !r.Joining {
			active++
		}
	}
	copies := min(len(s.Replicas), m.Quorum())
	needed := s.ActiveCount() - m.ReadQuorum(s) + 1
	if s.FormerMember != "" || m.HasSpareReplicas() && s.ActiveCount() < len(s.Replicas) {
		needed = min(m.Quorum(), s.ActiveCount())
	}
	return total >= copies && active >= needed && m.spans(s, acks)
}

// Active counts the replicas that are not joining.
func (s *Slot) ActiveCount() int {
	n := 0
	for _, r := range s.Replicas {
		if !r.Joining {
			n++
		}
	}
	return n
}

// Replica returns the place of a member in the slot.
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
	c := *m
	c.Members = make(map[string]Member, len(m.Members))
	for k, v := range m.Members {
		c.Members[k] = v
	}
	c.Slots = make([]Slot, len(m.Slots))
	for i, s := range m.Slots {
		s.Replicas = slices.Clone(s.Replicas)
		c.Slots[i] = s
	}
	return &c
}

// New returns a map without members. Its slots are assigned later, so that the
// members that start together share them evenly.
func New(faults int) *Map {
	return &Map{Epoch: 1, Faults: faults, Members: map[string]Member{}, Slots: make([]Slot, GlobalSlotCount)}
}

// Assigned reports whether slots have replicas.
func (m *Map) IsAssigned() bool { return len(m.Slots[0].Replicas) > 0 }

// Assign gives all slots their first replicas, all active: there is nothing to
// copy yet.
func (m *Map) Assign() {
	m.Epoch++
	m.divide()
	m.begin(0)
}

// begin gives the slots from first on their first replicas.
func (m *Map) begin(first int) {
	for i := first; i < len(m.Slots); i++ {
		m.Slots[i].ChangedEpoch = m.Epoch
		m.fill(i, nil, false)
	}
}

// held counts the slots of each member.
func (m *Map) held() map[string]int {
	held := map[string]int{}
	for _, s := range m.Slots {
		for _, r := range s.Replicas {
			held[r.Member]++
		}
	}
	return held
}

// candidates returns the members that may join slot i, best first: those whose
// data centre holds the fewest replicas of the slot, then those with the fewest
// slots.
func (m *Map) candidates(i int, exclude map[string]bool) []Member {
	held := m.held()
	centres := map[string]int{}
	for _, r := range m.Slots[i].Replicas {
		centres[m.Members[r.Member].DataCentre]++
	}
	var list []Member
	for _, x := range m.Members {
		if _, in := m.Slots[i].Replica(x.ID); in || exclude[x.ID] || !m.Slots[i].admits(x) {
			continue
		}
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(centres[a.DataCentre], centres[b.DataCentre]),
			cmp.Compare(held[a.ID], held[b.ID]),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return list
}

// admits reports whether a member may be a replica of the slot.
func (s *Slot) admits(x Member) bool { return s.Region == "" || s.Region == x.Region }

// fill adds replicas to slot i until the set has its size.
func (m *Map) fill(i int, exclude map[string]bool, joining bool) bool {
	changed := false
	for len(m.Slots[i].Replicas) < m.ReplicationFactor() {
		list := m.candidates(i, exclude)
		if len(list) == 0 {
			break
		}
		m.Slots[i].Replicas = append(m.Slots[i].Replicas, Replica{Member: list[0].ID, Joining: joining})
		m.Slots[i].unspan()
		changed = true
	}
	return changed
}
