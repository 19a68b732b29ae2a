package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it: one revision
// counter, conditional writes, watches. It never fails.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type change struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// storeLatency is the duration of one call, as on the sheets of the deployments.
const storeLatency = 4 * time.Millisecond

func startStore(address string) (*store, error) {
	s := &store{kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an object as the operator or an engine does.
func (s *store) put(kind, name string, spec any) {
	text, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, text
	s.set(kind, o)
}

// get returns an object.
func (s *store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o, ok
}

// set stores an object under a new revision; the caller holds mu.
func (s *store) set(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.record(change{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	path, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	parts := strings.Split(path, "/")
	kind := parts[0]
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, kind)
	case r.Method == http.MethodGet:
		o, ok := s.get(kind, parts[1])
		answer(w, ok, http.StatusNotFound, o)
	default:
		s.write(w, r, kind, parts[1:])
	}
}

func answer(w http.ResponseWriter, ok bool, otherwise int, body any) {
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(otherwise)
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, true, 0, map[string]any{"items": items, "morePages": false, "currentRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || last {
			answer(w, true, 0, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// write does POST, PUT and DELETE under their conditions.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind string, name []string) {
	var body object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		if old, exists := s.kinds[kind][body.Metadata.Name]; exists {
			answer(w, false, http.StatusConflict, old)
			return
		}
		answer(w, true, 0, s.set(kind, object{Metadata: metadata{Name: body.Metadata.Name}, Spec: body.Spec}))
		return
	}
	old, exists := s.kinds[kind][name[0]]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	condition := body.Metadata.Revision
	if q, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil {
		condition = q
	}
	if condition != 0 && condition != old.Metadata.Revision {
		answer(w, false, http.StatusConflict, old)
		return
	}
	if r.Method == http.MethodDelete {
		delete(s.kinds[kind], name[0])
		s.revision++
		old.Metadata.Revision = s.revision
		s.record(change{kind: kind, revision: s.revision, Object: old, Removed: true})
		answer(w, true, 0, old)
		return
	}
	next := old
	if len(name) > 1 {
		next.Status = body.Status
	} else {
		next.Spec = body.Spec
	}
	if string(next.Spec) == string(old.Spec) && string(next.Status) == string(old.Status) {
		answer(w, true, 0, old)
		return
	}
	answer(w, true, 0, s.set(kind, next))
}
