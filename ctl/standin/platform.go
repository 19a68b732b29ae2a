package standin

import (
	"context"
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
)

// PlatformFaults are the switches of a Platform.
type PlatformFaults struct {
	// Down refuses every request.
	Down bool `json:"down"`
	// SlowMS delays every request.
	SlowMS int64 `json:"slow_ms"`
	// LoseReplyEvery loses the reply of each n-th write after it took effect; 0 = never.
	LoseReplyEvery int `json:"lose_reply"`
	// StaleReadEvery answers each n-th read from the state before the last write
	// of the object.
	StaleReadEvery int `json:"stale_reads"`
	// StuckWatch leaves watches without an answer until they time out.
	StuckWatch bool `json:"stuck_watch"`
}

// PlatformCounts counts the calls of a Platform.
type PlatformCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Lists   uint64 `json:"lists"`
	Watches uint64 `json:"watches"`
}

// Platform is a stand-in for the platform's object API; package wire/platform
// describes the protocol.
type Platform struct {
	mu       sync.Mutex
	objects  map[string]*object
	revision uint64
	changed  chan struct{} // closed and replaced at each write
	faults   PlatformFaults
	counts   PlatformCounts
	reads    int
	writes   int
	history  map[string][]Write
}

// object keeps its version when it is deleted, so that versions only go up.
type object struct {
	version  uint64
	revision uint64
	body     []byte
	deleted  bool
	previous []byte
	before   uint64 // version of previous, 0 for none
}

// Write is one write that took effect, for checks.
type Write struct {
	At      time.Time
	Version uint64
	Body    []byte
}

// watchWait is how long a watch waits for a change.
const watchWait = 30 * time.Second

// historyKeys are the prefixes of which every write is kept for checks.
var historyKeys = []string{"shared/"}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{objects: map[string]*object{}, changed: make(chan struct{}), history: map[string][]Write{}}
}

// SetFaults replaces the switches.
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

// Counts returns the calls so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// History returns the writes of an object below shared/.
func (p *Platform) History(key string) []Write {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.history[key])
}

// Keys lists the objects below a prefix.
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

// Handler serves the protocol.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", p.guard(p.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", p.guard(p.put))
	mux.HandleFunc("DELETE /v1/objects/{key...}", p.guard(p.remove))
	mux.HandleFunc("GET /v1/list", p.guard(p.list))
	mux.HandleFunc("GET /v1/watch", p.guard(p.watch))
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Counts()) })
	handleFaults(mux, p.currentFaults, p.SetFaults)
	return mux
}

// guard applies the faults that concern every request.
func (p *Platform) guard(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := p.currentFaults()
		if f.SlowMS > 0 && !pause(r.Context(), time.Duration(f.SlowMS)*time.Millisecond) {
			return
		}
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		serve(w, r)
	}
}

// pause waits, or reports that the context ended. A wait that is over makes no timer.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
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
	version, body, gone := o.version, o.body, o.deleted
	if p.stale() {
		version, body, gone = o.before, o.previous, o.before == 0
	}
	if gone {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	setETag(w, version)
	_, _ = w.Write(body) // a client that has gone away
}

// stale reports whether this read is to be answered from the past.
func (p *Platform) stale() bool {
	if p.faults.StaleReadEvery == 0 {
		return false
	}
	p.reads++
	return p.reads%p.faults.StaleReadEvery == 0
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
	want, ok := condition(r)
	if !ok || want != current {
		p.mu.Unlock()
		http.Error(w, "another version", http.StatusPreconditionFailed)
		return
	}
	version := p.store(key, body, false)
	lose := p.losesReply()
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler) // the connection breaks without a reply
	}
	setETag(w, version)
	w.WriteHeader(http.StatusOK)
}

// condition reads the version that a write requires, 0 for a new object.
func condition(r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	v, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return v, err == nil
}

func (p *Platform) store(key string, body []byte, deleted bool) uint64 {
	o := p.objects[key]
	if o == nil {
		o = &object{}
		p.objects[key] = o
	}
	p.revision++
	o.before, o.previous = o.version, o.body
	if o.deleted {
		o.before = 0
	}
	o.version++
	o.revision, o.body, o.deleted = p.revision, body, deleted
	for _, prefix := range historyKeys {
		if strings.HasPrefix(key, prefix) {
			p.history[key] = append(p.history[key], Write{At: time.Now(), Version: o.version, Body: body})
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return o.version
}

func (p *Platform) losesReply() bool {
	if p.faults.LoseReplyEvery == 0 {
		return false
	}
	p.writes++
	return p.writes%p.faults.LoseReplyEvery == 0
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
	p.store(r.PathValue("key"), nil, true)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.counts.Lists++
	list := p.since(r.URL.Query().Get("prefix"), 0, r.URL.Query().Get("bodies") != "")
	p.mu.Unlock()
	reply(w, list)
}

// since lists the objects below a prefix that changed after a revision.
func (p *Platform) since(prefix string, revision uint64, bodies bool) platform.List {
	list := platform.List{Revision: p.revision}
	for _, key := range slices.Sorted(maps.Keys(p.objects)) {
		o := p.objects[key]
		if !strings.HasPrefix(key, prefix) || o.deleted || o.revision <= revision {
			continue
		}
		one := platform.Object{Key: key, Version: o.version}
		if bodies {
			one.Body = o.body
		}
		list.Objects = append(list.Objects, one)
	}
	return list
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64) // none is from the beginning
	prefix := r.URL.Query().Get("prefix")
	limit := time.NewTimer(watchWait)
	defer limit.Stop()
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		list, changed, stuck := p.since(prefix, since, true), p.changed, p.faults.StuckWatch
		p.mu.Unlock()
		if len(list.Objects) > 0 && !stuck {
			reply(w, list)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			reply(w, platform.List{Revision: since})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a client that has gone away
}

// handleFaults adds the switches to a stand-in.
func handleFaults[F any](mux *http.ServeMux, get func() F, set func(F)) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, get()) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f F
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(f)
		reply(w, get())
	})
}
