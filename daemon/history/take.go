package history

import (
	"math"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/core/quota"
)

// noteSlots notes since when the member keeps each slot of a newer map. What it granted of
// slots that it kept before the process started is not known, nor what the member granted
// from which it takes a slot over. The caller holds mu.
func (s *Server) noteSlots(old, next *placement.Map) {
	now := s.elapsed()
	for i := range min(len(next.Slots), len(s.heldSince)) {
		if old != nil && keeps(old, i, s.member) {
			continue
		}
		if keeps(next, i, s.member) {
			s.heldSince[i] = now
		}
	}
}

// keeps reports whether a member keeps a slot of a map.
func keeps(m *placement.Map, slot int, member string) bool {
	_, in := m.Slots[slot].Replica(member)
	return in
}

// take grants a token of this member's part of a customer's quota, if there is one.
func (s *Server) take(slot uint32, t *historypb.Take) *historypb.Reply {
	limit := quota.Limit{Rate: t.Rate, Burst: t.Burst}
	s.mu.Lock()
	defer s.mu.Unlock()
	if int(slot) >= len(s.heldSince) { // of a region, which no quota is
		return &historypb.Reply{Status: historypb.Status_STATUS_UNAVAILABLE}
	}
	replicas := s.slots.Slots[slot].Replicas
	if !keeps(s.slots, int(slot), s.member) || !sound(limit) {
		return &historypb.Reply{Status: historypb.Status_STATUS_UNAVAILABLE}
	}
	grant := s.quotas.Take(quota.TokenRequest{
		Customer: t.Customer, FirstOfProgram: t.First, Limit: limit, Version: t.Version, Parts: len(replicas), HeldSince: s.heldSince[slot],
	}, s.elapsed())
	reply := &historypb.Reply{Status: historypb.Status_STATUS_OK}
	if grant.Granted {
		s.meter.Count("quota_tokens", "granted")
		return reply
	}
	s.meter.Count("quota_tokens", "refused")
	us := grant.RetryDelay.Microseconds()
	reply.TokenInUs, reply.TokenDueUs = &us, grant.NextTokenIn.Microseconds()
	return reply
}

// sound reports whether a limit can be one.
func sound(l quota.Limit) bool {
	return l.Rate > 0 && l.Burst >= 0 && !math.IsInf(l.Rate, 0) && !math.IsInf(l.Burst, 0)
}
