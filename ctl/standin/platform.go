package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/wire/platform"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

// PlatformFaults are the faults that a Platform can show. In fields that select each
// n-th event, 0 means never.
type PlatformFaults struct {
	// Down refuses every request with 503.
	Down bool `json:"down"`
	// SlowMS is the delay added to every request, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseReplyEvery breaks the connection of each n-th write after the write took
	// effect.
	LoseReplyEvery int `json:"lose_reply"`
	// StaleReadEvery answers each n-th read with the object as it was before its last
	// write.
	StaleReadEvery int `json:"stale_reads"`
	// StuckWatch withholds changes from watches until they time out.
	StuckWatch bool `json:"stuck_watch"`
}

// PlatformCounts are the numbers of requests that a Platform received.
type PlatformCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Lists   uint64 `json:"lists"`
	Watches uint64 `json:"watches"`
}

// Platform is an in-memory stand-in for the platform's object API; package
// wire/platform describes the protocol.
type Platform struct {
	mu          sync.Mutex
	objects     map[string]*object
	revision    uint64
	changed     chan struct{} // closed and replaced by each write
	faults      PlatformFaults
	counts      PlatformCounts
	faultReads  int                // reads counted for StaleReadEvery
	faultWrites int                // writes counted for LoseReplyEvery
	history     map[string][]Write // by key, oldest first
}

// object is a stored object. A deleted one is kept for its version, so that the
// versions of a key never decrease.
type object struct {
	version         uint64 // of the object
	revision        uint64 // of the platform at the last write
	body            []byte
	deleted         bool
	previousBody    []byte // before the last write
	previousVersion uint64 // of previousBody; 0 if the object did not exist
}

// Write is the record of one write that took effect.
type Write struct {
	At      time.Time
	Version uint64
	Body    []byte
}

// watchTimeout bounds the time that a watch waits for a change.
const watchTimeout = 30 * time.Second

// historyPrefixes are the key prefixes whose writes are recorded.
var historyPrefixes = []string{"shared/"}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{objects: map[string]*object{}, changed: make(chan struct{}), history: map[string][]Write{}}
}

// SetFaults replaces the active faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Platform) currentFaults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the numbers of requests so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// History returns the writes of an object whose key begins with shared/, oldest
// first. Writes of other objects are not recorded.
func (p *Platform) History(key string) []Write {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.history[key])
}

// Keys returns the sorted keys of the objects whose key begins with a prefix.
func (p *Platform) Keys(prefix string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []string
	for _, k := range slices.Sorted(maps.Keys(p.objects)) {
		if strings.HasPrefix(k, prefix) && !p.objects[k].deleted {
			keys = append(keys, k)
		}
	}
	return keys
}

// Handler returns the handler of the object API, of the request counts and of the
// faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", p.withFaults(p.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", p.withFaults(p.put))
	mux.HandleFunc("DELETE /v1/objects/{key...}", p.withFaults(p.remove))
	mux.HandleFunc("GET /v1/list", p.withFaults(p.list))
	mux.HandleFunc("GET /v1/watch", p.withFaults(p.watch))
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	registerFaultHandlers(mux, p.currentFaults, p.SetFaults)
	return mux
}

