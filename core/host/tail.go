package host

import (
	"cmp"
	"slices"

	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// collectTail requests the tail of a sealed stream from the peers. It waits for
// the reply of the member that the lease names, unless that one is dead too, and
// for those of the others up to maxTailWait. It reports whether the tail is
// complete.
func (h *Host) collectTail(s *streamReader) bool {
	if s.tailRequestedAt == 0 || h.now-s.tailRequestedAt > h.cfg.OperationTimeout {
		s.tailRequestedAt = max(h.now, 1)
		h.requestTails(s)
	}
	needed := s.tailPeer != "" && s.tailPeer != h.self && !s.tailReceivedFrom[s.tailPeer]
	if needed && h.mayTailPeerAnswer(s) {
		return false
	}
	if h.now-s.tailRequestedAt < maxTailWait && !h.hasAllTails(s) {
		return false
	}
	s.mergeTail()
	s.tailMerged = true
	return true
}

// mayTailPeerAnswer reports whether the tail peer may still answer. A tail peer
// that this member does not know yet, for example after a start, counts as alive
// until its lease shows that it is not.
func (h *Host) mayTailPeerAnswer(s *streamReader) bool {
	if p := h.members.peers[s.tailPeer]; p != nil {
		return !p.revoked && !p.gone
	}
	if h.now < s.tailLeaseCheckAt {
		return !s.tailPeerGone
	}
	s.tailLeaseCheckAt = h.now + leaseCheckInterval
	key := LeaseKey(s.tailPeer)
	h.submitOp(PlatformOp{Kind: OpGet, Key: key}, func(r *PlatformReply) {
		switch r.Status {
		case OpOK:
			h.updateFromLease(Object{Key: key, Version: r.Version, Body: r.Body})
		case OpNotFound:
			s.tailPeerGone = true
		}
	})
	return !s.tailPeerGone
}

// hasAllTails reports whether every live peer has replied.
func (h *Host) hasAllTails(s *streamReader) bool {
	for _, p := range h.members.list {
		if h.isHeard(p) && !s.tailReceivedFrom[p.name] {
			return false
		}
	}
	return true
}

// requestTails adds the tail kept by this member, seals it, and requests the
// tail from the other peers.
func (h *Host) requestTails(s *streamReader) {
	if own := h.log.peerTails[s.name]; own != nil {
		own.sealed = true
		s.tailRecords = append(s.tailRecords, own.records...)
	}
	for _, p := range h.members.list {
		if p.gone || s.tailReceivedFrom[p.name] {
			continue
		}
		h.send(p.address, &peerpb.Frame{Body: &peerpb.Frame_TailFetch{TailFetch: &peerpb.TailFetch{Stream: s.name}}})
	}
}

// handleTailData adds the tail that a peer kept for a stream being recovered.
func (h *Host) handleTailData(from *peer, m *peerpb.TailData) {
	for _, r := range h.slots.recoveries {
		for _, s := range r.streams {
			if s.name != m.Stream || s.tailMerged || s.tailReceivedFrom[from.name] {
				continue
			}
			s.tailReceivedFrom[from.name] = true
			s.tailRecords = append(s.tailRecords, m.Records...)
			if r.waiting {
				r.retryAt = h.now
			}
		}
	}
}

// mergeTail appends the records of the tail that no segment contains.
func (s *streamReader) mergeTail() {
	slices.SortStableFunc(s.tailRecords, func(a, b *peerpb.Record) int { return cmp.Compare(a.Lsn, b.Lsn) })
	for _, record := range s.tailRecords {
		if record.Lsn == s.lastLSN+1 {
			s.records = append(s.records, record)
			s.lastLSN = record.Lsn
		}
	}
	s.tailRecords = nil
}
