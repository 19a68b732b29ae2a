package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the duration of one call, as on the sheets of the small sites.
const storeLatency = 4 * time.Millisecond

// metadata is the part of an object that the store writes.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is one entry of the store's history.
type change struct {
	kind     string
	revision uint64
	object   object
	removed  bool
}

// store is a stand-in for the platform's metadata store: linearizable, and it loses nothing.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}
	listener net.Listener
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{kinds: map[string]map[string]object{}, changed: make(chan struct{}), listener: l}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// record adds a change to the history; the caller holds mu.
func (s *store) record(kind string, o object, removed bool) {
	s.history = append(s.history, change{kind, o.Metadata.Revision, o, removed})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the spec of an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Spec = text
	s.save(kind, name, o)
}

// save stores an object under a new revision; the caller holds mu.
func (s *store) save(kind, name string, o object) object {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	s.kinds[kind][name] = o
	s.record(kind, o, false)
	return o
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost:
		s.create(w, kind, in)
	case r.Method == http.MethodPut && len(parts) == 3:
		s.update(w, kind, name, in, func(o *object) { o.Status = in.Status })
	case r.Method == http.MethodPut:
		s.update(w, kind, name, in, func(o *object) { o.Spec = in.Spec })
	case r.Method == http.MethodDelete:
		s.remove(w, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.kinds[kind][name]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	for name, o := range s.kinds[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "morePages": false, "currentRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer end.Stop()
	for last := false; ; {
		events := []map[string]any{}
		s.mu.Lock()
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, map[string]any{"removed": c.removed, "object": c.object})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || last {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) create(w http.ResponseWriter, kind string, in object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][in.Metadata.Name]; ok {
		reply(w, http.StatusConflict, o)
		return
	}
	reply(w, http.StatusOK, s.save(kind, in.Metadata.Name, object{Spec: in.Spec}))
}

func (s *store) update(w http.ResponseWriter, kind, name string, in object, apply func(*object)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	if in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision {
		reply(w, http.StatusConflict, o)
		return
	}
	next := o
	apply(&next)
	if bytes.Equal(next.Spec, o.Spec) && bytes.Equal(next.Status, o.Status) {
		reply(w, http.StatusOK, o)
		return
	}
	reply(w, http.StatusOK, s.save(kind, name, next))
}

func (s *store) remove(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(kind, o, true)
	reply(w, http.StatusOK, o)
}
