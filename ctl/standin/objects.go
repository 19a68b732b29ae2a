package standin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// objectLatency is the time of one call: a few milliseconds, as the users' store.
const objectLatency = 4 * time.Millisecond

// Objects is an object store in memory; it implements objects.Store. Views of it
// are handed out by At, so that each host can be cut off by itself.
type Objects struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]objects.Object
	history  []change
	oldest   uint64 // watches from before it get HistoryGone
	changed  chan struct{}
	down     bool
	cut      map[string]bool
	loseNext int
	calls    map[string]int // by place
}

type change struct {
	kind  string
	event objects.Event
	at    uint64
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{kinds: map[string]map[string]objects.Object{}, changed: make(chan struct{}), cut: map[string]bool{}, calls: map[string]int{}}
}

// ViewFrom is the store as the host at a place sees it.
func (s *Objects) ViewFrom(place string) objects.Store { return &objectsAt{s, place} }

// SetDown lets every call fail, or serves again.
func (s *Objects) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SetPartitioned turns the calls from a place away, or serves them again.
func (s *Objects) SetPartitioned(place string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[place] = on
	s.wake()
}

// Calls is the number of calls from a place so far.
func (s *Objects) Calls(place string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[place]
}

// LoseAnswers lets the next n writes be done and not answered.
func (s *Objects) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// DropHistory drops the history: watches from before get HistoryGone.
func (s *Objects) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
	s.wake()
}

// Put writes an object as an operator or a target does.
func (s *Objects) Put(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, objects.Object{Name: name, Spec: spec})
}

// Remove removes an object as its owner does.
func (s *Objects) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.remove(kind, o)
}

// remove removes an object; the caller holds mu.
func (s *Objects) remove(kind string, o objects.Object) {
	delete(s.kinds[kind], o.Name)
	s.revision++
	o.Revision = s.revision
	s.history = append(s.history, change{kind, objects.Event{Object: o, Removed: true}, s.revision})
	s.wake()
}

// Names returns the names of the objects of a kind.
func (s *Objects) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.kinds[kind]))
}

// Status returns the status of an object.
func (s *Objects) Status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.kinds[kind][name].Status)
}

func (s *Objects) set(kind string, o objects.Object) objects.Object {
	s.revision++
	o.Revision = s.revision
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]objects.Object{}
	}
	s.kinds[kind][o.Name] = o
	s.history = append(s.history, change{kind, objects.Event{Object: o}, s.revision})
	s.wake()
	return o
}

func (s *Objects) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// objectsAt implements objects.Store for one place.
type objectsAt struct {
	s     *Objects
	place string
}

// enter counts a call, waits for its latency and refuses it where the store is away.
func (v *objectsAt) enter(ctx context.Context) error {
	v.s.mu.Lock()
	v.s.calls[v.place]++
	v.s.mu.Unlock()
	return v.arrive(ctx)
}

// arrive is enter without the count, for a call that looks again.
func (v *objectsAt) arrive(ctx context.Context) error {
	select {
	case <-time.After(objectLatency):
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.PlatformUnavailable, "store")
	}
	v.s.mu.Lock()
	if v.s.down || v.s.cut[v.place] {
		v.s.mu.Unlock()
		return failure.New(failure.PlatformUnavailable, "store is away")
	}
	return nil
}

// leave ends a write; its answer may be lost.
func (v *objectsAt) leave(o objects.Object, err error) (objects.Object, error) {
	defer v.s.mu.Unlock()
	if err == nil && v.s.loseNext > 0 {
		v.s.loseNext--
		return objects.Object{}, failure.New(failure.PlatformUnavailable, "answer lost")
	}
	return o, err
}

func (v *objectsAt) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if err := v.enter(ctx); err != nil {
		return objects.Object{}, err
	}
	defer v.s.mu.Unlock()
	o, ok := v.s.kinds[kind][name]
	if !ok {
		return o, failure.New(failure.NotFound, "%s/%s", kind, name)
	}
	return o, nil
}

func (v *objectsAt) Create(ctx context.Context, kind, name string, spec []byte) (objects.Object, error) {
	if err := v.enter(ctx); err != nil {
		return objects.Object{}, err
	}
	if _, ok := v.s.kinds[kind][name]; ok {
		return v.leave(objects.Object{}, failure.New(failure.Conflict, "%s/%s exists", kind, name))
	}
	return v.leave(v.s.set(kind, objects.Object{Name: name, Spec: spec}), nil)
}

func (v *objectsAt) Update(ctx context.Context, kind, name string, revision uint64, spec []byte) (objects.Object, error) {
	if err := v.enter(ctx); err != nil {
		return objects.Object{}, err
	}
	o, ok := v.s.kinds[kind][name]
	if !ok || o.Revision != revision {
		return v.leave(objects.Object{}, failure.New(failure.Conflict, "%s/%s is at %d", kind, name, o.Revision))
	}
	o.Spec = spec
	return v.leave(v.s.set(kind, o), nil)
}

func (v *objectsAt) UpdateStatus(ctx context.Context, kind, name string, status []byte) error {
	if err := v.enter(ctx); err != nil {
		return err
	}
	o, ok := v.s.kinds[kind][name]
	if !ok {
		_, err := v.leave(o, failure.New(failure.NotFound, "%s/%s", kind, name))
		return err
	}
	o.Status = status
	_, err := v.leave(v.s.set(kind, o), nil)
	return err
}

func (v *objectsAt) Delete(ctx context.Context, kind, name string) error {
	if err := v.enter(ctx); err != nil {
		return err
	}
	o, ok := v.s.kinds[kind][name]
	if !ok {
		_, err := v.leave(o, failure.New(failure.NotFound, "%s/%s", kind, name))
		return err
	}
	v.s.remove(kind, o)
	_, err := v.leave(o, nil)
	return err
}

func (v *objectsAt) List(ctx context.Context, kind string) (objects.Snapshot, error) {
	asked := time.Now()
	if err := v.enter(ctx); err != nil {
		return objects.Snapshot{}, err
	}
	defer v.s.mu.Unlock()
	snapshot := objects.Snapshot{Revision: v.s.revision, AsOf: asked}
	for _, name := range slices.Sorted(maps.Keys(v.s.kinds[kind])) {
		snapshot.Items = append(snapshot.Items, v.s.kinds[kind][name])
	}
	return snapshot, nil
}

func (v *objectsAt) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	asked := time.Now()
	end := time.NewTimer(wait)
	defer end.Stop()
	for look := v.enter; ; look = v.arrive {
		if err := look(ctx); err != nil {
			return objects.Changes{}, err
		}
		if revision < v.s.oldest {
			v.s.mu.Unlock()
			return objects.Changes{}, failure.New(failure.HistoryGone, "revision %d", revision)
		}
		found := objects.Changes{Revision: v.s.revision, AsOf: asked}
		for _, c := range v.s.history {
			if c.kind == kind && c.at > revision {
				found.Events = append(found.Events, c.event)
			}
		}
		changed := v.s.changed
		v.s.mu.Unlock()
		if len(found.Events) > 0 {
			return found, nil
		}
		select {
		case <-changed:
		case <-end.C:
			return found, nil
		case <-ctx.Done():
			return objects.Changes{}, failure.Wrap(ctx.Err(), failure.PlatformUnavailable, "watch")
		}
	}
}
