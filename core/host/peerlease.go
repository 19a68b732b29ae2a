package host

import (
	"encoding/json"
	"time"
)

// leaseCheckInterval is the time between reads of a suspected member's lease.
const leaseCheckInterval = 500 * time.Millisecond

// checkPeer follows a silent peer until its lease has lapsed, then revokes the
// lease. A member does so only while its own lease is valid and it reaches the
// platform. The slots of a revoked peer are claimed.
func (h *Host) checkPeer(p *peer) {
	if p.revoked {
		h.claimSlotsOf(p)
		return
	}
	if h.isHeard(p) || !p.heard && h.now < h.cfg.SuspectTimeout {
		return
	}
	if !p.suspected {
		p.suspected = true
		h.sched.SetPeer(p.name, nil)
		h.addNote(Note{Kind: NotePeerSuspected, Member: p.name})
	}
	if h.now < p.leaseCheckAt || !h.holdsLease() || !h.ops.reachable {
		return
	}
	p.leaseCheckAt = h.now + leaseCheckInterval
	if !h.isLocal(p) {
		p.leaseCheckAt = h.now + leaseListInterval
	}
	h.checkLease(p)
}

// checkLease reads the lease of a silent peer and revokes it if it has lapsed.
func (h *Host) checkLease(p *peer) {
	h.submitOp(PlatformOp{Kind: OpGet, Key: LeaseKey(p.name)}, func(r *PlatformReply) {
		switch r.Status {
		case OpNotFound: // it left after a graceful stop, and its lease was removed
			h.markGone(p)
			if !h.ownsSlots(p) {
				h.members.remove(p)
			}
		case OpOK:
			o := Object{Key: LeaseKey(p.name), Version: r.Version, Body: r.Body}
			h.updateFromLease(o)
			if !p.revoked && h.hasLapsed(p) {
				h.revokeLease(p, o)
			}
		}
	})
}

// hasLapsed reports whether the peer's lease has certainly lapsed by the peer's
// own clock.
func (h *Host) hasLapsed(p *peer) bool {
	if h.now < p.givenPromiseUntil || h.isHeard(p) || !h.holdsLease() {
		return false
	}
	wait := h.cfg.LeaseDuration + h.cfg.ClockMargin
	if !h.isLocal(p) || !p.heard {
		// A member of another data centre, or one that does not know this member,
		// may still serve on the promises of its own peers.
		wait += h.cfg.DataCentreLeaseDuration
	}
	return h.now >= p.leaseSeenAt+wait
}

// revokeLease marks a lapsed lease as revoked by conditional update, so that its
// holder can never renew it. Of several members that try, one succeeds.
func (h *Host) revokeLease(p *peer, o Object) {
	var l LeaseObject
	if json.Unmarshal(o.Body, &l) != nil {
		return
	}
	l.RevokedBy = h.self
	h.putObject(o.Key, o.Version, mustEncodeJSON(l), func(s OpStatus, version uint64) {
		if s != OpOK {
			return
		}
		p.revoked, p.revokedAt, p.tailPeer, p.leaseVersion = true, h.now, l.TailPeer, version
		h.markGone(p)
		h.addNote(Note{Kind: NoteTakeover, Member: p.name, Detail: "lease revoked"})
		h.claimSlotsOf(p)
	})
}
