package placement

import (
	"encoding/json"
	"fmt"
	"math/bits"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// checker visits all interleavings, up to a number of states, of one slot whose replicas are on
// two disks in data centre a and one in data centre c. The steps are network cuts and their
// repair, the loss of a disk, map changes, adoptions of a map, copies, and turns that write and
// read from either side of a cut. The checker asserts for every two finished turns
//
//   - that a turn that began after the other was acknowledged has seen it;
//   - that at least one has seen the other, so that together they never overspend a budget;
//
// and that no acknowledged record is lost.
type checker struct {
	t          *testing.T
	maps       []*Map // by number
	mapNumbers map[string]int
	// cleanupWhileGuarded is a seeded fault: records at the platform are removed while slots are
	// guarded.
	cleanupWhileGuarded bool
	// cleanupWithStaleMap is a seeded fault: a member with an old map removes records that were
	// stored at the platform under a newer one.
	cleanupWithStaleMap bool
	// demoteWithoutSpanning is a seeded fault: demotion does not check that the slot is spanning.
	demoteWithoutSpanning bool
	// noPlatformCopies is a seeded fault: no records are stored at the platform.
	noPlatformCopies bool
	// activateWithoutRequiredAck is a seeded fault: a joining replica of a guarded slot becomes
	// active although its acknowledgement was not required before.
	activateWithoutRequiredAck bool
	// acceptNewerMap is a seeded fault: a member accepts writes made with a newer map than its own
	// although the slot may be guarded in that map.
	acceptNewerMap bool
	violation      string
}

const (
	checkerTurns   = 3
	checkerMembers = 5 // three, and successors for lost disks
	maxCuts        = 2
)

func (c *checker) memberID(i int) string { return fmt.Sprintf("m%d", i) }

// dataCentreOf returns the data centre of a member; a successor is in that of its host.
func (c *checker) dataCentreOf(s *checkerState, i int) string {
	if i < 3 {
		return checkerDataCentres[i]
	}
	return c.maps[s.latest].Members[c.memberID(i)].DataCentre
}

// callerDataCentre returns the data centre of the entry host that serves a turn's caller.
func callerDataCentre(turn int) string { return []string{"a", "c", "b"}[turn] }

// connected reports whether the network connects two data centres.
func (s *checkerState) connected(a, b string) bool {
	return a == b || s.cutDataCentre == 0 || string(s.cutDataCentre) != a && string(s.cutDataCentre) != b
}

// platformReachable reports whether a data centre reaches the platform.
func (s *checkerState) platformReachable(dataCentre string) bool {
	return s.cutDataCentre == 0 || string(s.cutDataCentre) != dataCentre
}

// mapNumber returns the number of a map, the same for equal maps.
func (c *checker) mapNumber(m *Map) int16 {
	encoded, err := json.Marshal(m)
	require.NoError(c.t, err)
	if n, ok := c.mapNumbers[string(encoded)]; ok {
		return int16(n)
	}
	c.maps = append(c.maps, m)
	c.mapNumbers[string(encoded)] = len(c.maps) - 1
	require.Less(c.t, len(c.maps), 1<<15)
	return int16(len(c.maps) - 1)
}

func (c *checker) slot(n int16) *Slot { return &c.maps[n].Slots[0] }

// initialState returns the state in which all replicas are active and the slot is crowded.
func (c *checker) initialState() checkerState {
	m := &Map{Epoch: 1, Faults: 1, Members: map[string]Member{}, Slots: make([]Slot, 1)}
	for i := range 3 {
		m.Members[c.memberID(i)] = Member{ID: c.memberID(i), Host: c.memberID(i), DataCentre: checkerDataCentres[i]}
	}
	m.Assign()
	s := checkerState{latest: c.mapNumber(m)}
	s.previous = s.latest
	for i := range 3 {
		s.members[i] = checkerMember{alive: true, adoptedMap: s.latest}
	}
	return s
}

// spanningState returns the state in which the slot is spanning and the outside replica has
// copied it.
func (c *checker) spanningState() checkerState {
	s := c.initialState()
	s, ok := c.changeMap(s, func(m *Map) bool { return m.SpanCrowdedSlots() })
	require.True(c.t, ok)
	s, ok = c.changeMap(s, func(m *Map) bool { return m.Activate("m2", map[int]uint64{0: m.Slots[0].ChangedEpoch}) })
	require.True(c.t, ok)
	s.previous = s.latest
	for i := range 3 {
		s.members[i].adoptedMap = s.latest
	}
	return s
}

// demotedState returns the state in which the crowded data centre is cut off and its replicas
// are demoted, so that the outside replica serves alone.
func (c *checker) demotedState() checkerState {
	s := c.spanningState()
	s.cutDataCentre, s.cutCount = 'a', 1
	s, ok := c.changeMap(s, func(m *Map) bool { return m.Demote(map[string]bool{"m0": true, "m1": true}) })
	require.True(c.t, ok)
	s.members[2].adoptedMap = s.latest
	return s
}

// changeMap applies a change of the latest map, and reports whether the map changed.
func (c *checker) changeMap(s checkerState, apply func(*Map) bool) (checkerState, bool) {
	m := c.maps[s.latest].Clone()
	if !apply(m) {
		return s, false
	}
	s.previous, s.latest = s.latest, c.mapNumber(m)
	return s, true
}

// successors returns all states that may follow.
func (c *checker) successors(s checkerState) []checkerState {
	var states []checkerState
	add := func(next checkerState, ok bool) {
		if ok {
			states = append(states, next)
		}
	}
	if s.cutDataCentre != 0 {
		next := s
		next.cutDataCentre = 0
		add(next, true)
	} else if s.cutCount < maxCuts {
		for _, dataCentre := range []byte{'a', 'c'} {
			next := s
			next.cutDataCentre, next.cutCount = dataCentre, s.cutCount+1
			add(next, true)
		}
	}
	for i := range checkerMembers {
		states = append(states, c.memberSteps(s, i)...)
	}
	for t := range checkerTurns {
		states = append(states, c.turnSteps(s, t)...)
	}
	return states
}

// memberSteps returns the states that may follow by a step of a member.
func (c *checker) memberSteps(s checkerState, i int) []checkerState {
	member := s.members[i]
	if !member.alive {
		return nil
	}
	var states []checkerState
	add := func(next checkerState, ok bool) {
		if ok {
			states = append(states, next)
		}
	}
	if !s.diskLost {
		add(c.loseDisk(s, i))
	}
	dataCentre := c.dataCentreOf(&s, i)
	if !s.platformReachable(dataCentre) {
		return states
	}
	add(c.removePlatformCopies(s, member.adoptedMap))
	if member.adoptedMap != s.latest {
		next := s
		next.members[i].adoptedMap = s.latest
		add(next, true)
		return states // a member changes only the newest map
	}
	silent := map[string]bool{}
	for j := range checkerMembers {
		_, in := c.maps[s.latest].Members[c.memberID(j)]
		if in && (!s.members[j].alive || !s.connected(dataCentre, c.dataCentreOf(&s, j))) {
			silent[c.memberID(j)] = true
		}
	}
	if len(silent) == 0 {
		add(c.changeMap(s, func(m *Map) bool { return m.SpanCrowdedSlots() }))
	}
	add(c.changeMap(s, func(m *Map) bool {
		if c.demoteWithoutSpanning {
			for k := range m.Slots {
				m.Slots[k].Spanning = true
				for j := range m.Slots[k].Replicas {
					m.Slots[k].Replicas[j].Syncing = false
				}
			}
		}
		return m.Demote(silent)
	}))
	add(c.changeMap(s, func(m *Map) bool { return m.UnspanSlots(silent) }))
	add(c.changeMap(s, func(m *Map) bool { return m.RequireAck(c.memberID(i)) }))
	states = append(states, c.copySteps(s, i)...)
	return states
}

// loseDisk wipes a disk; its host returns with an empty one, as a new member.
func (c *checker) loseDisk(s checkerState, i int) (checkerState, bool) {
	old := c.maps[s.latest].Members[c.memberID(i)]
	successor := slices.IndexFunc(s.members[3:], func(x checkerMember) bool { return !x.alive }) + 3
	if !s.platformReachable(old.DataCentre) {
		return s, false
	}
	s.diskLost = true
	s.members[i] = checkerMember{}
	next, ok := c.changeMap(s, func(m *Map) bool {
		return m.Admit(Member{ID: c.memberID(successor), Host: old.Host, DataCentre: old.DataCentre})
	})
	next.members[successor] = checkerMember{alive: true, adoptedMap: next.latest}
	return next, ok
}

// copySteps returns the states in which a member has copied from one more source, or has become
// active after copying from enough of them.
func (c *checker) copySteps(s checkerState, i int) []checkerState {
	m := c.maps[s.latest]
	r, in := m.Slots[0].Replica(c.memberID(i))
	if !in || !r.NeedsCopy() {
		return nil
	}
	var states []checkerState
	sources, minSources := m.CopySources(0, c.memberID(i))
	member := s.members[i]
	if member.copyMap != s.latest {
		member.copyMap, member.copiedFrom = s.latest, 0
	}
	if m.Slots[0].Guarded && m.Slots[0].ActiveCount() == 0 {
		member.records |= s.platformRecords()
	}
	for j := range checkerMembers {
		source := s.members[j]
		if !slices.Contains(sources, c.memberID(j)) || !source.alive || source.adoptedMap != s.latest || !s.connected(c.dataCentreOf(&s, i), c.dataCentreOf(&s, j)) || member.copiedFrom&(1<<j) != 0 {
			continue
		}
		next := s
		next.members[i] = member
		next.members[i].records |= source.records
		next.members[i].copiedFrom |= 1 << j
		states = append(states, next)
	}
	if bits.OnesCount8(member.copiedFrom) >= minSources && minSources > 0 {
		next, ok := c.changeMap(s, func(m *Map) bool {
			if c.activateWithoutRequiredAck {
				index := slices.IndexFunc(m.Slots[0].Replicas, func(r Replica) bool { return r.Member == c.memberID(i) })
				m.Slots[0].Replicas[index].AckRequired = true
			}
			return m.Activate(c.memberID(i), map[int]uint64{0: m.Slots[0].ChangedEpoch})
		})
		next.members[i] = member
		if ok {
			states = append(states, next)
		}
	}
	return states
}

// accepts reports whether a member serves a request made with a map.
func (c *checker) accepts(s *checkerState, i int, mapNumber int16) bool {
	member := s.members[i]
	return member.alive && c.maps[mapNumber].Epoch >= c.slot(member.adoptedMap).ChangedEpoch
}

// refusesNewerMap reports whether a member refuses a write because it was made with a newer map
// than its own, in which the slot may be guarded.
func (c *checker) refusesNewerMap(s *checkerState, i int, mapNumber int16) bool {
	adopted := s.members[i].adoptedMap
	return !c.acceptNewerMap && c.maps[mapNumber].Epoch > c.maps[adopted].Epoch && c.maps[adopted].MayBeGuarded(0)
}

// search visits states in breadth-first order until there are maxStates of them. It returns
// their number, and the path to the first state with a violation, nil if there is none.
func (c *checker) search(makeStart func() checkerState, maxStates int) (visited int, path []checkerState) {
	start := makeStart()
	predecessors := map[checkerState]checkerState{start: start}
	queue := []checkerState{start}
	for len(queue) > 0 && len(predecessors) < maxStates {
		s := queue[0]
		queue = queue[1:]
		for _, next := range c.successors(s) {
			if _, seen := predecessors[next]; seen {
				continue
			}
			predecessors[next] = s
			if c.violation = c.findViolation(next); c.violation != "" {
				for next != start {
					path = append(path, next)
					next = predecessors[next]
				}
				slices.Reverse(path)
				return len(predecessors), path
			}
			queue = append(queue, next)
		}
	}
	return len(predecessors), nil
}

// describe formats the violation and the states on the path to it.
func (c *checker) describe(path []checkerState) string {
	text := c.violation + "\n"
	for _, s := range path {
		text += fmt.Sprintf("cut %c, map %d %+v, members %+v, turns %+v, platform copies %v\n", max(s.cutDataCentre, '-'), s.latest, *c.slot(s.latest), s.members, s.turns, s.platformCopies)
	}
	return text
}
