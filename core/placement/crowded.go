package placement

import "slices"

// A slot is crowded if one data centre holds so many of its replicas that they form a
// write quorum by themselves. If that data centre were cut off, the outside replicas, in
// the other data centres, would not know which writes it acknowledged, and neither side
// could serve. Crowded slots are handled as follows:
//
//   - SpanCrowdedSlots makes a crowded slot spanning: from then on a write also needs all
//     outside replicas. They copy the records that they may have missed before; a replica
//     that has done so holds every acknowledged write.
//   - When no replica in the crowded data centre answers, Demote turns these replicas into
//     joining ones. The outside replicas serve alone, fenced by the new epoch: the cut-off
//     side needs one of them for each write, and they refuse older maps.
//   - Until a quorum of replicas is active again the slot is guarded: a write needs all
//     active replicas, and they also write it to the platform's store, so that no single
//     disk has the only copy.
//   - When an outside replica does not answer, UnspanSlots lets the other replicas serve
//     without it.

// crowdedDataCentre returns the data centre whose replicas of a slot form a write quorum,
// unless it holds all replicas of the slot.
func (m *Map) crowdedDataCentre(s *Slot) (dataCentre string, crowded bool) {
	replicaCounts := map[string]int{}
	for _, r := range s.Replicas {
		replicaCounts[m.Members[r.Member].DataCentre]++
	}
	for dc, n := range replicaCounts {
		if n >= m.Quorum() && n < len(s.Replicas) {
			return dc, true
		}
	}
	return "", false
}

// outsideReplicas returns the replicas of a crowded slot that are not in the crowded data
// centre, nil if the slot is not crowded.
func (m *Map) outsideReplicas(s *Slot) []Replica {
	dc, crowded := m.crowdedDataCentre(s)
	if !crowded {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(s.Replicas), func(r Replica) bool { return m.Members[r.Member].DataCentre == dc })
}

// outsideReplicasAcked reports whether all outside replicas acknowledged a write. It is true
// for a slot that is not spanning.
func (m *Map) outsideReplicasAcked(s *Slot, acks map[string]bool) bool {
	return !s.Spanning || !slices.ContainsFunc(m.outsideReplicas(s), func(r Replica) bool { return !acks[r.Member] })
}

// allRequiredAcked reports whether the acknowledgements suffice for a guarded slot: those of
// all active replicas and of all joining ones with AckRequired.
func allRequiredAcked(s *Slot, acks map[string]bool) bool {
	for _, r := range s.Replicas {
		if (!r.Joining || r.AckRequired) && !acks[r.Member] {
			return false
		}
	}
	return s.ActiveCount() > 0
}

// isStable reports whether no replica of a slot is joining or replaces another one.
func (s *Slot) isStable() bool { return s.FormerMember == "" && s.ActiveCount() == len(s.Replicas) }

// SpanCrowdedSlots makes stable crowded slots spanning, except regional ones. It reports
// whether the map changed.
func (m *Map) SpanCrowdedSlots() bool {
	return m.updateSlots(func(s *Slot) bool {
		outside := m.outsideReplicas(s)
		if len(outside) == 0 || s.Spanning || s.Region != "" || !s.isStable() {
			return false
		}
		s.Spanning = true
		for i := range s.Replicas {
			if slices.Contains(outside, s.Replicas[i]) {
				s.Replicas[i].Syncing = true
			}
		}
		return true
	})
}

// UnspanSlots makes spanning slots with a silent outside replica no longer spanning. silent holds
// the IDs of members that do not answer. It reports whether the map changed.
func (m *Map) UnspanSlots(silent map[string]bool) bool {
	return m.updateSlots(func(s *Slot) bool {
		isSilent := func(r Replica) bool { return silent[r.Member] }
		if !s.Spanning || s.Guarded || !slices.ContainsFunc(m.outsideReplicas(s), isSilent) {
			return false
		}
		s.stopSpanning()
		return true
	})
}

// stopSpanning makes a slot no longer spanning; its outside replicas may miss writes from now on.
func (s *Slot) stopSpanning() {
	s.Spanning = false
	for i := range s.Replicas {
		s.Replicas[i].Syncing = false
	}
}

// Demote turns the replicas in the crowded data centre of a slot into joining ones and guards
// the slot, if all of them are silent and the outside replicas hold every acknowledged write.
// silent holds the IDs of members that do not answer. It reports whether the map changed.
func (m *Map) Demote(silent map[string]bool) bool {
	return m.updateSlots(func(s *Slot) bool {
		if !m.canDemote(s, silent) {
			return false
		}
		for i := range s.Replicas {
			r := &s.Replicas[i]
			if silent[r.Member] {
				*r = Replica{Member: r.Member, Joining: true, Demoted: true}
			}
		}
		s.Guarded = true
		return true
	})
}

// canDemote reports whether Demote applies to a slot.
func (m *Map) canDemote(s *Slot, silent map[string]bool) bool {
	outside := m.outsideReplicas(s)
	if !s.Spanning || s.FormerMember != "" || len(outside) == 0 {
		return false
	}
	hasDemotable := false
	for _, r := range s.Replicas {
		isOutside := slices.Contains(outside, r)
		switch {
		case isOutside && (silent[r.Member] || r.NeedsCopy()):
			return false
		case !isOutside && !silent[r.Member]:
			return false
		case !isOutside && (!r.Joining || r.AckRequired):
			hasDemotable = true
		}
	}
	return hasDemotable
}

// DemotionDue reports whether Demote would let the outside replicas of a slot serve without
// the silent ones.
func (m *Map) DemotionDue(slot int, silent map[string]bool) bool {
	return m.canDemote(&m.Slots[slot], silent)
}

// RequireAck makes the acknowledgement of a member's joining replicas of guarded slots
// required, so that they miss no write between their copy and their activation. It reports
// whether the map changed.
func (m *Map) RequireAck(member string) bool {
	return m.updateSlots(func(s *Slot) bool {
		index := slices.IndexFunc(s.Replicas, func(r Replica) bool { return r.Member == member })
		if index < 0 || !s.Guarded || !s.Replicas[index].Joining || s.Replicas[index].AckRequired {
			return false
		}
		s.Replicas[index].AckRequired = true
		return true
	})
}

// NeedsPlatformCopy reports whether writes to a slot must also be stored at the platform.
func (m *Map) NeedsPlatformCopy(slot int) bool {
	s := &m.Slots[slot]
	return s.Guarded && s.ActiveCount() < m.Quorum()
}

// MayBeGuarded reports whether the slot could be guarded in a newer map. A member without
// that newer map must not acknowledge writes made with it.
func (m *Map) MayBeGuarded(slot int) bool { return m.Slots[slot].Spanning }

// AnyGuarded reports whether any slot is guarded, so that records in the platform's store
// are still needed.
func (m *Map) AnyGuarded() bool {
	return slices.ContainsFunc(m.Slots, func(s Slot) bool { return s.Guarded })
}

// updateSlots applies change to all slots and sets the next epoch on the map and on the slots
// for which change returns true. It reports whether the map changed.
func (m *Map) updateSlots(change func(*Slot) bool) bool {
	changed := false
	for i := range m.Slots {
		if !change(&m.Slots[i]) {
			continue
		}
		changed = true
		m.Slots[i].ChangedEpoch = m.Epoch + 1
	}
	if changed {
		m.Epoch++
	}
	return changed
}
