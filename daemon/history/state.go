package history

import (
	"slices"
	"strings"

	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/core/quota"
)

// registerGauges registers the gauges of the member's contents.
func (s *Server) registerGauges() {
	s.traffic.Register(s.meter, "served")
	s.meter.Gauge("programs", func() int64 { return int64(s.contents().programs) })
	s.meter.Gauge("turns_bytes", func() int64 { return s.contents().bytes })
	s.meter.Gauge("slot_map_epoch", func() int64 { return int64(s.contents().epoch) })
	s.meter.Gauge("load_reporters", func() int64 { return int64(s.loadsState().ReporterCount) })
	s.meter.Gauge("slots_joining", func() int64 { return int64(s.contents().joining) })
}

// contents is a summary of what a member stores: the number of programs, the bytes of turns, the
// epoch of the slot map in use, and the numbers of slots by the state of this member's replica.
type contents struct {
	programs        int
	bytes           int64
	epoch           uint64
	active, joining int
}

func (s *Server) contents() contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := contents{programs: s.ledger.ProgramCount(), bytes: s.ledger.TurnBytes()}
	if s.slotMap == nil {
		return held
	}
	held.epoch = s.slotMap.Epoch
	for i := range s.slotMap.Slots {
		r, in := s.slotMap.Slots[i].Replica(s.memberID)
		switch {
		case in && r.Joining:
			held.joining++
		case in:
			held.active++
		}
	}
	return held
}

// State is a dump of a history host for operators. Member is the member's ID, Epoch that of the
// slot map in use. The dump holds no content of turns.
type State struct {
	Member       string `json:"member"`
	Epoch        uint64 `json:"epoch"`
	SlotsActive  int    `json:"slots_active"`
	SlotsJoining int    `json:"slots_joining"`
	Programs     int    `json:"programs"`
	TurnBytes    int64  `json:"turns_bytes"`
	// PlatformRevision is the revision of the slot map object at the platform; 0 if it has not
	// been read yet.
	PlatformRevision uint64        `json:"platform_revision"`
	Retiring         []string      `json:"retiring"`
	Members          []MemberState `json:"members"`
	// Quotas are this member's parts of customers' quotas.
	Quotas []quota.State `json:"quotas"`
	Loads  LoadsState    `json:"loads"`
}

// MemberState is the state of a member as seen by this one.
type MemberState struct {
	placement.Member
	// SilentMs is the time in milliseconds since the first failed probe; 0 if the member answers.
	SilentMs int64 `json:"silent_ms"`
}

func (s *Server) quotaStates() []quota.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quotas.State(s.elapsed())
}

// State returns a dump of the member.
func (c *Controller) State() State {
	held := c.server.contents()
	s := State{
		Quotas: c.server.quotaStates(), Loads: c.server.loadsState(), Member: c.self.ID, Epoch: held.epoch, SlotsActive: held.active, SlotsJoining: held.joining, Programs: held.programs, TurnBytes: held.bytes,
		Retiring: c.retirements.Retiring(),
	}
	c.mu.Lock()
	s.PlatformRevision = c.mapRevision
	c.mu.Unlock()
	m := c.server.Map()
	if m == nil {
		return s
	}
	silent := c.peers.silenceDurations()
	for id, member := range m.Members {
		s.Members = append(s.Members, MemberState{Member: member, SilentMs: silent[id].Milliseconds()})
	}
	slices.SortFunc(s.Members, func(a, b MemberState) int { return strings.Compare(a.Host, b.Host) })
	return s
}
