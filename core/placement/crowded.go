package placement

import "slices"

// A slot is crowded where one data centre holds so many of its replicas that they
// could acknowledge a write by themselves. When that data centre is cut off, the
// others would not know what it acknowledged, and no part could go on:
//
//   - A crowded slot is made to span: from then on a write also needs all replicas
//     outside of the crowded data centre. These copy what they may have missed until then;
//     once one has, it knows every acknowledged write.
//   - When the crowded data centre is silent, Demote lets its replicas join anew. The
//     ones outside go on alone, fenced off by the new epoch: the cut-off side needs
//     one of them for each write, and they refuse older maps.
//   - Until enough replicas are active again the slot is guarded: a write needs all active
//     ones, and they keep it in the platform's store as well, so that no single disk has the
//     only copy.
//   - When one of those outside is silent, Unspan lets the others go on without it.

// crowded returns the data centre that crowds a slot.
func (m *Map) crowded(s *Slot) (dataCentre string, is bool) {
	count := map[string]int{}
	for _, r := range s.Replicas {
		count[m.Members[r.Member].DataCentre]++
	}
	for dc, n := range count {
		if n >= m.Quorum() && n < len(s.Replicas) {
			return dc, true
		}
	}
	return "", false
}

// outside returns the replicas of a crowded slot that are not in the crowded data
// centre.
func (m *Map) outside(s *Slot) []Replica {
	dc, is := m.crowded(s)
	if !is {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(s.Replicas), func(r Replica) bool { return m.Members[r.Member].DataCentre == dc })
}

// spans reports whether all replicas outside of a crowded data centre acknowledged,
// where the slot needs them.
func (m *Map) spans(s *Slot, acks map[string]bool) bool {
	return !s.Spanning || !slices.ContainsFunc(m.outside(s), func(r Replica) bool { return !acks[r.Member] })
}

// guarded reports whether acknowledgements are enough for a guarded slot: all active
// replicas and all whose acknowledgement is required.
func guarded(s *Slot, acks map[string]bool) bool {
	for _, r := range s.Replicas {
		if (!r.Joining || r.AckRequired) && !acks[r.Member] {
			return false
		}
	}
	return s.ActiveCount() > 0
}

// settled reports whether no replica of a slot joins or is about to be replaced.
func (s *Slot) settled() bool { return s.FormerMember == "" && s.ActiveCount() == len(s.Replicas) }

// Spanning makes crowded slots span. It reports whether the map changed.
func (m *Map) SpanCrowdedSlots() bool {
	return m.each(func(s *Slot) bool {
		out := m.outside(s)
		if len(out) == 0 || s.Spanning || s.Region != "" || !s.settled() {
			return false
		}
		s.Spanning = true
		for i := range s.Replicas {
			if slices.Contains(out, s.Replicas[i]) {
				s.Replicas[i].Syncing = true
			}
		}
		return true
	})
}

// Unspan lets a slot go on without the replicas outside of its crowded data centre
// where one of them is silent. It reports whether the map changed.
func (m *Map) UnspanSlots(silent map[string]bool) bool {
	return m.each(func(s *Slot) bool {
		isSilent := func(r Replica) bool { return silent[r.Member] }
		if !s.Spanning || s.Guarded || !slices.ContainsFunc(m.outside(s), isSilent) {
			return false
		}
		s.unspan()
		return true
	})
}

// unspan ends the need for replicas outside; those may miss writes from now on.
func (s *Slot) unspan() {
	s.Spanning = false
	for i := range s.Replicas {
		s.Replicas[i].Syncing = false
	}
}

// Demote lets the replicas of a crowded data centre join anew where all of them
// are silent and those outside know every acknowledged write. It reports whether the map
// changed.
func (m *Map) Demote(silent map[string]bool) bool {
	return m.each(func(s *Slot) bool {
		if !m.demotable(s, silent) {
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

func (m *Map) demotable(s *Slot, silent map[string]bool) bool {
	out := m.outside(s)
	if !s.Spanning || s.FormerMember != "" || len(out) == 0 {
		return false
	}
	lost := false
	for _, r := range s.Replicas {
		isOut := slices.Contains(out, r)
		switch {
		case isOut && (silent[r.Member] || r.NeedsCopy()):
			return false
		case !isOut && !silent[r.Member]:
			return false
		case !isOut && (!r.Joining || r.AckRequired):
			lost = true
		}
	}
	return lost
}

// TakeoverDue reports whether the other replicas of a slot are about to go on without
// those that are silent.
func (m *Map) DemotionDue(slot int, silent map[string]bool) bool {
	return m.demotable(&m.Slots[slot], silent)
}

// Require makes the acknowledgement of a joining replica of guarded slots required,
// so that it misses nothing between its copy and its activation. It reports whether
// the map changed.
func (m *Map) RequireAck(member string) bool {
	return m.each(func(s *Slot) bool {
		i := slices.IndexFunc(s.Replicas, func(r Replica) bool { return r.Member == member })
		if i < 0 || !s.Guarded || !s.Replicas[i].Joining || s.Replicas[i].AckRequired {
			return false
		}
		s.Replicas[i].AckRequired = true
		return true
	})
}

// Kept reports whether writes to a slot must be kept in the platform's store too.
func (m *Map) NeedsPlatformCopy(slot int) bool {
	s := &m.Slots[slot]
	return s.Guarded && s.ActiveCount() < m.Quorum()
}

// MayBeGuarded reports whether a newer map could have the slot guarded: a member that
// does not know that one must not acknowledge writes made with it.
func (m *Map) MayBeGuarded(slot int) bool { return m.Slots[slot].Spanning }

// AnyGuarded reports whether any slot is guarded, so that what was kept in the
// platform's store is still needed.
func (m *Map) AnyGuarded() bool {
	return slices.ContainsFunc(m.Slots, func(s Slot) bool { return s.Guarded })
}

// each applies a change to all slots; those that it changes get the next epoch.
func (m *Map) each(change func(*Slot) bool) bool {
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
