package placement

import "slices"

// Admit adds a member or updates the one with its ID. An older member of the same host
// is removed, since its disk is lost; the new member joins the slots of the older one.
// It reports whether the map changed.
func (m *Map) Admit(member Member) bool {
	if existing, ok := m.Members[member.ID]; ok {
		if existing == member {
			return false
		}
		m.Members[member.ID] = member
		m.Epoch++
		return true
	}
	m.Epoch++
	m.Members[member.ID] = member
	for id, existing := range m.Members {
		if existing.Host == member.Host && id != member.ID {
			m.replaceLostMember(id, member.ID)
			delete(m.Members, id)
		}
	}
	for i := range m.Slots {
		if m.IsAssigned() && m.fillReplicas(i, nil, true) {
			m.Slots[i].ChangedEpoch = m.Epoch
		}
	}
	if m.IsAssigned() {
		m.assignFrom(m.addRegionalSlots())
	}
	return true
}

// HasMemberOnHost reports whether a host has a member.
func (m *Map) HasMemberOnHost(host string) bool {
	for _, member := range m.Members {
		if member.Host == host {
			return true
		}
	}
	return false
}

// replaceLostMember replaces a member by its successor in every slot, as a joining replica. The
// disk of the lost member is lost too, so it is not a source of copies.
func (m *Map) replaceLostMember(lost, successor string) {
	for i := range m.Slots {
		s := &m.Slots[i]
		if s.FormerMember == lost {
			s.FormerMember = ""
		}
		for j := range s.Replicas {
			if s.Replicas[j].Member == lost {
				s.Replicas[j] = Replica{Member: successor, Joining: true}
				s.ChangedEpoch = m.Epoch
			}
		}
	}
}

// Replace moves a member's replicas to other members that are not in excluded, one replica
// of a slot at a time: a slot with another joining replica stays unchanged until that
// replica is active. It reports whether the map changed.
func (m *Map) Replace(member string, excluded map[string]bool) bool {
	changed := false
	for i := range m.Slots {
		if !m.canReplace(i, member) {
			continue
		}
		candidates := m.candidates(i, excluded)
		if len(candidates) == 0 {
			continue
		}
		if !changed {
			m.Epoch++
			changed = true
		}
		m.replaceReplica(i, member, candidates[0].ID)
	}
	return changed
}

// canReplace reports whether a member's replica of a slot may be replaced now.
func (m *Map) canReplace(slot int, member string) bool {
	s := &m.Slots[slot]
	if _, in := s.Replica(member); !in || s.Guarded {
		return false
	}
	for _, r := range s.Replicas {
		if r.Joining && r.Member != member {
			return false
		}
	}
	return true
}

// replaceReplica replaces a member by its successor in a slot, as a joining replica. If the
// member was active there, it becomes the slot's former member.
func (m *Map) replaceReplica(slot int, member, successor string) {
	s := &m.Slots[slot]
	for j := range s.Replicas {
		if s.Replicas[j].Member != member {
			continue
		}
		if !s.Replicas[j].Joining {
			s.FormerMember = member
		}
		s.Replicas[j] = Replica{Member: successor, Joining: true}
	}
	s.stopSpanning()
	s.ChangedEpoch = m.Epoch
}

// Activate marks a member's replicas that need a copy as active. copiedEpochs holds, by slot,
// the epoch under which the member has copied the slot; slots that have changed since are
// skipped. It reports whether the map changed.
func (m *Map) Activate(member string, copiedEpochs map[int]uint64) bool {
	changed := false
	for slot, epoch := range copiedEpochs {
		s := &m.Slots[slot]
		index := slices.IndexFunc(s.Replicas, func(r Replica) bool { return r.Member == member && r.NeedsCopy() })
		if index < 0 || s.ChangedEpoch != epoch {
			continue
		}
		if s.Guarded && s.Replicas[index].Joining && !s.Replicas[index].AckRequired {
			continue
		}
		s.Replicas[index] = Replica{Member: member}
		s.FormerMember = ""
		changed = true
		if s.Guarded && s.ActiveCount() >= m.Quorum() {
			s.Guarded = false
			s.ChangedEpoch = m.Epoch + 1 // refuses writers that still rely on the guard
		}
	}
	if changed {
		m.Epoch++
	}
	return changed
}

// CopySources returns the members from which a joining or syncing member copies a slot, and
// the number of them that it needs so that they surely hold every acknowledged write.
func (m *Map) CopySources(slot int, member string) (sources []string, minSources int) {
	s := &m.Slots[slot]
	if s.ActiveCount() == 0 && s.Guarded {
		return s.demotedSources(member)
	}
	for _, r := range s.Replicas {
		if !r.Joining && r.Member != member {
			sources = append(sources, r.Member)
		}
	}
	if _, isMember := m.Members[s.FormerMember]; isMember {
		sources = append(sources, s.FormerMember)
	}
	return sources, min(m.Quorum(), len(sources))
}

// demotedSources returns the demoted replicas other than excluded. Together they hold
// every write acknowledged before the slot was guarded, so all of them are needed.
func (s *Slot) demotedSources(excluded string) (sources []string, minSources int) {
	for _, r := range s.Replicas {
		if r.Demoted && r.Member != excluded {
			sources = append(sources, r.Member)
		}
	}
	return sources, len(sources)
}

// IsInUse reports whether a member has a replica of any slot, or may still be needed
// as a source of copies.
func (m *Map) IsInUse(member string) bool {
	for _, s := range m.Slots {
		if _, in := s.Replica(member); in || s.FormerMember == member {
			return true
		}
	}
	return false
}

// RemoveUnused removes a member that is not in use. It reports whether the map changed.
func (m *Map) RemoveUnused(member string) bool {
	if _, ok := m.Members[member]; !ok || m.IsInUse(member) {
		return false
	}
	delete(m.Members, member)
	m.Epoch++
	return true
}
