package placement

// spareFaults is from how many faults to be borne on a slot has so many replicas beyond a
// quorum that leaving them out at first is worth a second step where one of the quorum fails.
const spareFaults = 2

// Spares reports whether slots may be steady at all; which ones are changes with the map.
func (m *Map) HasSpareReplicas() bool { return m.Faults >= spareFaults }

// Steady reports whether a write or a read of a slot may be sent to a quorum of its replicas
// first, and to the others only where one of those fails: the set has its size, none joins,
// syncs or is about to be replaced, and no data centre crowds it.
//
// Written and ReadQuorum say what is enough, whoever was asked. So which replicas are asked
// changes no guarantee; it only changes how many more than needed have a record.
func (m *Map) AllowsQuorumFirst(slot int) bool {
	s := &m.Slots[slot]
	if !m.HasSpareReplicas() || len(s.Replicas) < m.ReplicationFactor() || s.Spanning || s.Guarded || !s.settled() {
		return false
	}
	for _, r := range s.Replicas {
		if r.NeedsCopy() {
			return false
		}
	}
	_, crowded := m.crowded(s)
	return !crowded
}

// FormerNeeded returns the member that slot's newest replica replaces where a complete read
// needs its answer too: while fewer active replicas are left than a quorum, it may be the only
// one to have what lay on it and on disks that were lost since.
func (m *Map) FormerMemberForRead(slot int) (member string, needed bool) {
	s := &m.Slots[slot]
	if _, known := m.Members[s.FormerMember]; !known || !m.HasSpareReplicas() {
		return "", false
	}
	return s.FormerMember, s.ActiveCount() < m.Quorum()
}
