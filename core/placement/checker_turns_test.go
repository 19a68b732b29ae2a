package placement

import (
	"fmt"
	"math/bits"
)

// turnSteps returns the states that may follow by a step of a turn.
func (c *checker) turnSteps(s checkerState, t int) []checkerState {
	var states []checkerState
	switch turn := s.turns[t]; turn.phase {
	case 0:
		if t > 0 && s.turns[t-1].phase == 0 {
			return nil // turns begin in order, to visit fewer states
		}
		for _, mapNumber := range []int16{s.latest, s.previous} {
			next := s
			next.turns[t] = checkerTurn{phase: 1, mapNumber: mapNumber}
			for u := range checkerTurns {
				if s.turns[u].phase >= 2 {
					next.turns[t].ackedBefore |= 1 << u
				}
			}
			states = append(states, next)
			if s.latest == s.previous {
				break
			}
		}
	case 1:
		for i := range checkerMembers {
			states = append(states, c.deliver(s, t, i)...)
		}
	case 2:
		for _, mapNumber := range []int16{turn.mapNumber, s.latest} {
			states = append(states, c.readSteps(s, t, mapNumber)...)
			if turn.mapNumber == s.latest {
				break
			}
		}
	}
	return states
}

// deliver returns the state after a member has received the write of a turn, nil if it cannot
// receive or does not accept it.
func (c *checker) deliver(s checkerState, t, i int) []checkerState {
	turn := s.turns[t]
	_, in := c.slot(turn.mapNumber).Replica(c.memberID(i))
	if !in || turn.delivered&(1<<i) != 0 || !s.connected(callerDataCentre(t), c.dataCentreOf(&s, i)) || !c.accepts(&s, i, turn.mapNumber) || c.refusesNewerMap(&s, i, turn.mapNumber) {
		return nil
	}
	next := s
	next.turns[t].delivered |= 1 << i
	next.members[i].records |= 1 << t
	own, holds := c.slot(s.members[i].adoptedMap).Replica(c.memberID(i))
	if holds && !own.Joining && !c.noPlatformCopies && c.maps[s.members[i].adoptedMap].NeedsPlatformCopy(0) {
		if !s.platformReachable(c.dataCentreOf(&s, i)) {
			return []checkerState{next} // on disk but not acknowledged
		}
		next.platformCopies[t] = s.members[i].adoptedMap + 1
	}
	next.turns[t].acks |= 1 << i
	acks := map[string]bool{}
	for j := range checkerMembers {
		acks[c.memberID(j)] = next.turns[t].acks&(1<<j) != 0
	}
	if c.maps[turn.mapNumber].IsWriteDurable(c.slot(turn.mapNumber), acks) {
		next.turns[t].phase = 2
	}
	return []checkerState{next}
}

// readSteps returns the states after a turn ended with each complete read that it may get.
func (c *checker) readSteps(s checkerState, t int, mapNumber int16) []checkerState {
	slot := c.slot(mapNumber)
	var readable []int
	for i := range checkerMembers {
		r, in := slot.Replica(c.memberID(i))
		if in && !r.Joining && s.connected(callerDataCentre(t), c.dataCentreOf(&s, i)) && c.accepts(&s, i, mapNumber) {
			readable = append(readable, i)
		}
	}
	quorum := c.maps[mapNumber].ReadQuorum(slot)
	var states []checkerState
	for set := range 1 << len(readable) {
		if bits.OnesCount(uint(set)) != quorum {
			continue
		}
		next := s
		next.turns[t].phase = 3
		for k, i := range readable {
			if set&(1<<k) != 0 {
				next.turns[t].seen |= s.members[i].records
			}
		}
		states = append(states, next)
	}
	return states
}

// findViolation describes the assertion that a state violates, empty if there is none.
func (c *checker) findViolation(s checkerState) string {
	for t := range checkerTurns {
		turn := s.turns[t]
		if turn.phase >= 2 && !c.isRecordStored(&s, t) {
			return fmt.Sprintf("turn %d is lost", t)
		}
		if turn.phase != 3 {
			continue
		}
		if turn.ackedBefore&^turn.seen != 0 {
			return fmt.Sprintf("turn %d did not see turns that were acknowledged before it began: mask %03b", t, turn.ackedBefore&^turn.seen)
		}
		for u := range t {
			if s.turns[u].phase == 3 && turn.seen&(1<<u) == 0 && s.turns[u].seen&(1<<t) == 0 {
				return fmt.Sprintf("turns %d and %d did not see each other", u, t)
			}
		}
	}
	return ""
}

// isRecordStored reports whether a turn's record is on some disk or at the platform.
func (c *checker) isRecordStored(s *checkerState, t int) bool {
	stored := s.platformRecords()
	for _, member := range s.members {
		if member.alive {
			stored |= member.records
		}
	}
	return stored&(1<<t) != 0
}
