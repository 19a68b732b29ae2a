package host

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pistachioarch/pistachioarch/core/peerpb"
	"github.com/pistachioarch/pistachioarch/core/sched"
)

// membership is what this host knows of the others. It comes from three
// sources: the leases at the platform (which lag), the heartbeats, and the
// seeds in the settings.
type membership struct {
	peers      map[string]*peer
	list       []*peer // the same, by name
	seeds      []string
	heartbeats int // heartbeats sent
	// locals counts the other members of the own data centre, dead ones too.
	localPeers int

	heartbeatAt    time.Duration
	listAt         time.Duration
	dataCentres    []string // other data centres, in order
	nextDataCentre int      // whose leases are listed next
}

// peer is one other member.
type peer struct {
	name, address, dataCentre string
	// lastHeard is the time of its last message; heard is false before any.
	lastHeard time.Duration
	heard     bool
	suspected bool
	// gone says that it will do nothing any more: it said goodbye, its lease is
	// revoked, or nothing listens at its address.
	gone bool
	// echo is the sent_ms of its last heartbeat, returned to it with ours.
	lastSentMS int64
	// promiseUntil is how long it has promised, by our clock, not to take over
	// our slots; promisedUntil what we have promised it.
	receivedPromiseUntil, givenPromiseUntil time.Duration

	platformOK, draining, suspended bool
	configVersion                   uint64
	slots                           int

	// What was seen of its lease, to judge when it has lapsed: version did not
	// change since seenAt.
	leaseVersion uint64
	leaseSeenAt  time.Duration
	tailPeer     string
	leaseCheckAt time.Duration
	revoked      bool
	revokedAt    time.Duration // when that was seen
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

// hears reports whether the peer's messages still come. A peer of another data
// centre sends to the members of this one in turn.
func (h *Host) isHeard(p *peer) bool {
	timeout := h.cfg.SuspectTimeout
	if !h.isLocal(p) {
		timeout *= time.Duration(h.members.localPeers + 1)
	}
	return p.heard && !p.gone && h.now-p.lastHeard < timeout
}

// prefer returns the first peer that will do, of the own data centre if local,
// else of another; failing that any that will do, or nil.
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

// local reports whether the peer is in this host's data centre.
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

// heartbeat goes to every peer of the data centre and to one peer of each other
// data centre in turn, so that its cost grows with the data centre, not the
// fleet. Seeds that are no known peer get one too.
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
		// Counted from when we sent what the peer answers, so that a message
		// that was long under way, or read late, grants nothing.
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

// peerRefused notes that nothing listens at an address. The lease of such a
// member must still lapse before its slots are taken over.
func (h *Host) handlePeerRefused(address string) {
	for _, p := range h.members.list {
		if p.address == address && !p.gone {
			h.markGone(p)
		}
	}
}

func (h *Host) markGone(p *peer) {
	p.gone = true
	h.sched.SetPeer(p.name, nil)
}

// refreshEvery paces the lists of leases.
const leaseListInterval = 5 * time.Second

// refreshMembers lists the leases of the own data centre and, in turn, of one
// other: the number of reads does not grow with the number of data centres.
func (h *Host) listMembers() {
	h.members.listAt = h.now + leaseListInterval
	prefix := LeasePrefix
	if h.members.heartbeats > 0 {
		prefix = LeasePrefix + h.cfg.DataCentre + "/"
		if n := len(h.members.dataCentres); n > 0 {
			h.members.nextDataCentre++
			h.listLeases(LeasePrefix + h.members.dataCentres[h.members.nextDataCentre%n] + "/")
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

// seeLease takes in the lease of another member.
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
	// An earlier incarnation of this very host cannot be alive: this process
	// holds its address.
	if l.Host == h.cfg.Host && l.Address == h.cfg.Address && !p.revoked {
		h.revokeLease(p, o)
	}
}
