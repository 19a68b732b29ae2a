package host

import (
	"encoding/json"
	"time"
)

// LeasePrefix is the key prefix of all leases: "leases/<member>".
const LeasePrefix = "leases/"

// LeaseKey is the key of one member's lease.
func LeaseKey(member string) string { return LeasePrefix + member }

// LeaseObject is a lease as it stands at the platform. It also registers the
// member with its peers.
type LeaseObject struct {
	Member     string `json:"member"`
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	DurationMS int64  `json:"duration_ms"`
	Renewal    uint64 `json:"renewal"`
	// Tail is the member that keeps the tail of this one's journal.
	TailPeer string `json:"tail,omitempty"`
	// First and Last bound the segments of the member's journal stream that
	// surely exist: none below First is deleted before this says so, and more
	// may follow Last.
	FirstSegment uint64 `json:"first_segment"`
	LastSegment  uint64 `json:"last_segment"`
	// RevokedBy is set by the member that takes over, or by the member itself when
	// it has left in good order. A revoked lease is never renewed: the renewal is a conditional update and fails.
	RevokedBy string `json:"revoked_by,omitempty"`
}

// lease is this member's own lease.
//
// Invariant: until never exceeds the time at which the last successful renewal
// was first sent plus the lease's duration. Whoever waits for the lease to
// lapse counts from a later moment (when it saw that renewal), so it waits
// longer than the holder serves, whatever their clocks show.
type lease struct {
	version    uint64
	object     LeaseObject
	acquired   bool // acquired once
	validUntil time.Duration
	renewedAt  time.Duration // when the last successful renewal was sent
	renewAt    time.Duration
	// body is the renewal under way or of unknown outcome. It is sent again
	// unchanged until its outcome is known: another body could not be told
	// from a revocation.
	pendingBody []byte
	sentAt      time.Duration
	writing     bool
	// suspended is what the last tick found, for notes.
	wasSuspended bool
}

func (l *lease) key(h *Host) string { return LeaseKey(h.self) }

func (h *Host) acquireLease() {
	h.lease.object = LeaseObject{
		Member: h.self, Host: h.cfg.Host, DataCentre: h.cfg.DataCentre, Address: h.cfg.Address,
		DurationMS: h.cfg.LeaseDuration.Milliseconds(),
	}
	h.lease.wasSuspended = true
	h.renewLease()
}

func (h *Host) renewLease() {
	l := &h.lease
	if l.writing {
		return
	}
	if l.pendingBody == nil {
		l.object.Renewal++
		l.object.TailPeer = h.log.tailPeer
		l.object.FirstSegment, l.object.LastSegment = h.log.firstNeeded, h.log.writer.LastSegment()
		l.pendingBody = mustEncodeJSON(l.object)
		l.sentAt = h.now
	}
	l.writing = true
	h.putObject(l.key(h), l.version, l.pendingBody, h.handleLeaseWritten)
}

func (h *Host) handleLeaseWritten(status OpStatus, version uint64) {
	l := &h.lease
	l.writing = false
	switch status {
	case OpOK:
		var written LeaseObject
		_ = json.Unmarshal(l.pendingBody, &written) // our own
		h.log.registeredTailPeer, h.log.registeredFirst = written.TailPeer, written.FirstSegment
		l.version, l.renewedAt, l.pendingBody = version, l.sentAt, nil
		l.validUntil = l.renewedAt + h.cfg.LeaseDuration
		l.renewAt = l.renewedAt + h.cfg.RenewInterval
		if !l.acquired {
			l.acquired = true
			h.addNote(Note{Kind: NoteLeaseAcquired, Member: h.self})
		}
	case OpConflict:
		h.markLost("lease revoked")
	default:
		l.renewAt = h.now + h.cfg.RenewInterval/4
	}
}

func (h *Host) tickLease() {
	l := &h.lease
	if h.now >= l.renewAt {
		h.renewLease()
	}
	suspended := !h.mayServe()
	if suspended == l.wasSuspended {
		return
	}
	l.wasSuspended = suspended
	if suspended {
		h.addNote(Note{Kind: NoteSuspended, Member: h.self})
		return
	}
	h.addNote(Note{Kind: NoteResumed, Member: h.self})
	h.sched.WakeAll()
}

// holdsLease reports whether the lease itself holds by this host's clock.
func (h *Host) holdsLease() bool { return h.lease.acquired && h.now < h.lease.validUntil }

// mayServe reports whether no other member can own this member's slots now.
func (h *Host) mayServe() bool {
	return !h.ready.Lost && (h.holdsLease() || h.now < h.servesUntil())
}

// servesUntil is until when, from what is known now, no other member can own
// this member's slots.
//
// That holds under the lease. Past the lease it holds while every peer of the
// data centre has promised not to take over: either for DataCentreLease since
// the last renewal, which other data centres wait out, or without end if the
// members of all other data centres have promised too. A peer that is gone
// (said goodbye, or its process is dead) needs no promise. Two hosts, one dead
// and the other cut off, cannot be told from a split; then it does not hold.
func (h *Host) servesUntil() time.Duration {
	if h.ready.Lost || !h.lease.acquired {
		return 0
	}
	const forever = time.Duration(1<<63 - 1)
	localPromise, remotePromise := forever, forever
	for _, p := range h.members.list {
		switch {
		case p.gone:
		case h.isLocal(p):
			localPromise = min(localPromise, p.receivedPromiseUntil)
		default:
			remotePromise = min(remotePromise, p.receivedPromiseUntil)
		}
	}
	dataCentre := h.lease.renewedAt + h.cfg.DataCentreLeaseDuration - h.cfg.ClockMargin
	return max(h.lease.validUntil, min(localPromise, max(dataCentre, remotePromise)))
}
