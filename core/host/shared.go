package host

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// SharedPrefix is the key prefix of the objects that every host watches: the
// declaration and the slot tables. They change rarely.
const SharedPrefix = "shared/"

// ConfigKey is the key of the declaration in force.
const ConfigKey = SharedPrefix + "config"

// ConfigHistoryPrefix is the key prefix of all earlier declarations.
const ConfigHistoryPrefix = "config-history/"

// ConfigObject is a declaration as it stands at the platform.
type ConfigObject struct {
	// Version grows by one with each accepted change. A host never goes back.
	Version uint64 `json:"version"`
	// Nonce is unique to the write; Author says who applied it.
	Nonce  string `json:"nonce"`
	Author string `json:"author,omitempty"`
	Text   string `json:"text"`
}

// declaration is the declaration in force at this host.
//
// Invariant: version never goes down, whatever is read, watched or told.
type declaration struct {
	version uint64
	set     *decl.Set
	object  []byte            // the ConfigObject, for peers and for the disk
	refused uint64            // newest version that could not be used
	seen    map[string]uint64 // object versions seen, by key

	pollAt   time.Duration
	revision uint64
	watching bool
	watchAt  time.Duration
}

const watchRetry = 500 * time.Millisecond

func (h *Host) tickShared() {
	if h.now >= h.declare.pollAt {
		h.pollShared()
	}
	if !h.declare.watching && h.now >= h.declare.watchAt {
		h.watchShared()
	}
}

// pollShared looks for new versions of the shared objects, in case the watch is
// stuck. The members of a data centre take turns, so that one of them looks every
// ConfigPollEvery; what it finds it tells the others.
func (h *Host) pollShared() {
	h.declare.pollAt = h.now + h.cfg.ConfigPollInterval*time.Duration(max(1, h.aliveLocal()))
	h.do(PlatformOp{Kind: OpListKeys, Key: SharedPrefix}, func(r *PlatformReply) {
		if r.Status != OpOK {
			h.declare.pollAt = min(h.declare.pollAt, h.now+h.cfg.ConfigPollInterval)
			return
		}
		h.fetchNewer(r.Objects)
	})
}

// fetchNewer reads the objects that are newer than what is known.
func (h *Host) fetchNewer(objects []Object) {
	tableFound := false
	for _, o := range objects {
		tableFound = tableFound || o.Key == SlotsPrefix+h.cfg.DataCentre
		if o.Version <= h.declare.seen[o.Key] {
			continue
		}
		h.do(PlatformOp{Kind: OpGet, Key: o.Key}, func(r *PlatformReply) {
			if r.Status == OpOK {
				h.seeShared([]Object{{Key: o.Key, Version: r.Version, Body: r.Body}})
			}
		})
	}
	if !tableFound && h.ownTable() == nil {
		h.createTable()
		h.declare.pollAt = h.now + slotsEvery
	}
}

func (h *Host) watchShared() {
	h.declare.watching = true
	h.do(PlatformOp{Kind: OpWatch, Key: SharedPrefix, IfVersion: h.declare.revision}, func(r *PlatformReply) {
		h.declare.watching = false
		if r.Status != OpOK {
			h.declare.watchAt = h.now + watchRetry
			return
		}
		h.declare.revision = r.Revision
		h.seeShared(r.Objects)
	})
}

func (h *Host) seeShared(objects []Object) {
	for _, o := range objects {
		h.declare.seen[o.Key] = max(h.declare.seen[o.Key], o.Version)
		switch {
		case o.Key == ConfigKey:
			h.acceptConfig(o.Body)
		case strings.HasPrefix(o.Key, SlotsPrefix):
			h.seeTable(o)
		}
	}
}

// acceptConfig puts a declaration in force if it is newer than the present one
// and sound. One that this host cannot use leaves the present one in force.
func (h *Host) acceptConfig(body []byte) {
	var o ConfigObject
	if json.Unmarshal(body, &o) != nil || o.Version <= h.declare.version || o.Version == h.declare.refused {
		return
	}
	set, err := decl.Parse("config", []byte(o.Text))
	if err != nil {
		h.declare.refused = o.Version
		h.note(Note{Kind: NoteConfigRefused, Epoch: o.Version, Detail: err.Error()})
		return
	}
	h.declare.version, h.declare.set, h.declare.object = o.Version, set, body
	h.ready.SaveConfig = body
	h.note(Note{Kind: NoteConfigAccepted, Epoch: o.Version})
	h.applySet(set)
	for _, p := range h.members.list {
		if h.local(p) && !p.gone && p.configVersion < o.Version {
			h.sendHeartbeat(p) // tells it that there is a newer one
		}
	}
}

func (h *Host) applySet(set *decl.Set) {
	for _, it := range h.sched.Apply(set) {
		if p := h.programs[it.Program]; p != nil && p.active != nil && &p.active.item == it {
			h.fail(p.active, failure.New(failure.UnknownService, "service %q is no longer declared", it.Service))
		}
	}
}

func (h *Host) configRequest(p *peer) {
	if h.declare.object != nil {
		h.send(p.address, &peerpb.Frame{Body: &peerpb.Frame_ConfigData{ConfigData: &peerpb.ConfigData{
			Version: h.declare.version, Text: h.declare.object,
		}}})
	}
}

func mustJSON(v any) []byte {
	b, _ := json.Marshal(v) // only structs of plain fields are passed
	return b
}
