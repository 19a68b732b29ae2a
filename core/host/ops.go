package host

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// operations tracks the operations submitted to the platform.
type operations struct {
	lastID    uint64
	pending   map[uint64]*pendingOp
	reachable bool          // whether the last direct operation was answered
	probedAt  time.Duration // last direct probe while unreachable
}

// pendingOp is an operation without a reply.
type pendingOp struct {
	op       PlatformOp
	deadline time.Duration
	relay    string // peer that relays it, empty if sent directly
	done     func(*PlatformReply)
}

// maxPutAttempts bounds how often one conditional write is sent.
const maxPutAttempts = 3

// probeInterval is the time between direct probes while the platform is
// unreachable.
const probeInterval = 500 * time.Millisecond

// watchTimeout is how long a watch may stay unanswered.
const watchTimeout = 40 * time.Second

// submitOp submits an operation; done is called once, in a later Step. While the
// platform is unreachable, the operation goes through a peer that reaches it.
func (h *Host) submitOp(op PlatformOp, done func(*PlatformReply)) {
	h.ops.lastID++
	op.ID = h.ops.lastID
	p := &pendingOp{op: op, deadline: h.now + h.cfg.OperationTimeout, done: done}
	if op.Kind == OpWatch {
		p.deadline = h.now + watchTimeout
	}
	h.ops.pending[op.ID] = p
	h.stats.PlatformOps++
	if relay := h.relayPeer(op.Kind); relay != nil {
		p.relay = relay.name
		h.send(relay.address, &peerpb.Frame{Body: &peerpb.Frame_RelayRequest{RelayRequest: &peerpb.RelayRequest{
			Op: op.ID, Kind: uint32(op.Kind), Key: op.Key, IfVersion: op.IfVersion, Body: op.Body,
		}}})
		return
	}
	h.ready.Ops = append(h.ready.Ops, op)
}

// relayPeer selects a peer to relay an operation, nil to send it directly.
// Watches and lists are never relayed.
func (h *Host) relayPeer(kind OpKind) *peer {
	if h.ops.reachable || kind == OpWatch || kind == OpList || kind == OpListKeys {
		return nil
	}
	return h.selectPeer(true, func(p *peer) bool { return p.platformOK && h.isHeard(p) })
}

// handlePlatformReply completes an operation. Direct operations, except watches,
// also show whether the platform is reachable.
func (h *Host) handlePlatformReply(r *PlatformReply) {
	p, ok := h.ops.pending[r.ID]
	if !ok {
		return
	}
	delete(h.ops.pending, r.ID)
	if p.relay == "" && p.op.Kind != OpWatch {
		h.setReachable(r.Status != OpUnavailable && r.Status != OpLost)
	}
	p.done(r)
}

func (h *Host) setReachable(ok bool) {
	if ok == h.ops.reachable {
		return
	}
	h.ops.reachable = ok
	kind := NotePlatformUp
	if !ok {
		kind = NotePlatformDown
	}
	h.addNote(Note{Kind: kind})
}

// timeOutOps completes overdue operations as OpLost, in order of their IDs.
func (h *Host) timeOutOps() {
	var late []uint64
	for id, p := range h.ops.pending {
		if p.deadline <= h.now {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		h.handlePlatformReply(&PlatformReply{ID: id, Status: OpLost})
	}
	if !h.ops.reachable && h.now-h.ops.probedAt >= probeInterval {
		h.ops.probedAt = h.now
		h.probe()
	}
}

// probe checks by a direct read whether the platform answers.
func (h *Host) probe() {
	h.ops.lastID++
	op := PlatformOp{ID: h.ops.lastID, Kind: OpGet, Key: h.lease.key(h)}
	h.ops.pending[op.ID] = &pendingOp{op: op, deadline: h.now + h.cfg.OperationTimeout, done: func(*PlatformReply) {}}
	h.stats.PlatformOps++
	h.ready.Ops = append(h.ready.Ops, op)
}

// putObject writes an object whose body no other writer would write. A write
// without a known result is settled by reading the object back. done gets OpOK,
// OpConflict, OpUnavailable, or OpLost if reading back did not determine the
// result either.
func (h *Host) putObject(key string, ifVersion uint64, body []byte, done func(OpStatus, uint64)) {
	h.tryPut(key, ifVersion, body, 1, done)
}

// tryPut sends one attempt of a conditional write.
func (h *Host) tryPut(key string, ifVersion uint64, body []byte, attempt int, done func(OpStatus, uint64)) {
	h.submitOp(PlatformOp{Kind: OpPut, Key: key, IfVersion: ifVersion, Body: body}, func(r *PlatformReply) {
		switch r.Status {
		case OpOK, OpUnavailable:
			done(r.Status, r.Version)
		default:
			h.readBack(key, ifVersion, body, attempt, done)
		}
	})
}

// readBack reads an object to determine the result of a write.
func (h *Host) readBack(key string, ifVersion uint64, body []byte, attempt int, done func(OpStatus, uint64)) {
	h.submitOp(PlatformOp{Kind: OpGet, Key: key}, func(r *PlatformReply) {
		switch {
		case r.Status == OpOK && bytes.Equal(r.Body, body):
			done(OpOK, r.Version)
		case r.Status == OpOK && r.Version > ifVersion:
			done(OpConflict, r.Version)
		case r.Status != OpOK && r.Status != OpNotFound, attempt >= maxPutAttempts:
			done(OpLost, 0)
		default: // not written, or a stale read; the condition makes a repetition safe
			h.tryPut(key, ifVersion, body, attempt+1, done)
		}
	})
}

// handleRelayRequest performs an operation for a peer that cannot reach the
// platform.
func (h *Host) handleRelayRequest(from *peer, m *peerpb.RelayRequest) {
	reply := func(r *PlatformReply) {
		h.send(from.address, &peerpb.Frame{Body: &peerpb.Frame_RelayReply{RelayReply: &peerpb.RelayReply{
			Op: m.Op, Status: uint32(r.Status), Version: r.Version, Body: r.Body,
		}}})
	}
	kind := OpKind(m.Kind)
	if !h.ops.reachable || kind > OpDelete || strings.HasPrefix(m.Key, "/") {
		reply(&PlatformReply{Status: OpUnavailable})
		return
	}
	h.submitOp(PlatformOp{Kind: kind, Key: m.Key, IfVersion: m.IfVersion, Body: m.Body}, reply)
}

func (h *Host) handleRelayReply(m *peerpb.RelayReply) {
	status := OpStatus(m.Status)
	if status > OpLost {
		status = OpLost
	}
	h.handlePlatformReply(&PlatformReply{ID: m.Op, Status: status, Version: m.Version, Body: m.Body})
}
