package placement

import "slices"

// Admit adds a member. An older member of the same host is gone for good, since
// its disk is: the new one takes its places, joining. It reports whether the map
// changed.
func (m *Map) Admit(x Member) bool {
	if old, ok := m.Members[x.ID]; ok {
		if old == x {
			return false
		}
		m.Members[x.ID] = x
		m.Epoch++
		return true
	}
	m.Epoch++
	m.Members[x.ID] = x
	for id, old := range m.Members {
		if old.Host == x.Host && id != x.ID {
			m.substitute(id, x.ID)
			delete(m.Members, id)
		}
	}
	for i := range m.Slots {
		if m.IsAssigned() && m.fill(i, nil, true) {
			m.Slots[i].ChangedEpoch = m.Epoch
		}
	}
	if m.IsAssigned() {
		m.begin(m.divide())
	}
	return true
}

// HasHost reports whether a host has a member.
func (m *Map) HasMemberOnHost(host string) bool {
	for _, x := range m.Members {
		if x.Host == host {
			return true
		}
	}
	return false
}

// substitute puts member to into every place of member from. The disk of from
// is lost, so it is no source of copies.
func (m *Map) substitute(from, to string) {
	for i := range m.Slots {
		s := &m.Slots[i]
		if s.FormerMember == from {
			s.FormerMember = ""
		}
		for j := range s.Replicas {
			if s.Replicas[j].Member == from {
				s.Replicas[j] = Replica{Member: to, Joining: true}
				s.ChangedEpoch = m.Epoch
			}
		}
	}
}

// Replace moves the places of member from to other members, one replica of a
// slot at a time. Members in exclude take no place. A slot that has a joining
// replica other than from waits for it. It reports whether the map changed.
func (m *Map) Replace(from string, exclude map[string]bool) bool {
	changed := false
	for i := range m.Slots {
		if !m.movable(i, from) {
			continue
		}
		list := m.candidates(i, exclude)
		if len(list) == 0 {
			continue
		}
		if !changed {
			m.Epoch++
			changed = true
		}
		m.move(i, from, list[0].ID)
	}
	return changed
}

// movable reports whether the replica of from in slot i may be replaced now.
func (m *Map) movable(i int, from string) bool {
	s := &m.Slots[i]
	if _, in := s.Replica(from); !in || s.Guarded {
		return false
	}
	for _, r := range s.Replicas {
		if r.Joining && r.Member != from {
			return false
		}
	}
	return true
}

func (m *Map) move(i int, from, to string) {
	s := &m.Slots[i]
	for j := range s.Replicas {
		if s.Replicas[j].Member != from {
			continue
		}
		if !s.Replicas[j].Joining {
			s.FormerMember = from
		}
		s.Replicas[j] = Replica{Member: to, Joining: true}
	}
	s.unspan()
	s.ChangedEpoch = m.Epoch
}

// Activate marks a replica of the slots that has to copy them as active; it has copied them
// under the epoch given for each. A slot that has changed since is left out.
func (m *Map) Activate(member string, copied map[int]uint64) bool {
	changed := false
	for i, epoch := range copied {
		s := &m.Slots[i]
		at := slices.IndexFunc(s.Replicas, func(r Replica) bool { return r.Member == member && r.NeedsCopy() })
		if at < 0 || s.ChangedEpoch != epoch {
			continue
		}
		if s.Guarded && s.Replicas[at].Joining && !s.Replicas[at].AckRequired {
			continue
		}
		s.Replicas[at] = Replica{Member: member}
		s.FormerMember = ""
		changed = true
		if s.Guarded && s.ActiveCount() >= m.Quorum() {
			s.Guarded = false
			s.ChangedEpoch = m.Epoch + 1 // writers that still count on the guard are refused
		}
	}
	if changed {
		m.Epoch++
	}
	return changed
}

// Sources returns the members from which a joining replica of slot i copies, and
// how many of them it needs: as many as surely hold every acknowledged write.
func (m *Map) CopySources(i int, member string) (from []string, need int) {
	s := &m.Slots[i]
	if s.ActiveCount() == 0 && s.Guarded {
		return s.demoted(member)
	}
	for _, r := range s.Replicas {
		if !r.Joining && r.Member != member {
			from = append(from, r.Member)
		}
	}
	if _, known := m.Members[s.FormerMember]; known {
		from = append(from, s.FormerMember)
	}
	return from, min(m.Quorum(), len(from))
}

// demoted returns the replicas that together have what was acknowledged before the
// slot was guarded; all of them are needed.
func (s *Slot) demoted(but string) (from []string, need int) {
	for _, r := range s.Replicas {
		if r.Demoted && r.Member != but {
			from = append(from, r.Member)
		}
	}
	return from, len(from)
}

// Holds reports whether member has a place in any slot, or may still be needed
// as a source.
func (m *Map) IsInUse(member string) bool {
	for _, s := range m.Slots {
		if _, in := s.Replica(member); in || s.FormerMember == member {
			return true
		}
	}
	return false
}

// Forget removes a member that holds nothing.
func (m *Map) RemoveUnused(member string) bool {
	if _, ok := m.Members[member]; !ok || m.IsInUse(member) {
		return false
	}
	delete(m.Members, member)
	m.Epoch++
	return true
}
