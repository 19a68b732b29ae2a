package standin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

const (
	// storeLatency is the duration of one call; the stores that users run also take a few
	// milliseconds.
	storeLatency = 4 * time.Millisecond
	// callTimeout is when a client gives up a call without a reply, and watchTimeoutMargin the same
	// for a watch, in addition to its wait.
	callTimeout        = 1500 * time.Millisecond
	watchTimeoutMargin = 300 * time.Millisecond
)

// Objects is an object store in memory. ViewFrom returns the objects.Store of one host,
// so that hosts can be partitioned from the store one by one.
type Objects struct {
	mu             sync.Mutex
	revision       uint64
	kinds          map[string]map[string]objects.Object // by kind and name
	history        []change
	oldestRevision uint64        // watches from an earlier revision fail with HistoryGone
	changed        chan struct{} // closed and replaced by each change
	down           bool
	partitioned    map[string]bool // by IP address of the host
	silent         map[string]bool // by IP address of the host
	answersToLose  int             // number of next writes whose answers are lost
	calls          map[string]int  // by IP address of the host
}

// change is one change in the watch history.
type change struct {
	kind     string
	event    objects.Event
	revision uint64
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{kinds: map[string]map[string]objects.Object{}, changed: make(chan struct{}), partitioned: map[string]bool{}, silent: map[string]bool{}, calls: map[string]int{}}
}

// ViewFrom returns the store as the host with an IP address (without a port) uses it.
func (s *Objects) ViewFrom(ip string) objects.Store { return &storeView{s, ip} }

// SetDown makes every call fail, or ends that fault.
func (s *Objects) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeWatches()
}

// SetPartitioned makes the calls of one host fail, or ends that fault.
func (s *Objects) SetPartitioned(ip string, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned[ip] = partitioned
	s.wakeWatches()
}

// SetSilent makes the calls of one host go without a reply, also those that wait, or ends that fault.
func (s *Objects) SetSilent(ip string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[ip] = silent
	s.wakeWatches()
}

// Calls returns the number of calls of one host so far.
func (s *Objects) Calls(ip string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[ip]
}

// LoseAnswers makes the store apply the next n writes and report an error for them.
func (s *Objects) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// DropHistory drops the watch history: watches from an earlier revision fail with
// HistoryGone.
func (s *Objects) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldestRevision = nil, s.revision
	s.wakeWatches()
}

// Put writes an object without latency or faults, as an operator or a target does.
func (s *Objects) Put(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putObject(kind, objects.Object{Name: name, Spec: spec})
}

// Remove removes an object, if there is one, without latency or faults, as its owner
// does.
func (s *Objects) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.removeObject(kind, o)
}

// removeObject removes an object; the caller holds mu.
func (s *Objects) removeObject(kind string, o objects.Object) {
	delete(s.kinds[kind], o.Name)
	s.revision++
	o.Revision = s.revision
	s.history = append(s.history, change{kind, objects.Event{Object: o, Removed: true}, s.revision})
	s.wakeWatches()
}

// Names returns the sorted names of the objects of a kind.
func (s *Objects) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.kinds[kind]))
}

// Status returns the status of an object, empty if there is none.
func (s *Objects) Status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.kinds[kind][name].Status)
}

// putObject stores an object under a new revision and returns it; the caller holds mu.
func (s *Objects) putObject(kind string, o objects.Object) objects.Object {
	s.revision++
	o.Revision = s.revision
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]objects.Object{}
	}
	s.kinds[kind][o.Name] = o
	s.history = append(s.history, change{kind, objects.Event{Object: o}, s.revision})
	s.wakeWatches()
	return o
}

func (s *Objects) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeView implements objects.Store for one host.
type storeView struct {
	store *Objects
	ip    string
}

// countCall counts a call of the host.
func (v *storeView) countCall() {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	v.store.calls[v.ip]++
}

// beginCall counts a call, waits for the latency of the store and locks it. It fails
// while the store is unavailable to the host.
func (v *storeView) beginCall(ctx context.Context) error {
	v.countCall()
	return v.lockAfterLatency(ctx, time.Now().Add(callTimeout))
}

// lockAfterLatency waits for the latency of the store and locks it. Without a reply, the client gives
// the call up at its deadline.
func (v *storeView) lockAfterLatency(ctx context.Context, deadline time.Time) error {
	if !wait.For(ctx, storeLatency) {
		return failure.Wrap(ctx.Err(), failure.PlatformUnavailable, "store")
	}
	v.store.mu.Lock()
	if v.store.silent[v.ip] {
		v.store.mu.Unlock()
		wait.For(ctx, time.Until(deadline))
		return failure.New(failure.PlatformUnavailable, "no reply from the store")
	}
	if v.store.down || v.store.partitioned[v.ip] {
		v.store.mu.Unlock()
		return failure.New(failure.PlatformUnavailable, "store unavailable")
	}
	return nil
}

