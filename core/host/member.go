package host

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pistachioarch/pistachioarch/core/peerpb"
	"github.com/pistachioarch/pistachioarch/core/sched"
)

// membership is this host's knowledge of the other members, from three sources:
// the leases at the platform (which lag behind), the heartbeats, and the seeds
// in the settings.
type membership struct {
	peers      map[string]*peer
	list       []*peer // all peers, sorted by name
	seeds      []string
	heartbeats int // number of rounds of heartbeats sent
	// localPeers counts the other members of the same data centre, dead ones
	// included.
	localPeers int

	heartbeatAt       time.Duration
	listAt            time.Duration
	dataCentres       []string // other data centres with peers, sorted
	dataCentreCounter int      // modulo len(dataCentres), the one whose leases were listed last
}

// peer is another member.
type peer struct {
	name, address, dataCentre string
	// lastHeard is the time of its last message; heard is false before the
	// first.
	lastHeard time.Duration
	heard     bool
	suspected bool
	// gone reports that the member will not act any more: it said goodbye, its
	// lease is revoked, or its process is not running.
	gone bool
	// lastSentMS is the sent_ms of its last heartbeat, which this member's next
	// heartbeat to it echoes.
	lastSentMS int64
	// receivedPromiseUntil is the time, by this host's clock, until which the
	// peer has promised not to take over this member's slots; givenPromiseUntil
	// is the same promise of this member to the peer.
	receivedPromiseUntil, givenPromiseUntil time.Duration

	platformOK, draining, suspended bool
	configVersion                   uint64
	slots                           int

	// State of its lease, to decide when it has lapsed: leaseVersion has not
	// changed since leaseSeenAt.
	leaseVersion uint64
	leaseSeenAt  time.Duration
	tailPeer     string
	leaseCheckAt time.Duration
	revoked      bool
	revokedAt    time.Duration // when this member saw the revocation
}

func (m *membership) add(name, dataCentre, address string) *peer {
	p := &peer{name: name, dataCentre: dataCentre, address: address}
	m.peers[name] = p
	at, _ := slices.BinarySearchFunc(m.list, name, func(p *peer, n string) int { return strings.Compare(p.name, n) })
	m.list = slices.Insert(m.list, at, p)
	return p
}

func (m *membership) remove(p *peer) {
	delete(m.peers, p.name)
	m.list = slices.DeleteFunc(m.list, func(q *peer) bool { return q == p })
}

// isHeard reports whether the peer's messages still arrive. A peer of another
// data centre sends its heartbeats to the members of this one in turn, so its
// timeout is longer.
func (h *Host) isHeard(p *peer) bool {
	timeout := h.cfg.SuspectTimeout
	if !h.isLocal(p) {
		timeout *= time.Duration(h.members.localPeers + 1)
	}
	return p.heard && !p.gone && h.now-p.lastHeard < timeout
}

// selectPeer returns the first accepted peer: of this data centre if local, else
// of another one; if there is none, any other accepted peer, or nil.
func (h *Host) selectPeer(local bool, accepts func(*peer) bool) *peer {
	var fallback *peer
	for _, p := range h.members.list {
		if !accepts(p) {
			continue
		}
		if h.isLocal(p) == local {
			return p
		}
		if fallback == nil {
			fallback = p
		}
	}
	return fallback
}

// isLocal reports whether the peer is in this host's data centre.
func (h *Host) isLocal(p *peer) bool { return p.dataCentre == h.cfg.DataCentre }

func (h *Host) tickMembers() {
	if h.now >= h.members.heartbeatAt {
		h.members.heartbeatAt = h.now + h.cfg.HeartbeatInterval
		h.sendHeartbeats()
	}
	if h.now >= h.members.listAt {
		h.listMembers()
	}
	for _, p := range slices.Clone(h.members.list) {
		h.checkPeer(p)
	}
}

