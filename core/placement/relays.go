package placement

import (
	"maps"
	"slices"
)

// Relays returns the members that read the platform for the others: of those that are
// alive the first by id, as many as must be lost at once to lose them all.
func (m *Map) Relays(alive func(id string) bool) []string {
	return first(slices.Sorted(maps.Keys(m.Members)), m.Quorum(), alive)
}

// relayShare is how many members of a data centre there are for each of its relays, so that
// the hosts that one relay serves do not grow with the data centre.
const relayShare = 4

// RelaysOf returns the members that the hosts of a data centre ask for what the platform
// says. Of a few members these are the relays of all; of many the first of the data centre
// that are alive, and the relays of all where none is left there.
func (m *Map) DataCentreRelays(dataCentre string, alive func(id string) bool) []string {
	if m.ProbesAllMembers() {
		return m.Relays(alive)
	}
	ids := m.sortedOf(dataCentre)
	if near := first(ids, max(m.Quorum(), len(ids)/relayShare), alive); len(near) > 0 {
		return near
	}
	return m.Relays(alive)
}

// fanOut is how many members of a data centre follow one of them at most.
const fanOut = 8

// Upstream returns the members that a member asks itself, the best first. The first member of
// a data centre asks those before it of the relays of all; the others form a tree in which
// each asks the one at an eighth of its own place, or those before that. All of them come
// before it in the order of ids, so that no two follow each other. Nobody is upstream of the
// first member that is alive.
func (m *Map) Upstream(self, dataCentre string, alive func(id string) bool) []string {
	alive = orSelf(self, alive)
	if !m.ProbesAllMembers() {
		ids := m.sortedOf(dataCentre)
		if near := before(first(ids, len(ids), alive), self); len(near) > 0 {
			return m.parents(near)
		}
	}
	return before(m.Relays(alive), self)
}

// parents returns whom the member asks that comes after near in its data centre: as many as
// must be lost at once to lose them all.
func (m *Map) parents(near []string) []string {
	parent := len(near) / fanOut
	list := slices.Clone(near[max(0, parent-m.Faults) : parent+1])
	slices.Reverse(list)
	return list
}

// IsRelay reports whether others ask a member for what the platform says.
func (m *Map) IsRelay(self, dataCentre string, alive func(id string) bool) bool {
	alive = orSelf(self, alive)
	return slices.Contains(m.DataCentreRelays(dataCentre, alive), self) || slices.Contains(m.Relays(alive), self)
}

func orSelf(self string, alive func(id string) bool) func(id string) bool {
	return func(id string) bool { return id == self || alive(id) }
}

// before returns the ids, which are sorted, that come before id. A member asks only those,
// also while it is not admitted yet: one that asked a later member would follow it until its
// watch ends, and that member follows it as soon as it is admitted. Nobody would follow the
// platform then, and hosts wait for the slot map.
func before(ids []string, id string) []string {
	at, _ := slices.BinarySearch(ids, id)
	return ids[:at]
}

// first returns the first n of some ids that are alive.
func first(ids []string, n int, alive func(id string) bool) []string {
	var list []string
	for _, id := range ids {
		if len(list) < n && alive(id) {
			list = append(list, id)
		}
	}
	return list
}

// sortedOf returns the members of a data centre by id.
func (m *Map) sortedOf(dataCentre string) []string {
	var ids []string
	for id, x := range m.Members {
		if x.DataCentre == dataCentre {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
