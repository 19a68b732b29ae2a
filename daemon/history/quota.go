package history

import (
	"math"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/core/quota"
)

// updateSlotHeldSince records since when the member has held each slot of a newer map. Tokens
// granted earlier, by this member before the process started or by the member from which it takes
// over a slot, are unknown. The caller holds mu.
func (s *Server) updateSlotHeldSince(old, next *placement.Map) {
	now := s.elapsed()
	for i := range min(len(next.Slots), len(s.slotHeldSince)) {
		if old != nil && hasReplica(old, i, s.memberID) {
			continue
		}
		if hasReplica(next, i, s.memberID) {
			s.slotHeldSince[i] = now
		}
	}
}

// hasReplica reports whether a member has a replica of a slot.
func hasReplica(m *placement.Map, slot int, member string) bool {
	_, in := m.Slots[slot].Replica(member)
	return in
}

// grantToken grants a token of this member's part of a customer's quota if one is available.
func (s *Server) grantToken(slot uint32, request *historypb.Take) *historypb.Reply {
	limit := quota.Limit{Rate: request.Rate, Burst: request.Burst}
	s.mu.Lock()
	defer s.mu.Unlock()
	if int(slot) >= len(s.slotHeldSince) { // regional slots have no quotas
		return &historypb.Reply{Status: historypb.Status_STATUS_UNAVAILABLE}
	}
	replicas := s.slotMap.Slots[slot].Replicas
	if !hasReplica(s.slotMap, int(slot), s.memberID) || !isValidLimit(limit) {
		return &historypb.Reply{Status: historypb.Status_STATUS_UNAVAILABLE}
	}
	grant := s.quotas.Take(quota.TokenRequest{
		Customer: request.Customer, FirstOfProgram: request.First, Limit: limit, Version: request.Version, Parts: len(replicas), HeldSince: s.slotHeldSince[slot],
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

// isValidLimit reports whether the rate is positive, the burst is not negative and both are
// finite.
func isValidLimit(limit quota.Limit) bool {
	return limit.Rate > 0 && limit.Burst >= 0 && !math.IsInf(limit.Rate, 0) && !math.IsInf(limit.Burst, 0)
}