// finishWrite unlocks the store after a write and returns its result, or an error if
// the answer is to be lost.
func (v *storeView) finishWrite(o objects.Object, err error) (objects.Object, error) {
	defer v.store.mu.Unlock()
	if err == nil && v.store.answersToLose > 0 {
		v.store.answersToLose--
		return objects.Object{}, failure.New(failure.PlatformUnavailable, "write applied, answer lost")
	}
	return o, err
}

func (v *storeView) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if err := v.beginCall(ctx); err != nil {
		return objects.Object{}, err
	}
	defer v.store.mu.Unlock()
	o, ok := v.store.kinds[kind][name]
	if !ok {
		return o, failure.New(failure.NotFound, "%s/%s", kind, name)
	}
	return o, nil
}

func (v *storeView) Create(ctx context.Context, kind, name string, spec []byte) (objects.Object, error) {
	if err := v.beginCall(ctx); err != nil {
		return objects.Object{}, err
	}
	if _, ok := v.store.kinds[kind][name]; ok {
		return v.finishWrite(objects.Object{}, failure.New(failure.Conflict, "%s/%s exists", kind, name))
	}
	return v.finishWrite(v.store.putObject(kind, objects.Object{Name: name, Spec: spec}), nil)
}

func (v *storeView) Update(ctx context.Context, kind, name string, revision uint64, spec []byte) (objects.Object, error) {
	if err := v.beginCall(ctx); err != nil {
		return objects.Object{}, err
	}
	o, ok := v.store.kinds[kind][name]
	if !ok || o.Revision != revision {
		return v.finishWrite(objects.Object{}, failure.New(failure.Conflict, "%s/%s is at %d", kind, name, o.Revision))
	}
	o.Spec = spec
	return v.finishWrite(v.store.putObject(kind, o), nil)
}

func (v *storeView) UpdateStatus(ctx context.Context, kind, name string, status []byte) error {
	if err := v.beginCall(ctx); err != nil {
		return err
	}
	o, ok := v.store.kinds[kind][name]
	if !ok {
		_, err := v.finishWrite(o, failure.New(failure.NotFound, "%s/%s", kind, name))
		return err
	}
	o.Status = status
	_, err := v.finishWrite(v.store.putObject(kind, o), nil)
	return err
}

func (v *storeView) Delete(ctx context.Context, kind, name string) error {
	if err := v.beginCall(ctx); err != nil {
		return err
	}
	o, ok := v.store.kinds[kind][name]
	if !ok {
		_, err := v.finishWrite(o, failure.New(failure.NotFound, "%s/%s", kind, name))
		return err
	}
	v.store.removeObject(kind, o)
	_, err := v.finishWrite(o, nil)
	return err
}

func (v *storeView) List(ctx context.Context, kind string) (objects.Snapshot, error) {
	sentAt := time.Now()
	if err := v.beginCall(ctx); err != nil {
		return objects.Snapshot{}, err
	}
	defer v.store.mu.Unlock()
	snapshot := objects.Snapshot{Revision: v.store.revision, AsOf: sentAt}
	for _, name := range slices.Sorted(maps.Keys(v.store.kinds[kind])) {
		snapshot.Items = append(snapshot.Items, v.store.kinds[kind][name])
	}
	return snapshot, nil
}

func (v *storeView) Watch(ctx context.Context, kind string, revision uint64, maxWait time.Duration) (objects.Changes, error) {
	sentAt := time.Now()
	v.countCall()
	for {
		if err := v.lockAfterLatency(ctx, sentAt.Add(maxWait+watchTimeoutMargin)); err != nil {
			return objects.Changes{}, err
		}
		if revision < v.store.oldestRevision {
			v.store.mu.Unlock()
			return objects.Changes{}, failure.New(failure.HistoryGone, "revision %d", revision)
		}
		changes := objects.Changes{Revision: v.store.revision, AsOf: sentAt}
		for _, c := range v.store.history {
			if c.kind == kind && c.revision > revision {
				changes.Events = append(changes.Events, c.event)
			}
		}
		changed := v.store.changed
		v.store.mu.Unlock()
		remaining := time.Until(sentAt.Add(maxWait))
		if len(changes.Events) > 0 || remaining <= 0 {
			return changes, nil
		}
		if err := awaitChange(ctx, changed, remaining); err != nil {
			return objects.Changes{}, err
		}
	}
}

// awaitChange waits until changed is closed, but no longer than wait.
func awaitChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) error {
	end := time.NewTimer(wait)
	defer end.Stop()
	select {
	case <-changed:
	case <-end.C:
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.PlatformUnavailable, "watch")
	}
	return nil
}
