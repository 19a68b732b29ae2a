package placement

import (
	"maps"
	"slices"

	"github.com/pistachioarch/pistachioarch/core/subset"
)

const (
	// MaxProbeAllMembers is the largest number of members at which every host and member probes
	// all members. Beyond it the number of probes would grow with hosts times members.
	MaxProbeAllMembers = 32
	// nearProbeCount and farProbeCount are the numbers of members that a host probes in its own
	// and in each other data centre above MaxProbeAllMembers. With more than one, a paused member
	// does not look like the loss of its data centre.
	nearProbeCount, farProbeCount = 4, 2
)

// ProbesAllMembers reports whether hosts and members probe all members.
func (m *Map) ProbesAllMembers() bool { return len(m.Members) <= MaxProbeAllMembers }

// ProbedByHost returns the set of members that a host probes, whether or not it has requests
// for them: all members if ProbesAllMembers, otherwise some members of each data centre, chosen
// by host so that all members are probed by about the same number of hosts.
func (m *Map) ProbedByHost(host, dataCentre string) map[string]bool {
	probed := map[string]bool{}
	for dc, ids := range m.memberIDsByDataCentre() {
		count := farProbeCount
		if dc == dataCentre {
			count = nearProbeCount
		}
		if m.ProbesAllMembers() {
			count = len(ids)
		}
		for _, id := range subset.Select(host, ids, count) {
			probed[id] = true
		}
	}
	return probed
}

// memberIDsByDataCentre returns the members' IDs by data centre, in no order.
func (m *Map) memberIDsByDataCentre() map[string][]string {
	ids := map[string][]string{}
	for id, member := range m.Members {
		ids[member.DataCentre] = append(ids[member.DataCentre], id)
	}
	return ids
}

// ProbedByMember returns the set of other members that a member probes: all if
// ProbesAllMembers, otherwise the members that share slots with it, its upstream members, and
// the first members by ID, over all and in its data centre, until a quorum plus one of them are
// alive. From the latter the member knows which members to follow, and whether it is the member
// that has to act.
func (m *Map) ProbedByMember(self, dataCentre string, alive func(id string) bool) map[string]bool {
	probed := map[string]bool{}
	if m.ProbesAllMembers() {
		for id := range m.Members {
			probed[id] = true
		}
	} else {
		m.addFirstAlive(probed, slices.Sorted(maps.Keys(m.Members)), alive)
		m.addFirstAlive(probed, m.sortedMemberIDs(dataCentre), alive)
		m.addSlotPeers(self, probed)
		for _, id := range m.Upstream(self, dataCentre, alive) {
			probed[id] = true
		}
	}
	delete(probed, self)
	return probed
}

// addFirstAlive adds ids to probed in their order until a quorum plus one of them are alive.
func (m *Map) addFirstAlive(probed map[string]bool, ids []string, alive func(id string) bool) {
	remaining := m.Quorum() + 1
	for _, id := range ids {
		if remaining == 0 {
			return
		}
		probed[id] = true
		if alive(id) {
			remaining--
		}
	}
}

// addSlotPeers adds to probed the members, and former members, of the slots of a member.
func (m *Map) addSlotPeers(self string, probed map[string]bool) {
	for i := range m.Slots {
		s := &m.Slots[i]
		if _, in := s.Replica(self); !in {
			continue
		}
		for _, r := range s.Replicas {
			probed[r.Member] = true
		}
		if _, isMember := m.Members[s.FormerMember]; isMember {
			probed[s.FormerMember] = true
		}
	}
}