// withFaults wraps a handler with the faults that affect every request.
func (p *Platform) withFaults(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := p.currentFaults()
		if faults.SlowMS > 0 && !wait.For(r.Context(), time.Duration(faults.SlowMS)*time.Millisecond) {
			return
		}
		if faults.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		serve(w, r)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	o := p.objects[r.PathValue("key")]
	if o == nil {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	version, body, deleted := o.version, o.body, o.deleted
	if p.isStaleRead() {
		version, body, deleted = o.previousVersion, o.previousBody, o.previousVersion == 0
	}
	if deleted {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	setETag(w, version)
	_, _ = w.Write(body) // fails only if the client has disconnected
}

// isStaleRead counts a read and reports whether it returns the object's previous state.
// The caller holds mu.
func (p *Platform) isStaleRead() bool {
	if p.faults.StaleReadEvery == 0 {
		return false
	}
	p.faultReads++
	return p.faultReads%p.faults.StaleReadEvery == 0
}

func setETag(w http.ResponseWriter, version uint64) {
	w.Header().Set("ETag", `"`+strconv.FormatUint(version, 10)+`"`)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxObjectBytes))
	if err != nil {
		http.Error(w, "an object has at most 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	p.counts.Writes++
	key := r.PathValue("key")
	o := p.objects[key]
	current := uint64(0)
	if o != nil && !o.deleted {
		current = o.version
	}
	required, ok := requiredVersion(r)
	if !ok || required != current {
		p.mu.Unlock()
		http.Error(w, "object has another version", http.StatusPreconditionFailed)
		return
	}
	version := p.writeObject(key, body, false)
	loseReply := p.losesReply()
	p.mu.Unlock()
	if loseReply {
		panic(http.ErrAbortHandler) // the connection breaks without a reply
	}
	setETag(w, version)
	w.WriteHeader(http.StatusOK)
}

// requiredVersion returns the version that a write requires the object to have, 0 if
// it must not exist; false means that the request states none.
func requiredVersion(r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return version, err == nil
}

// writeObject stores or deletes an object, wakes the watches and returns the new
// version. The caller holds mu.
func (p *Platform) writeObject(key string, body []byte, deleted bool) uint64 {
	o := p.objects[key]
	if o == nil {
		o = &object{}
		p.objects[key] = o
	}
	p.revision++
	o.previousVersion, o.previousBody = o.version, o.body
	if o.deleted {
		o.previousVersion = 0
	}
	o.version++
	o.revision, o.body, o.deleted = p.revision, body, deleted
	for _, prefix := range historyPrefixes {
		if strings.HasPrefix(key, prefix) {
			p.history[key] = append(p.history[key], Write{At: time.Now(), Version: o.version, Body: body})
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return o.version
}

// losesReply counts a write and reports whether its reply is lost. The caller holds
// mu.
func (p *Platform) losesReply() bool {
	if p.faults.LoseReplyEvery == 0 {
		return false
	}
	p.faultWrites++
	return p.faultWrites%p.faults.LoseReplyEvery == 0
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	o := p.objects[r.PathValue("key")]
	if o == nil || o.deleted {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	p.writeObject(r.PathValue("key"), nil, true)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.counts.Lists++
	list := p.changedSince(r.URL.Query().Get("prefix"), 0, r.URL.Query().Get("bodies") != "")
	p.mu.Unlock()
	writeJSON(w, list)
}

// changedSince lists the objects below a prefix that changed after a revision,
// without deleted ones. The caller holds mu.
func (p *Platform) changedSince(prefix string, revision uint64, bodies bool) platform.List {
	list := platform.List{Revision: p.revision}
	for _, key := range slices.Sorted(maps.Keys(p.objects)) {
		o := p.objects[key]
		if !strings.HasPrefix(key, prefix) || o.deleted || o.revision <= revision {
			continue
		}
		item := platform.Object{Key: key, Version: o.version}
		if bodies {
			item.Body = o.body
		}
		list.Objects = append(list.Objects, item)
	}
	return list
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64) // without one, the watch starts at revision 0
	prefix := r.URL.Query().Get("prefix")
	timeout := time.NewTimer(watchTimeout)
	defer timeout.Stop()
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		list, changed, stuck := p.changedSince(prefix, since, true), p.changed, p.faults.StuckWatch
		p.mu.Unlock()
		if len(list.Objects) > 0 && !stuck {
			writeJSON(w, list)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, platform.List{Revision: since})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// registerFaultHandlers adds the endpoints that read and replace a stand-in's faults.
func registerFaultHandlers[F any](mux *http.ServeMux, get func() F, set func(F)) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, get()) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults F
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(faults)
		writeJSON(w, get())
	})
}
