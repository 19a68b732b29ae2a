package placement

import (
	"fmt"
	"math/bits"
)

// turnSteps returns what may follow by a step of a turn.
func (c *checker) turnSteps(s checkState, t int) []checkState {
	var list []checkState
	switch x := s.turns[t]; x.phase {
	case 0:
		if t > 0 && s.turns[t-1].phase == 0 {
			return nil // turns begin in order, to visit less
		}
		for _, with := range []int16{s.latest, s.before} {
			n := s
			n.turns[t] = checkTurn{phase: 1, with: with}
			for u := range checkTurns {
				if s.turns[u].phase >= 2 {
					n.turns[t].after |= 1 << u
				}
			}
			list = append(list, n)
			if s.latest == s.before {
				break
			}
		}
	case 1:
		for i := range checkMembers {
			list = append(list, c.deliver(s, t, i)...)
		}
	case 2:
		for _, with := range []int16{x.with, s.latest} {
			list = append(list, c.reads(s, t, with)...)
			if x.with == s.latest {
				break
			}
		}
	}
	return list
}

// deliver brings the write of a turn to a member.
func (c *checker) deliver(s checkState, t, i int) []checkState {
	x := s.turns[t]
	_, in := c.slot(x.with).Replica(c.id(i))
	if !in || x.carried&(1<<i) != 0 || !s.together(place(t), c.centre(&s, i)) || !c.accepts(&s, i, x.with) || c.behind(&s, i, x.with) {
		return nil
	}
	n := s
	n.turns[t].carried |= 1 << i
	n.members[i].records |= 1 << t
	own, holds := c.slot(s.members[i].adopted).Replica(c.id(i))
	if holds && !own.Joining && !c.keepless && c.maps[s.members[i].adopted].NeedsPlatformCopy(0) {
		if !s.platform(c.centre(&s, i)) {
			return []checkState{n} // on disk, and not acknowledged
		}
		n.kept[t] = s.members[i].adopted + 1
	}
	n.turns[t].acks |= 1 << i
	acks := map[string]bool{}
	for j := range checkMembers {
		acks[c.id(j)] = n.turns[t].acks&(1<<j) != 0
	}
	if c.maps[x.with].IsWriteDurable(c.slot(x.with), acks) {
		n.turns[t].phase = 2
	}
	return []checkState{n}
}

// reads ends a turn with every complete reading that it may get.
func (c *checker) reads(s checkState, t int, with int16) []checkState {
	slot := c.slot(with)
	var can []int
	for i := range checkMembers {
		r, in := slot.Replica(c.id(i))
		if in && !r.Joining && s.together(place(t), c.centre(&s, i)) && c.accepts(&s, i, with) {
			can = append(can, i)
		}
	}
	need := c.maps[with].ReadQuorum(slot)
	var list []checkState
	for set := range 1 << len(can) {
		if bits.OnesCount(uint(set)) != need {
			continue
		}
		n := s
		n.turns[t].phase = 3
		for k, i := range can {
			if set&(1<<k) != 0 {
				n.turns[t].saw |= s.members[i].records
			}
		}
		list = append(list, n)
	}
	return list
}

// wrong returns what does not hold in a state.
func (c *checker) wrong(s checkState) string {
	for t := range checkTurns {
		x := s.turns[t]
		if x.phase >= 2 && !c.held(&s, t) {
			return fmt.Sprintf("turn %d is lost", t)
		}
		if x.phase != 3 {
			continue
		}
		if x.after&^x.saw != 0 {
			return fmt.Sprintf("turn %d did not see one that was acknowledged before it began: %03b", t, x.after&^x.saw)
		}
		for u := range t {
			if s.turns[u].phase == 3 && x.saw&(1<<u) == 0 && s.turns[u].saw&(1<<t) == 0 {
				return fmt.Sprintf("turns %d and %d did not see each other", u, t)
			}
		}
	}
	return ""
}

// held reports whether a record is on some disk or kept at the platform.
func (c *checker) held(s *checkState, t int) bool {
	held := s.keptRecords()
	for _, x := range s.members {
		if x.alive {
			held |= x.records
		}
	}
	return held&(1<<t) != 0
}
