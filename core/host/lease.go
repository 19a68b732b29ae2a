package host

import (
	"encoding/json"
	"time"
)

// LeasePrefix is the key prefix of all leases; a lease has the key
// "leases/<member>".
const LeasePrefix = "leases/"

// LeaseKey returns the key of a member's lease.
func LeaseKey(member string) string { return LeasePrefix + member }

// LeaseObject is a lease as stored at the platform, encoded as JSON. It also
// registers the member with its peers.
type LeaseObject struct {
	Member     string `json:"member"`
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	DurationMS int64  `json:"duration_ms"`
	Renewal    uint64 `json:"renewal"`
	// TailPeer is the member that keeps the tail of this member's journal.
	TailPeer string `json:"tail,omitempty"`
	// FirstSegment and LastSegment bound the segments of the member's journal
	// stream that certainly exist: a segment is deleted only after FirstSegment
	// has been raised above it, and more segments may follow LastSegment.
	FirstSegment uint64 `json:"first_segment"`
	LastSegment  uint64 `json:"last_segment"`
	// RevokedBy is set by the member that takes over, or by the member itself
	// after a graceful stop. A revoked lease is never renewed: the renewal is a
	// conditional update and fails.
	RevokedBy string `json:"revoked_by,omitempty"`
}

// lease is this member's own lease.
//
// Invariant: validUntil never exceeds the time at which the last successful
// renewal was first sent plus the lease's duration. A member that waits for the
// lease to lapse counts from a later time, when it saw that renewal. So it waits
// longer than the holder serves, independent of the offset between their clocks.
type lease struct {
	version    uint64
	object     LeaseObject
	acquired   bool // whether a renewal has ever succeeded
	validUntil time.Duration
	renewedAt  time.Duration // when the last successful renewal was sent
	renewAt    time.Duration
	// pendingBody is the renewal that is being written or whose outcome is
	// unknown. It is sent again unchanged until its outcome is known: a
	// different body could not be distinguished from a revocation.
	pendingBody []byte
	sentAt      time.Duration
	writing     bool
	// wasSuspended is the state at the last tick; notes report its changes.
	wasSuspended bool
}

func (l *lease) key(h *Host) string { return LeaseKey(h.self) }

// acquireLease writes the member's first lease.
func (h *Host) acquireLease() {
	h.lease.object = LeaseObject{
		Member: h.self, Host: h.cfg.Host, DataCentre: h.cfg.DataCentre, Address: h.cfg.Address,
		DurationMS: h.cfg.LeaseDuration.Milliseconds(),
	}
	h.lease.wasSuspended = true
	h.renewLease()
}

// renewLease writes the next renewal, or repeats one whose outcome is unknown.
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

// handleLeaseWritten updates the lease by the result of a renewal. A conflict
// means that the lease was revoked.
func (h *Host) handleLeaseWritten(status OpStatus, version uint64) {
	l := &h.lease
	l.writing = false
	switch status {
	case OpOK:
		var written LeaseObject
		_ = json.Unmarshal(l.pendingBody, &written) // this member's own encoding
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

// tickLease renews the lease when due, and reports when the member stops or
// resumes serving.
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

// holdsLease reports whether the lease itself is valid by this host's clock.
func (h *Host) holdsLease() bool { return h.lease.acquired && h.now < h.lease.validUntil }

// mayServe reports whether certainly no other member owns this member's slots
// now.
func (h *Host) mayServe() bool {
	return !h.ready.Lost && (h.holdsLease() || h.now < h.servesUntil())
}

// servesUntil returns the time until which, as far as this member knows now,
// certainly no other member owns its slots.
//
// That is so while the lease is valid. After the lease it is so while every peer
// of the data centre has promised not to take over: either up to
// DataCentreLeaseDuration after the last renewal, which other data centres wait
// for, or without that bound if the members of all other data centres have
// promised too. A peer that is gone (it said goodbye, or its process is dead)
// needs no promise. With two hosts, a member that cannot reach the platform
// cannot distinguish the death of the other host from a partition between the
// two; then it does not serve after its lease.
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
	dataCentreUntil := h.lease.renewedAt + h.cfg.DataCentreLeaseDuration - h.cfg.ClockMargin
	return max(h.lease.validUntil, min(localPromise, max(dataCentreUntil, remotePromise)))
}
