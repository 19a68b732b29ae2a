package host

import "github.com/pistachioarch/pistachioarch/core/decl"

// Dump is the state of a member for operators, encoded as JSON. It contains no
// prompt text.
type Dump struct {
	Member        string         `json:"member"`
	DataCentre    string         `json:"data_centre"`
	NowMS         int64          `json:"now_ms"`
	MayServe      bool           `json:"may_serve"`
	Draining      bool           `json:"draining"`
	Lost          bool           `json:"lost"`
	PlatformOK    bool           `json:"platform_reachable"`
	ConfigVersion uint64         `json:"config_version"`
	ConfigRefused uint64         `json:"config_refused,omitempty"`
	Lease         DumpLease      `json:"lease"`
	Journal       DumpJournal    `json:"journal"`
	Slots         []DumpSlot     `json:"slots"`
	Peers         []DumpPeer     `json:"peers"`
	Targets       []DumpTarget   `json:"targets"`
	Queues        map[string]int `json:"queues"`
	Programs      []DumpProgram  `json:"programs"`
	Releases      int            `json:"releases_pending"`
	Recoveries    int            `json:"recoveries"`
	Stats         Stats          `json:"stats"`
}

// DumpLease is the state of the member's lease. RemainingMS is negative once the
// lease has lapsed.
type DumpLease struct {
	Version     uint64 `json:"version"`
	RemainingMS int64  `json:"left_ms"`
	TailPeer    string `json:"tail_peer"`
}

// DumpJournal is the state of the member's journal stream: the last LSN
// assigned, stored at the platform and acknowledged by the tail peer; the last
// segment written and the first one needed; the size of the records not yet at
// the platform; the number of actions that wait for durability; and the number
// of tails kept for other members.
type DumpJournal struct {
	LastLSN      uint64 `json:"last_lsn"`
	PlatformLSN  uint64 `json:"platform_lsn"`
	TailLSN      uint64 `json:"tail_lsn"`
	Segments     uint64 `json:"segments"`
	FirstSegment uint64 `json:"first_segment"`
	PendingBytes int    `json:"pending_bytes"`
	Waiting      int    `json:"waiting"`
	TailsHeld    int    `json:"tails_held"`
}

// DumpSlot is a slot that the member owns. State is loading, serving or moving.
type DumpSlot struct {
	Slot        string `json:"slot"`
	Epoch       uint64 `json:"epoch"`
	State       string `json:"state"`
	Programs    int    `json:"programs"`
	ActiveCalls int    `json:"busy"`
}

// DumpPeer is another member. Heard reports whether its messages still arrive,
// Gone whether it has left, is revoked or is not running.
type DumpPeer struct {
	Member             string `json:"member"`
	DataCentre         string `json:"data_centre"`
	Address            string `json:"address"`
	Heard              bool   `json:"heard"`
	Gone               bool   `json:"gone"`
	PlatformOK         bool   `json:"platform_reachable"`
	ConfigVersion      uint64 `json:"config_version"`
	PromiseRemainingMS int64  `json:"promise_left_ms"`
	Slots              int    `json:"slots"`
}

// DumpTarget is a declared target with the in-flight calls and estimated cached
// tokens of this member and its peers.
type DumpTarget struct {
	Target       string `json:"target"`
	InFlight     int    `json:"in_flight"`
	PeerInFlight int    `json:"peer_in_flight"`
	HeldTokens   int64  `json:"held_tokens"`
	BreakerOpen  bool   `json:"breaker_open"`
	Leaving      bool   `json:"leaving"`
}

// DumpProgram is one program. Budget, Spent and Reserved count tokens; Waiting
// counts the calls behind the active one; Ended is the reason of its end.
type DumpProgram struct {
	Program      string   `json:"program"`
	Caller       string   `json:"caller"`
	Parent       string   `json:"parent,omitempty"`
	Turns        int      `json:"turns"`
	State        string   `json:"state,omitempty"` // of the active call
	Waiting      int      `json:"waiting"`
	Budget       int64    `json:"budget"`
	Spent        int64    `json:"spent"`
	Reserved     int64    `json:"reserved"`
	Ended        string   `json:"ended,omitempty"`
	Corrupt      bool     `json:"corrupt,omitempty"`
	CacheTargets []string `json:"holders,omitempty"`
}

