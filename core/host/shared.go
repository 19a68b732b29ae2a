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

// ConfigKey is the key of the declaration in force, a ConfigObject.
const ConfigKey = SharedPrefix + "config"

// ConfigHistoryPrefix is the key prefix of all earlier declarations.
const ConfigHistoryPrefix = "config-history/"

// ConfigObject is a declaration as stored at the platform, encoded as JSON.
type ConfigObject struct {
	// Version grows by one with each accepted change. A host never returns to an
	// earlier version.
	Version uint64 `json:"version"`
	// Nonce is unique to the write; Author names who applied it.
	Nonce  string `json:"nonce"`
	Author string `json:"author,omitempty"`
	Text   string `json:"text"`
}

// declarationState is the declaration in force at this host.
//
// Invariant: version never decreases, whether a declaration comes from a read, a
// watch or a peer.
type declarationState struct {
	version         uint64
	set             *decl.Set
	objectBody      []byte            // encoded ConfigObject, for peers and the disk
	rejectedVersion uint64            // last version that could not be used
	seenVersions    map[string]uint64 // object versions seen, by key

	pollAt        time.Duration
	watchRevision uint64
	watching      bool
	watchAt       time.Duration
}

const watchRetryDelay = 500 * time.Millisecond

func (h *Host) tickShared() {
	if h.now >= h.declaration.pollAt {
		h.pollShared()
	}
	if !h.declaration.watching && h.now >= h.declaration.watchAt {
		h.watchShared()
	}
}

// pollShared checks for new versions of the shared objects, in case the watch
// hangs. The members of a data centre take turns, so that one of them checks
// every ConfigPollInterval and passes new versions on to the others.
func (h *Host) pollShared() {
	h.declaration.pollAt = h.now + h.cfg.ConfigPollInterval*time.Duration(max(1, h.countLocalMembers()))
	h.submitOp(PlatformOp{Kind: OpListKeys, Key: SharedPrefix}, func(r *PlatformReply) {
		if r.Status != OpOK {
			h.declaration.pollAt = min(h.declaration.pollAt, h.now+h.cfg.ConfigPollInterval)
			return
		}
		h.fetchNewer(r.Objects)
	})
}

// fetchNewer reads the objects that are newer than the known versions, and
// creates the slot table of the data centre if there is none.
func (h *Host) fetchNewer(objects []Object) {
	tableFound := false
	for _, o := range objects {
		tableFound = tableFound || o.Key == SlotsPrefix+h.cfg.DataCentre
		if o.Version <= h.declaration.seenVersions[o.Key] {
			continue
		}
		h.submitOp(PlatformOp{Kind: OpGet, Key: o.Key}, func(r *PlatformReply) {
			if r.Status == OpOK {
				h.applyShared([]Object{{Key: o.Key, Version: r.Version, Body: r.Body}})
			}
		})
	}
	if !tableFound && h.ownTable() == nil {
		h.createTable()
		h.declaration.pollAt = h.now + slotCheckInterval
	}
}

// watchShared waits for changes of the shared objects.
func (h *Host) watchShared() {
	h.declaration.watching = true
	h.submitOp(PlatformOp{Kind: OpWatch, Key: SharedPrefix, IfVersion: h.declaration.watchRevision}, func(r *PlatformReply) {
		h.declaration.watching = false
		if r.Status != OpOK {
			h.declaration.watchAt = h.now + watchRetryDelay
			return
		}
		h.declaration.watchRevision = r.Revision
		h.applyShared(r.Objects)
	})
}

// applyShared applies shared objects that were read.
func (h *Host) applyShared(objects []Object) {
	for _, o := range objects {
		h.declaration.seenVersions[o.Key] = max(h.declaration.seenVersions[o.Key], o.Version)
		switch {
		case o.Key == ConfigKey:
			h.acceptConfig(o.Body)
		case strings.HasPrefix(o.Key, SlotsPrefix):
			h.applyTable(o)
		}
	}
}

// acceptConfig puts a declaration in force if it is valid and newer than the
// present one. A declaration that this host cannot use leaves the present one in
// force.
func (h *Host) acceptConfig(body []byte) {
	var o ConfigObject
	if json.Unmarshal(body, &o) != nil || o.Version <= h.declaration.version || o.Version == h.declaration.rejectedVersion {
		return
	}
	set, err := decl.Parse("config", []byte(o.Text))
	if err != nil {
		h.declaration.rejectedVersion = o.Version
		h.addNote(Note{Kind: NoteConfigRefused, Epoch: o.Version, Detail: err.Error()})
		return
	}
	h.declaration.version, h.declaration.set, h.declaration.objectBody = o.Version, set, body
	h.ready.SaveConfig = body
	h.addNote(Note{Kind: NoteConfigAccepted, Epoch: o.Version})
	h.applyDeclaration(set)
	for _, p := range h.members.list {
		if h.isLocal(p) && !p.gone && p.configVersion < o.Version {
			h.sendHeartbeat(p) // announces the newer version
		}
	}
}

// applyDeclaration passes the declaration to the scheduler and fails the queued
// calls of services that are no longer declared.
func (h *Host) applyDeclaration(set *decl.Set) {
	for _, it := range h.sched.Apply(set) {
		if p := h.programs[it.Program]; p != nil && p.activeCall != nil && &p.activeCall.item == it {
			h.failCall(p.activeCall, failure.New(failure.UnknownService, "service %q is no longer declared", it.Service))
		}
	}
}

// handleConfigRequest sends the declaration in force to a peer.
func (h *Host) handleConfigRequest(p *peer) {
	if h.declaration.objectBody != nil {
		h.send(p.address, &peerpb.Frame{Body: &peerpb.Frame_ConfigData{ConfigData: &peerpb.ConfigData{
			Version: h.declaration.version, Text: h.declaration.objectBody,
		}}})
	}
}

func mustEncodeJSON(v any) []byte {
	b, _ := json.Marshal(v) // callers pass only structs whose fields can be encoded
	return b
}
