package host

import (
	"cmp"
	"slices"

	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// collectTail asks the peers for the tail of a sealed stream. It must have the
// answer of the member that the lease names, unless that one is dead too, and
// gives the others a moment. It reports whether the tail is complete.
func (h *Host) collectTail(s *streamReader) bool {
	if s.tailAsked == 0 || h.now-s.tailAsked > h.cfg.OperationTimeout {
		s.tailAsked = max(h.now, 1)
		h.askTails(s)
	}
	needed := s.tail != "" && s.tail != h.self && !s.tailFrom[s.tail]
	if needed && h.tailPeerAlive(s) {
		return false
	}
	if h.now-s.tailAsked < tailWait && !h.allTailsIn(s) {
		return false
	}
	s.mergeTail()
	s.tailDone = true
	return true
}

// tailPeerAlive reports whether the tail's keeper may still answer. One that is
// not known here, as after a start, counts as alive until its lease says
// otherwise.
func (h *Host) tailPeerAlive(s *streamReader) bool {
	if p := h.members.peers[s.tail]; p != nil {
		return !p.revoked && !p.gone
	}
	if h.now < s.tailLookAt {
		return !s.tailGone
	}
	s.tailLookAt = h.now + leaseCheckEvery
	key := LeaseKey(s.tail)
	h.do(PlatformOp{Kind: OpGet, Key: key}, func(r *PlatformReply) {
		switch r.Status {
		case OpOK:
			h.seeLease(Object{Key: key, Version: r.Version, Body: r.Body})
		case OpNotFound:
			s.tailGone = true
		}
	})
	return !s.tailGone
}

func (h *Host) allTailsIn(s *streamReader) bool {
	for _, p := range h.members.list {
		if h.hears(p) && !s.tailFrom[p.name] {
			return false
		}
	}
	return true
}

func (h *Host) askTails(s *streamReader) {
	if own := h.log.tails[s.name]; own != nil {
		own.sealed = true
		s.tailPart = append(s.tailPart, own.records...)
	}
	for _, p := range h.members.list {
		if p.gone || s.tailFrom[p.name] {
			continue
		}
		h.send(p.address, &peerpb.Frame{Body: &peerpb.Frame_TailFetch{TailFetch: &peerpb.TailFetch{Stream: s.name}}})
	}
}

// tailData takes in the tail that a peer kept for a stream under recovery.
func (h *Host) tailData(from *peer, m *peerpb.TailData) {
	for _, r := range h.slots.recoveries {
		for _, s := range r.streams {
			if s.name != m.Stream || s.tailDone || s.tailFrom[from.name] {
				continue
			}
			s.tailFrom[from.name] = true
			s.tailPart = append(s.tailPart, m.Records...)
			if r.waiting {
				r.retryAt = h.now
			}
		}
	}
}

// mergeTail appends the records of the tail that no segment holds.
func (s *streamReader) mergeTail() {
	slices.SortStableFunc(s.tailPart, func(a, b *peerpb.Record) int { return cmp.Compare(a.Lsn, b.Lsn) })
	for _, rec := range s.tailPart {
		if rec.Lsn == s.lastLSN+1 {
			s.records = append(s.records, rec)
			s.lastLSN = rec.Lsn
		}
	}
	s.tailPart = nil
}
