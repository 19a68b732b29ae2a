package placement

import (
	"maps"
	"slices"

	"github.com/pistachioarch/pistachioarch/core/subset"
)

const (
	// WatchAll is up to how many members are all watched by everybody. Beyond it the watches
	// of all hosts together would grow with hosts times members.
	MaxProbeAllMembers = 32
	// watchNear and watchFar are the members of the own and of each other data centre that a
	// host watches of more: one that pauses must not look like the loss of a data centre.
	watchNear, watchFar = 4, 2
)

// WatchesAll reports whether hosts watch all members.
func (m *Map) ProbesAllMembers() bool { return len(m.Members) <= MaxProbeAllMembers }

// Watched returns the members that a host asks for signs of life, whether or not it has
// requests for them: all of a few, and of more some of each data centre, chosen by host, so
// that each member is watched by as many hosts.
func (m *Map) ProbedByHost(host, dataCentre string) map[string]bool {
	watched := map[string]bool{}
	for dc, ids := range m.byCentre() {
		n := watchFar
		if dc == dataCentre {
			n = watchNear
		}
		if m.ProbesAllMembers() {
			n = len(ids)
		}
		for _, id := range subset.Of(host, ids, n) {
			watched[id] = true
		}
	}
	return watched
}

// byCentre returns the members' ids by data centre.
func (m *Map) byCentre() map[string][]string {
	by := map[string][]string{}
	for id, x := range m.Members {
		by[x.DataCentre] = append(by[x.DataCentre], id)
	}
	return by
}

// Neighbours returns the other members of which a member needs to know whether they answer:
// all of a few; of many those that share slots with it, those that it follows, and in the order
// of ids over all and in its data centre the first ones, up to one more than a quorum that are
// alive, by which it knows whom to ask and whether it is its turn to act.
func (m *Map) ProbedByMember(self, dataCentre string, alive func(id string) bool) map[string]bool {
	near := map[string]bool{}
	if m.ProbesAllMembers() {
		for id := range m.Members {
			near[id] = true
		}
	} else {
		m.firstInto(near, slices.Sorted(maps.Keys(m.Members)), alive)
		m.firstInto(near, m.sortedOf(dataCentre), alive)
		m.sharing(self, near)
		for _, id := range m.Upstream(self, dataCentre, alive) {
			near[id] = true
		}
	}
	delete(near, self)
	return near
}

// firstInto adds the first of some ids, up to one more than a quorum that are alive.
func (m *Map) firstInto(near map[string]bool, ids []string, alive func(id string) bool) {
	left := m.Quorum() + 1
	for _, id := range ids {
		if left == 0 {
			return
		}
		near[id] = true
		if alive(id) {
			left--
		}
	}
}

// sharing adds the members that share slots with a member.
func (m *Map) sharing(self string, near map[string]bool) {
	for i := range m.Slots {
		s := &m.Slots[i]
		if _, in := s.Replica(self); !in {
			continue
		}
		for _, r := range s.Replicas {
			near[r.Member] = true
		}
		if _, known := m.Members[s.FormerMember]; known {
			near[s.FormerMember] = true
		}
	}
}
