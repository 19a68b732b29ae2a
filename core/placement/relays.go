package placement

import (
	"maps"
	"slices"
)

// Relays returns the members that read the platform on behalf of the others: the first alive
// members by ID. There are Quorum of them, one more than the number of faults to tolerate.
func (m *Map) Relays(alive func(id string) bool) []string {
	return firstAlive(slices.Sorted(maps.Keys(m.Members)), m.Quorum(), alive)
}

// membersPerRelay is the number of members of a data centre for each of its relays, so that
// the number of hosts that a relay serves does not grow with the data centre.
const membersPerRelay = 4

// DataCentreRelays returns the relays from which the hosts of a data centre learn the state of
// the platform: the result of Relays if ProbesAllMembers or if no member of the data centre is
// alive, otherwise the first alive members of the data centre by ID.
func (m *Map) DataCentreRelays(dataCentre string, alive func(id string) bool) []string {
	if m.ProbesAllMembers() {
		return m.Relays(alive)
	}
	ids := m.sortedMemberIDs(dataCentre)
	if relays := firstAlive(ids, max(m.Quorum(), len(ids)/membersPerRelay), alive); len(relays) > 0 {
		return relays
	}
	return m.Relays(alive)
}

// maxFollowers is the largest number of members of a data centre that have the same member as
// their preferred upstream.
const maxFollowers = 8

// Upstream returns the members that a member follows for the state of the platform, the
// preferred one first. The first member of a data centre follows the relays that precede it;
// the other members form a tree in which each follows the member at an eighth of its own
// position, or the members before that one. All upstream members have a smaller ID, so that no
// two members follow each other. The first alive member has no upstream.
func (m *Map) Upstream(self, dataCentre string, alive func(id string) bool) []string {
	alive = aliveOrSelf(self, alive)
	if !m.ProbesAllMembers() {
		ids := m.sortedMemberIDs(dataCentre)
		if earlier := idsBefore(firstAlive(ids, len(ids), alive), self); len(earlier) > 0 {
			return m.upstreamInDataCentre(earlier)
		}
	}
	return idsBefore(m.Relays(alive), self)
}

// upstreamInDataCentre returns the members that the member after earlier in its data centre
// follows, the preferred one first: up to one more than the number of faults to tolerate.
func (m *Map) upstreamInDataCentre(earlier []string) []string {
	parentIndex := len(earlier) / maxFollowers
	parents := slices.Clone(earlier[max(0, parentIndex-m.Faults) : parentIndex+1])
	slices.Reverse(parents)
	return parents
}

// IsRelay reports whether others learn the state of the platform from a member.
func (m *Map) IsRelay(self, dataCentre string, alive func(id string) bool) bool {
	alive = aliveOrSelf(self, alive)
	return slices.Contains(m.DataCentreRelays(dataCentre, alive), self) || slices.Contains(m.Relays(alive), self)
}

// aliveOrSelf returns alive extended by the member itself.
func aliveOrSelf(self string, alive func(id string) bool) func(id string) bool {
	return func(id string) bool { return id == self || alive(id) }
}

// idsBefore returns the elements of the sorted ids that are smaller than id. A member follows
// only these, also before it is admitted: if it followed a later member, it would do so until
// its watch ends, while that member follows it as soon as it is admitted. Then no member would
// follow the platform, and hosts would wait for the slot map.
func idsBefore(ids []string, id string) []string {
	index, _ := slices.BinarySearch(ids, id)
	return ids[:index]
}

// firstAlive returns the first n alive members of ids, fewer if there are not as many.
func firstAlive(ids []string, n int, alive func(id string) bool) []string {
	var aliveIDs []string
	for _, id := range ids {
		if len(aliveIDs) < n && alive(id) {
			aliveIDs = append(aliveIDs, id)
		}
	}
	return aliveIDs
}

// sortedMemberIDs returns the IDs of the members of a data centre in ascending order.
func (m *Map) sortedMemberIDs(dataCentre string) []string {
	var ids []string
	for id, member := range m.Members {
		if member.DataCentre == dataCentre {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
