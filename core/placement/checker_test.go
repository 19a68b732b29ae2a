package placement

import (
	"encoding/json"
	"fmt"
	"math/bits"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// The checker visits all interleavings, up to a number of states, of one slot whose
// replicas lie on two disks of data centre a and one of data centre c: cuts, heals, a lost disk, map changes,
// adoptions, copies, and turns that write and read from either side. It asserts of
// every two turns that are over
//
//   - that one that began after the other was acknowledged has seen it;
//   - that at least one has seen the other: together they never overspend a budget;
//
// and that no acknowledged record is lost.
type checker struct {
	t     *testing.T
	maps  []*Map // by number
	known map[string]int
	// tidyEarly is a seeded fault: kept records go while slots are guarded.
	tidyEarly bool
	// tidyStale is a seeded fault: a member with an old map removes what is kept under a
	// newer one.
	tidyStale bool
	// spanless is a seeded fault: demotion does not ask whether the slot spanned.
	spanless bool
	// keepless: nothing is kept at the platform.
	keepless bool
	// unrequired: a joining replica of a guarded slot becomes active without more.
	unrequired bool
	// hasty: a member takes writes made with a newer map than its own.
	hasty bool
	fault string
}

const (
	checkTurns   = 3
	checkMembers = 5 // three, and successors of lost disks
	mostCuts     = 2
)

func (c *checker) id(i int) string { return fmt.Sprintf("m%d", i) }

// centre returns the data centre of a member; a successor is where its host is.
func (c *checker) centre(s *checkState, i int) string {
	if i < 3 {
		return checkPlaces[i]
	}
	return c.maps[s.latest].Members[c.id(i)].DataCentre
}

// place returns where the caller's host of a turn is.
func place(turn int) string { return []string{"a", "c", "b"}[turn] }

func (s *checkState) together(a, b string) bool {
	return a == b || s.cut == 0 || string(s.cut) != a && string(s.cut) != b
}

func (s *checkState) platform(centre string) bool { return s.cut == 0 || string(s.cut) != centre }

func (c *checker) number(m *Map) int16 {
	text, err := json.Marshal(m)
	require.NoError(c.t, err)
	if n, ok := c.known[string(text)]; ok {
		return int16(n)
	}
	c.maps = append(c.maps, m)
	c.known[string(text)] = len(c.maps) - 1
	require.Less(c.t, len(c.maps), 1<<15)
	return int16(len(c.maps) - 1)
}

func (c *checker) slot(n int16) *Slot { return &c.maps[n].Slots[0] }

// first is the state in which all replicas are active, and the slot is crowded.
func (c *checker) first() checkState {
	m := &Map{Epoch: 1, Faults: 1, Members: map[string]Member{}, Slots: make([]Slot, 1)}
	for i := range 3 {
		m.Members[c.id(i)] = Member{ID: c.id(i), Host: c.id(i), DataCentre: checkPlaces[i]}
	}
	m.Assign()
	s := checkState{latest: c.number(m)}
	s.before = s.latest
	for i := range 3 {
		s.members[i] = checkMember{alive: true, adopted: s.latest}
	}
	return s
}

// spanned is the state in which the slot spans and the replica outside has copied it.
func (c *checker) spanned() checkState {
	s := c.first()
	s, ok := c.change(s, func(m *Map) bool { return m.SpanCrowdedSlots() })
	require.True(c.t, ok)
	s, ok = c.change(s, func(m *Map) bool { return m.Activate("m2", map[int]uint64{0: m.Slots[0].ChangedEpoch}) })
	require.True(c.t, ok)
	s.before = s.latest
	for i := range 3 {
		s.members[i].adopted = s.latest
	}
	return s
}

// demoted is the state in which the crowded data centre is cut off, and the replica
// outside has taken over.
func (c *checker) demoted() checkState {
	s := c.spanned()
	s.cut, s.cuts = 'a', 1
	s, ok := c.change(s, func(m *Map) bool { return m.Demote(map[string]bool{"m0": true, "m1": true}) })
	require.True(c.t, ok)
	s.members[2].adopted = s.latest
	return s
}

// change applies a change of the map by a member.
func (c *checker) change(s checkState, apply func(*Map) bool) (checkState, bool) {
	m := c.maps[s.latest].Clone()
	if !apply(m) {
		return s, false
	}
	s.before, s.latest = s.latest, c.number(m)
	return s, true
}

// next returns all states that may follow.
func (c *checker) next(s checkState) []checkState {
	var list []checkState
	add := func(n checkState, ok bool) {
		if ok {
			list = append(list, n)
		}
	}
	if s.cut != 0 {
		n := s
		n.cut = 0
		add(n, true)
	} else if s.cuts < mostCuts {
		for _, centre := range []byte{'a', 'c'} {
			n := s
			n.cut, n.cuts = centre, s.cuts+1
			add(n, true)
		}
	}
	for i := range checkMembers {
		list = append(list, c.memberSteps(s, i)...)
	}
	for t := range checkTurns {
		list = append(list, c.turnSteps(s, t)...)
	}
	return list
}

func (c *checker) memberSteps(s checkState, i int) []checkState {
	x := s.members[i]
	if !x.alive {
		return nil
	}
	var list []checkState
	add := func(n checkState, ok bool) {
		if ok {
			list = append(list, n)
		}
	}
	if !s.lost {
		add(c.lose(s, i))
	}
	centre := c.centre(&s, i)
	if !s.platform(centre) {
		return list
	}
	add(c.tidy(s, x.adopted))
	if x.adopted != s.latest {
		n := s
		n.members[i].adopted = s.latest
		add(n, true)
		return list // a keeper acts on the newest map
	}
	silent := map[string]bool{}
	for j := range checkMembers {
		_, in := c.maps[s.latest].Members[c.id(j)]
		if in && (!s.members[j].alive || !s.together(centre, c.centre(&s, j))) {
			silent[c.id(j)] = true
		}
	}
	if len(silent) == 0 {
		add(c.change(s, func(m *Map) bool { return m.SpanCrowdedSlots() }))
	}
	add(c.change(s, func(m *Map) bool {
		if c.spanless {
			for k := range m.Slots {
				m.Slots[k].Spanning = true
				for j := range m.Slots[k].Replicas {
					m.Slots[k].Replicas[j].Syncing = false
				}
			}
		}
		return m.Demote(silent)
	}))
	add(c.change(s, func(m *Map) bool { return m.UnspanSlots(silent) }))
	add(c.change(s, func(m *Map) bool { return m.RequireAck(c.id(i)) }))
	list = append(list, c.copies(s, i)...)
	return list
}

// lose wipes a disk; its host comes back with an empty one, as another member.
func (c *checker) lose(s checkState, i int) (checkState, bool) {
	old := c.maps[s.latest].Members[c.id(i)]
	successor := slices.IndexFunc(s.members[3:], func(x checkMember) bool { return !x.alive }) + 3
	if !s.platform(old.DataCentre) {
		return s, false
	}
	s.lost = true
	s.members[i] = checkMember{}
	n, ok := c.change(s, func(m *Map) bool {
		return m.Admit(Member{ID: c.id(successor), Host: old.Host, DataCentre: old.DataCentre})
	})
	n.members[successor] = checkMember{alive: true, adopted: n.latest}
	return n, ok
}

// copies lets a joining member copy from one more source, and become active.
func (c *checker) copies(s checkState, i int) []checkState {
	m := c.maps[s.latest]
	r, in := m.Slots[0].Replica(c.id(i))
	if !in || !r.NeedsCopy() {
		return nil
	}
	var list []checkState
	from, need := m.CopySources(0, c.id(i))
	x := s.members[i]
	if x.under != s.latest {
		x.under, x.copied = s.latest, 0
	}
	if m.Slots[0].Guarded && m.Slots[0].ActiveCount() == 0 {
		x.records |= s.keptRecords()
	}
	for j := range checkMembers {
		y := s.members[j]
		if !slices.Contains(from, c.id(j)) || !y.alive || y.adopted != s.latest || !s.together(c.centre(&s, i), c.centre(&s, j)) || x.copied&(1<<j) != 0 {
			continue
		}
		n := s
		n.members[i] = x
		n.members[i].records |= y.records
		n.members[i].copied |= 1 << j
		list = append(list, n)
	}
	if bits.OnesCount8(x.copied) >= need && need > 0 {
		n, ok := c.change(s, func(m *Map) bool {
			if c.unrequired {
				at := slices.IndexFunc(m.Slots[0].Replicas, func(r Replica) bool { return r.Member == c.id(i) })
				m.Slots[0].Replicas[at].AckRequired = true
			}
			return m.Activate(c.id(i), map[int]uint64{0: m.Slots[0].ChangedEpoch})
		})
		n.members[i] = x
		if ok {
			list = append(list, n)
		}
	}
	return list
}

// accepts reports whether a member serves a request made with a map.
func (c *checker) accepts(s *checkState, i int, with int16) bool {
	x := s.members[i]
	return x.alive && c.maps[with].Epoch >= c.slot(x.adopted).ChangedEpoch
}

// behind reports whether a member must not serve a write made with a newer map than
// its own.
func (c *checker) behind(s *checkState, i int, with int16) bool {
	own := s.members[i].adopted
	return !c.hasty && c.maps[with].Epoch > c.maps[own].Epoch && c.maps[own].MayBeGuarded(0)
}

// run visits states in order of their distance, up to a number of them, and returns
// how many, and the way to the first that is wrong.
func (c *checker) run(from func() checkState, most int) (visited int, way []checkState) {
	start := from()
	cameFrom := map[checkState]checkState{start: start}
	queue := []checkState{start}
	for len(queue) > 0 && len(cameFrom) < most {
		s := queue[0]
		queue = queue[1:]
		for _, n := range c.next(s) {
			if _, seen := cameFrom[n]; seen {
				continue
			}
			cameFrom[n] = s
			if c.fault = c.wrong(n); c.fault != "" {
				for n != start {
					way = append(way, n)
					n = cameFrom[n]
				}
				slices.Reverse(way)
				return len(cameFrom), way
			}
			queue = append(queue, n)
		}
	}
	return len(cameFrom), nil
}

func (c *checker) explain(way []checkState) string {
	out := c.fault + "\n"
	for _, s := range way {
		out += fmt.Sprintf("cut %c, map %d %+v, members %+v, turns %+v, kept %v\n", max(s.cut, '-'), s.latest, *c.slot(s.latest), s.members, s.turns, s.kept)
	}
	return out
}

// checkStates is how many states CI visits, in some 15 s; PLACEMENT_STATES sets another
// number for a deeper run by hand.
const checkStates = 400_000

func statesToVisit(t *testing.T) int {
	text, set := os.LookupEnv("PLACEMENT_STATES")
	if !set {
		return checkStates
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

func newChecker(t *testing.T) *checker { return &checker{t: t, known: map[string]int{}} }

func TestCutsOfCrowdedSlotsKeepWhatIsAcknowledged(t *testing.T) {
	for name, from := range map[string]func(*checker) checkState{
		"crowded": (*checker).first, "spanned": (*checker).spanned, "demoted": (*checker).demoted,
	} {
		t.Run(name, func(t *testing.T) {
			c := newChecker(t)
			visited, way := c.run(func() checkState { return from(c) }, statesToVisit(t))
			t.Logf("%d states, %d maps", visited, len(c.maps))
			require.Empty(t, way, "%s", c.explain(way))
		})
	}
}

// The checker sees faults that are built in.
func TestCheckerSeesSeededFaults(t *testing.T) {
	cases := map[string]struct {
		seed func(*checker)
		from func(*checker) checkState
	}{
		"a slot that did not span is taken over":              {func(c *checker) { c.spanless = true }, (*checker).first},
		"kept records go while slots are guarded":             {func(c *checker) { c.tidyEarly = true }, (*checker).demoted},
		"a member with an old map removes kept records":       {func(c *checker) { c.tidyStale = true }, (*checker).demoted},
		"nothing is kept at the platform":                     {func(c *checker) { c.keepless = true }, (*checker).demoted},
		"a member acknowledges by an old map":                 {func(c *checker) { c.hasty = true }, (*checker).spanned},
		"a joining replica misses writes before it is active": {func(c *checker) { c.unrequired = true }, (*checker).demoted},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			c := newChecker(t)
			x.seed(c)
			_, way := c.run(func() checkState { return x.from(c) }, statesToVisit(t))
			require.NotEmpty(t, way)
			t.Log(c.explain(way))
		})
	}
}

// After a cut of the crowded data centre the others go on, if the slot was made to
// span before; without that no part of the hosts can serve.
func TestTheRestGoesOnWhenTheCrowdedDataCentreIsCutOff(t *testing.T) {
	for _, spans := range []bool{false, true} {
		c := newChecker(t)
		s := c.first()
		slots := c.maps[s.latest].Clone()
		if spans {
			require.True(t, slots.SpanCrowdedSlots())
			require.True(t, slots.Activate("m2", map[int]uint64{0: slots.Slots[0].ChangedEpoch}))
		}
		silent := map[string]bool{"m0": true, "m1": true}
		changed := slots.Demote(silent)
		require.Equal(t, spans, changed)
		left := map[string]bool{"m2": true}
		require.Equal(t, spans, slots.IsWriteDurable(&slots.Slots[0], left), "the rest serves")
		require.Equal(t, spans, slots.NeedsPlatformCopy(0), "and keeps a second copy")
	}
}
