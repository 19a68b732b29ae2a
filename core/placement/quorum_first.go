package placement

// minSpareFaults is the smallest number of tolerated faults at which quorum-first requests pay
// off: a slot has so many replicas beyond a quorum that the requests saved outweigh the second
// step that is needed when a replica of the quorum fails.
const minSpareFaults = 2

// HasSpareReplicas reports whether any slot may allow quorum-first requests;
// AllowsQuorumFirst decides for each slot of the current map.
func (m *Map) HasSpareReplicas() bool { return m.Faults >= minSpareFaults }

// AllowsQuorumFirst reports whether a write or a read of a slot may be sent to a quorum of its
// replicas first, and to the others only if one of these fails. This holds if the slot has all
// its replicas, none of them is joining, syncing or being replaced, and the slot is not crowded.
//
// IsWriteDurable and ReadQuorum decide how many answers suffice, whichever replicas were asked.
// So the choice of replicas changes no guarantee, only the number of surplus copies of a record.
func (m *Map) AllowsQuorumFirst(slot int) bool {
	s := &m.Slots[slot]
	if !m.HasSpareReplicas() || len(s.Replicas) < m.ReplicationFactor() || s.Spanning || s.Guarded || !s.isStable() {
		return false
	}
	for _, r := range s.Replicas {
		if r.NeedsCopy() {
			return false
		}
	}
	_, crowded := m.crowdedDataCentre(s)
	return !crowded
}

// FormerMemberForRead returns the slot's former member, and whether a complete read needs its
// answer too: while fewer replicas than a quorum are active, it may be the only member that holds
// records whose other copies were on disks that have been lost since.
func (m *Map) FormerMemberForRead(slot int) (member string, needed bool) {
	s := &m.Slots[slot]
	if _, isMember := m.Members[s.FormerMember]; !isMember || !m.HasSpareReplicas() {
		return "", false
	}
	return s.FormerMember, s.ActiveCount() < m.Quorum()
}
