package history

import (
	"slices"
	"strings"

	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/core/quota"
)

// gauges serves what the member holds.
func (s *Server) gauges() {
	s.traffic.Register(s.meter, "served")
	s.meter.Gauge("programs", func() int64 { return int64(s.held().programs) })
	s.meter.Gauge("turns_bytes", func() int64 { return s.held().bytes })
	s.meter.Gauge("slot_map_epoch", func() int64 { return int64(s.held().epoch) })
	s.meter.Gauge("load_reporters", func() int64 { return int64(s.loadsState().ReporterCount) })
	s.meter.Gauge("slots_joining", func() int64 { return int64(s.held().joining) })
}

// holding is what a member holds.
type holding struct {
	programs        int
	bytes           int64
	epoch           uint64
	active, joining int
}

func (s *Server) held() holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := holding{programs: s.ledger.ProgramCount(), bytes: s.ledger.TurnBytes()}
	if s.slots == nil {
		return h
	}
	h.epoch = s.slots.Epoch
	for i := range s.slots.Slots {
		r, in := s.slots.Slots[i].Replica(s.member)
		switch {
		case in && r.Joining:
			h.joining++
		case in:
			h.active++
		}
	}
	return h
}

// State is a dump of a history host for operators. It holds no content of turns.
type State struct {
	Member       string `json:"member"`
	Epoch        uint64 `json:"epoch"`
	SlotsActive  int    `json:"slots_active"`
	SlotsJoining int    `json:"slots_joining"`
	Programs     int    `json:"programs"`
	TurnBytes    int64  `json:"turns_bytes"`
	// PlatformRevision is of the slot map at the platform; 0 if it was not read yet.
	PlatformRevision uint64        `json:"platform_revision"`
	Retiring         []string      `json:"retiring"`
	Members          []MemberState `json:"members"`
	// Quotas are this member's parts of customers' quotas.
	Quotas []quota.State `json:"quotas"`
	Loads  LoadsState    `json:"loads"`
}

// MemberState is a member as this one sees it.
type MemberState struct {
	placement.Member
	// SilentMs is since when it does not answer; 0 if it does.
	SilentMs int64 `json:"silent_ms"`
}

func (s *Server) quotaState() []quota.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quotas.State(s.elapsed())
}

// State returns a dump of the member.
func (k *Controller) State() State {
	h := k.server.held()
	s := State{
		Quotas: k.server.quotaState(), Loads: k.server.loadsState(), Member: k.self.ID, Epoch: h.epoch, SlotsActive: h.active, SlotsJoining: h.joining, Programs: h.programs, TurnBytes: h.bytes,
		Retiring: k.retirements.Retiring(),
	}
	k.mu.Lock()
	s.PlatformRevision = k.revision
	k.mu.Unlock()
	m := k.server.Map()
	if m == nil {
		return s
	}
	silent := k.peers.silentFor()
	for id, x := range m.Members {
		s.Members = append(s.Members, MemberState{Member: x, SilentMs: silent[id].Milliseconds()})
	}
	slices.SortFunc(s.Members, func(a, b MemberState) int { return strings.Compare(a.Host, b.Host) })
	return s
}
