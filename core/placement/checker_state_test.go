package placement

// checkState is one state of the world; comparable, so that it is visited once.
type checkState struct {
	latest, before int16 // maps at the platform: the newest and the one before
	members        [checkMembers]checkMember
	cut            byte // 'a', 'c' or 0
	cuts           int16
	lost           bool // a disk was lost
	turns          [checkTurns]checkTurn
	// kept is, for each turn, the map by which it lies at the platform, plus one; 0 if
	// it does not.
	kept [checkTurns]int16
}

type checkMember struct {
	alive   bool
	adopted int16
	records uint8
	copied  uint8 // sources of the copy under way
	under   int16 // map of that copy
}

type checkTurn struct {
	phase   byte // 0 not begun, 1 writing, 2 acknowledged, 3 over
	with    int16
	acks    uint8 // members
	after   uint8 // turns that were acknowledged when it began
	saw     uint8
	carried uint8 // members that the write has reached or will not reach
}

var checkPlaces = [checkMembers]string{"a", "a", "c", "", ""}

// tidy removes what is kept at the platform as far as a member's own map allows it.
func (c *checker) tidy(s checkState, own int16) (n checkState, changed bool) {
	n = s
	if c.maps[own].AnyGuarded() && !c.tidyEarly {
		return n, false
	}
	for t, by := range s.kept {
		if by > 0 && (c.maps[by-1].Epoch <= c.maps[own].Epoch || c.tidyStale) {
			n.kept[t] = 0
			changed = true
		}
	}
	return n, changed
}

// keptRecords are the records at the platform.
func (s *checkState) keptRecords() (set uint8) {
	for t, by := range s.kept {
		if by > 0 {
			set |= 1 << t
		}
	}
	return set
}