// Dump returns the state of the member. It must not run concurrently with Step.
func (h *Host) Dump() *Dump {
	d := &Dump{
		Member: h.self, DataCentre: h.cfg.DataCentre, NowMS: h.now.Milliseconds(),
		MayServe: h.mayServe(), Draining: h.draining, Lost: h.ready.Lost, PlatformOK: h.ops.reachable,
		ConfigVersion: h.declaration.version, ConfigRefused: h.declaration.rejectedVersion,
		Lease: DumpLease{Version: h.lease.version, RemainingMS: (h.lease.validUntil - h.now).Milliseconds(), TailPeer: h.log.tailPeer},
		Journal: DumpJournal{
			LastLSN: h.log.writer.LastLSN(), PlatformLSN: h.log.writer.DurableLSN(), TailLSN: h.log.tailAcked,
			Segments: h.log.writer.LastSegment(), FirstSegment: h.log.firstNeeded,
			PendingBytes: h.log.writer.PendingBytes(), Waiting: len(h.log.waits), TailsHeld: len(h.log.peerTails),
		},
		Queues: map[string]int{}, Releases: len(h.releaseTasks), Recoveries: len(h.slots.recoveries), Stats: h.stats,
	}
	for _, own := range h.ownedSlots() {
		d.Slots = append(d.Slots, DumpSlot{
			Slot: own.slot.String(), Epoch: own.epoch, State: slotStateNames[own.state], Programs: len(own.programs), ActiveCalls: own.activeCalls,
		})
	}
	for _, p := range h.members.list {
		d.Peers = append(d.Peers, DumpPeer{
			Member: p.name, DataCentre: p.dataCentre, Address: p.address, Heard: h.isHeard(p), Gone: p.gone,
			PlatformOK: p.platformOK, ConfigVersion: p.configVersion, Slots: p.slots,
			PromiseRemainingMS: max(0, (p.receivedPromiseUntil - h.now).Milliseconds()),
		})
	}
	h.dumpTargets(d)
	for _, id := range sortedKeys(h.programs) {
		d.Programs = append(d.Programs, h.programs[id].dump())
	}
	return d
}

func (h *Host) dumpTargets(d *Dump) {
	for _, name := range h.sched.Targets() {
		t, _ := h.sched.Target(name)
		d.Targets = append(d.Targets, DumpTarget{
			Target: name, InFlight: t.InFlight, PeerInFlight: t.PeerInFlight, HeldTokens: t.Held + t.PeerHeld,
			BreakerOpen: t.Breaker.IsOpen(h.now), Leaving: t.Decl.Leaving,
		})
	}
	if set := h.declared(); set != nil {
		for name := range set.Services {
			d.Queues[name] = h.sched.Waiting(name)
		}
	}
}

func (p *program) dump() DumpProgram {
	d := DumpProgram{
		Program: string(p.id), Caller: p.caller, Parent: string(p.parent), Turns: len(p.turns), Waiting: len(p.pendingCalls),
		Budget: p.budgetTokens, Spent: p.spentTokens, Reserved: p.reservedTokens, Corrupt: p.corrupt,
	}
	if p.activeCall != nil {
		d.State = callChart.StateName(p.activeCall.state)
	}
	if p.ended {
		d.Ended = p.endReason
	}
	for _, cache := range p.cacheTargets {
		d.CacheTargets = append(d.CacheTargets, cache.target)
	}
	return d
}

// Caller returns the name and the token budget of the declared caller with this
// access token digest. ok is false if there is none.
func (h *Host) Caller(digest string) (name string, budget int64, ok bool) {
	if h.declared() == nil {
		return "", 0, false
	}
	c, ok := h.declared().CallerByToken(digest)
	if !ok {
		return "", 0, false
	}
	return c.Name, c.Budget, true
}

// ConfigVersion returns the version of the declaration in force, 0 if none is.
func (h *Host) ConfigVersion() uint64 { return h.declaration.version }

// EngineTargets returns the declared targets of engine services, which keep
// cache, sorted by name.
func (h *Host) EngineTargets() []*decl.Target {
	if h.declared() == nil {
		return nil
	}
	var all []*decl.Target
	for _, name := range h.sched.Targets() {
		t, _ := h.sched.Target(name)
		if h.declared().Services[t.Decl.Service].Kind == decl.Engine {
			all = append(all, t.Decl)
		}
	}
	return all
}