// sendHeartbeats sends a heartbeat to every peer of the data centre and, in
// turn, to one peer of each other data centre, so that its cost grows with the
// size of the data centre instead of the fleet. Seeds that belong to no known
// peer get one too.
func (h *Host) sendHeartbeats() {
	h.members.heartbeats++
	byDataCentre := map[string][]*peer{}
	h.members.localPeers = 0
	known := map[string]bool{h.cfg.Address: true}
	for _, p := range h.members.list {
		known[p.address] = true
		if h.isLocal(p) {
			h.members.localPeers++
		}
		if p.gone {
			continue
		}
		if h.isLocal(p) {
			h.sendHeartbeat(p)
			continue
		}
		byDataCentre[p.dataCentre] = append(byDataCentre[p.dataCentre], p)
	}
	h.members.dataCentres = sortedKeys(byDataCentre)
	for _, dc := range h.members.dataCentres {
		peers := byDataCentre[dc]
		h.sendHeartbeat(peers[h.members.heartbeats%len(peers)])
	}
	for _, seed := range h.members.seeds {
		if !known[seed] {
			h.send(seed, h.heartbeatFrame(nil))
		}
	}
}

func (h *Host) sendHeartbeat(p *peer) { h.send(p.address, h.heartbeatFrame(p)) }

// heartbeatFrame returns a heartbeat for a peer, or for an unknown one if p is
// nil. While the platform is unreachable it includes a promise not to take over
// the peer's slots.
func (h *Host) heartbeatFrame(p *peer) *peerpb.Frame {
	hb := &peerpb.Heartbeat{
		DataCentre: h.cfg.DataCentre, Address: h.cfg.Address, LeaseVersion: h.lease.version,
		PlatformReachable: h.ops.reachable, ConfigVersion: h.declaration.version,
		Draining: h.draining, Slots: uint32(len(h.ownedSlotsIn(h.cfg.DataCentre))), Suspended: h.lease.wasSuspended,
		SentMs: h.now.Milliseconds() + 1, Loads: h.targetLoads(),
	}
	if p != nil {
		hb.EchoMs = p.lastSentMS
		if !h.ops.reachable {
			hb.PromiseMs = h.cfg.PromiseDuration.Milliseconds()
			p.givenPromiseUntil = h.now + h.cfg.PromiseDuration
		}
	}
	return &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: hb}}
}

// targetLoads returns the load of this member on each target that it uses.
func (h *Host) targetLoads() []*peerpb.TargetLoad {
	var loads []*peerpb.TargetLoad
	for _, name := range h.sched.Targets() {
		t, _ := h.sched.Target(name)
		if t.InFlight > 0 || t.Held > 0 {
			loads = append(loads, &peerpb.TargetLoad{Target: name, InFlight: uint32(t.InFlight), HeldTokens: t.Held})
		}
	}
	return loads
}

// handlePeerFrame processes a message. Messages of unknown members are ignored,
// except for heartbeats.
func (h *Host) handlePeerFrame(f *peerpb.Frame) {
	if f.GetFrom() == "" || f.From == h.self {
		return
	}
	p := h.members.peers[f.From]
	if hb := f.GetHeartbeat(); hb != nil {
		if p == nil {
			p = h.members.add(f.From, hb.DataCentre, hb.Address)
			h.sendHeartbeat(p)
		}
		h.handleHeartbeat(p, hb)
		return
	}
	if p == nil {
		return
	}
	p.lastHeard, p.heard = h.now, true
	switch m := f.Body.(type) {
	case *peerpb.Frame_TailAppend:
		h.handleTailAppend(p, m.TailAppend)
	case *peerpb.Frame_TailAck:
		h.handleTailAck(p, m.TailAck)
	case *peerpb.Frame_TailTrim:
		h.handleTailTrim(m.TailTrim)
	case *peerpb.Frame_TailFetch:
		h.handleTailFetch(p, m.TailFetch)
	case *peerpb.Frame_TailData:
		h.handleTailData(p, m.TailData)
	case *peerpb.Frame_RelayRequest:
		h.handleRelayRequest(p, m.RelayRequest)
	case *peerpb.Frame_RelayReply:
		h.handleRelayReply(m.RelayReply)
	case *peerpb.Frame_Goodbye:
		h.markGone(p)
	case *peerpb.Frame_ConfigRequest:
		h.handleConfigRequest(p)
	case *peerpb.Frame_ConfigData:
		h.acceptConfig(m.ConfigData.Text)
	case *peerpb.Frame_SlotChanged:
		h.handleSlotChanged(m.SlotChanged)
	}
}

