package placement

// checkerState is one state of the system: the slot map, members, data centre links and turns.
// It is comparable, so that each state is visited once. Maps are numbered by checker.maps; sets
// of members, and of turns, are bit masks.
type checkerState struct {
	latest, previous int16 // maps at the platform: the newest and the one before
	members          [checkerMembers]checkerMember
	cutDataCentre    byte // data centre that is cut off: 'a', 'c' or 0
	cutCount         int16
	diskLost         bool
	turns            [checkerTurns]checkerTurn
	// platformCopies holds, for each turn, the number of the map under which its record was
	// stored at the platform, plus one; 0 if it is not stored there.
	platformCopies [checkerTurns]int16
}

// checkerMember is the state of one disk.
type checkerMember struct {
	alive      bool
	adoptedMap int16
	records    uint8
	copiedFrom uint8 // members from which the current copy has been made so far
	copyMap    int16 // map of the current copy
}

// checkerTurn is the state of one turn, which writes its record and then reads the others.
type checkerTurn struct {
	phase       byte // 0 not begun, 1 writing, 2 acknowledged, 3 over
	mapNumber   int16
	acks        uint8 // members that acknowledged the write
	ackedBefore uint8 // turns that were acknowledged when this one began
	seen        uint8 // turns whose records the read returned
	delivered   uint8 // members that the write has reached or will not reach
}

// checkerDataCentres holds the data centres of the first members; a successor is in that of its
// host.
var checkerDataCentres = [checkerMembers]string{"a", "a", "c", "", ""}

// removePlatformCopies removes the records at the platform that a member may remove under the
// map that it has adopted.
func (c *checker) removePlatformCopies(s checkerState, adopted int16) (next checkerState, changed bool) {
	next = s
	if c.maps[adopted].AnyGuarded() && !c.cleanupWhileGuarded {
		return next, false
	}
	for t, writtenUnder := range s.platformCopies {
		if writtenUnder > 0 && (c.maps[writtenUnder-1].Epoch <= c.maps[adopted].Epoch || c.cleanupWithStaleMap) {
			next.platformCopies[t] = 0
			changed = true
		}
	}
	return next, changed
}

// platformRecords returns the set of turns whose records are stored at the platform.
func (s *checkerState) platformRecords() (set uint8) {
	for t, writtenUnder := range s.platformCopies {
		if writtenUnder > 0 {
			set |= 1 << t
		}
	}
	return set
}