func (h *Host) handleHeartbeat(p *peer, hb *peerpb.Heartbeat) {
	p.lastHeard, p.heard, p.suspected = h.now, true, false
	if !p.revoked {
		p.gone = false
	}
	p.address, p.lastSentMS = hb.Address, hb.SentMs
	p.platformOK, p.draining, p.suspended = hb.PlatformReachable, hb.Draining, hb.Suspended
	p.configVersion, p.slots = hb.ConfigVersion, int(hb.Slots)
	if hb.EchoMs > 0 && hb.PromiseMs > 0 {
		// The promise counts from the time at which this host sent the heartbeat
		// that the peer echoes, so that a message that was delayed, or read late,
		// does not extend it.
		sentAt := time.Duration(hb.EchoMs-1) * time.Millisecond
		p.receivedPromiseUntil = max(p.receivedPromiseUntil, sentAt+time.Duration(hb.PromiseMs)*time.Millisecond)
	}
	if hb.LeaseVersion > p.leaseVersion {
		p.leaseVersion, p.leaseSeenAt = hb.LeaseVersion, h.now
	}
	loads := make(map[string]sched.PeerLoad, len(hb.Loads))
	for _, l := range hb.Loads {
		loads[l.Target] = sched.PeerLoad{InFlight: int(l.InFlight), Held: l.HeldTokens}
	}
	h.sched.SetPeer(p.name, loads)
	if hb.ConfigVersion > h.declaration.version {
		h.send(p.address, &peerpb.Frame{Body: &peerpb.Frame_ConfigRequest{ConfigRequest: &peerpb.ConfigRequest{}}})
	}
}

// handlePeerRefused marks the peers at an address where no process listens.
// Their leases must still lapse before their slots are taken over.
func (h *Host) handlePeerRefused(address string) {
	for _, p := range h.members.list {
		if p.address == address && !p.gone {
			h.markGone(p)
		}
	}
}

// markGone marks a peer as gone and drops its load on the targets.
func (h *Host) markGone(p *peer) {
	p.gone = true
	h.sched.SetPeer(p.name, nil)
}

// leaseListInterval is the time between two lists of leases.
const leaseListInterval = 5 * time.Second

// listMembers lists the leases of this data centre and, in turn, of one other,
// so that the number of reads does not grow with the number of data centres.
func (h *Host) listMembers() {
	h.members.listAt = h.now + leaseListInterval
	prefix := LeasePrefix
	if h.members.heartbeats > 0 {
		prefix = LeasePrefix + h.cfg.DataCentre + "/"
		if n := len(h.members.dataCentres); n > 0 {
			h.members.dataCentreCounter++
			h.listLeases(LeasePrefix + h.members.dataCentres[h.members.dataCentreCounter%n] + "/")
		}
	}
	h.listLeases(prefix)
}

func (h *Host) listLeases(prefix string) {
	h.submitOp(PlatformOp{Kind: OpList, Key: prefix}, func(r *PlatformReply) {
		if r.Status != OpOK {
			return
		}
		for _, o := range r.Objects {
			h.updateFromLease(o)
		}
	})
}

// updateFromLease updates a peer from its lease as read from the platform.
func (h *Host) updateFromLease(o Object) {
	var l LeaseObject
	if json.Unmarshal(o.Body, &l) != nil || l.Member == "" || l.Member == h.self {
		return
	}
	p := h.members.peers[l.Member]
	if p == nil {
		p = h.members.add(l.Member, l.DataCentre, l.Address)
	}
	if o.Version < p.leaseVersion {
		return // a stale read
	}
	p.tailPeer = l.TailPeer
	if o.Version > p.leaseVersion {
		p.leaseVersion, p.leaseSeenAt = o.Version, h.now
	}
	if l.RevokedBy != "" && !p.revoked {
		p.revoked, p.revokedAt = true, h.now
		h.markGone(p)
	}
	// An earlier incarnation of this host cannot be alive: this process listens
	// at its address.
	if l.Host == h.cfg.Host && l.Address == h.cfg.Address && !p.revoked {
		h.revokeLease(p, o)
	}
}
