package relay

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

const (
	// idleAfter is how long a kind is followed after the last entry host asked for it:
	// longer than any watch that an entry host makes at the platform itself (20 s).
	idleAfter = time.Minute
	// confirmSlack is allowed on top of one watch for the platform to confirm the
	// view: the time after which a watch that hangs is given up, and a new list.
	confirmSlack = time.Second
	// keptBatches bounds the changes kept for watches: an entry host that is further
	// behind lists again. Changes come a few a second at most.
	keptBatches = 256
)

// batch is what one watch of the platform returned.
type batch struct {
	// upTo is the platform's revision after the batch.
	upTo   uint64
	events []objects.Event
}

// view is one kind of objects as the platform last told it; an objects.Listener.
type view struct {
	ctx    context.Context
	store  objects.Reader
	kind   string
	wait   time.Duration
	logger *log.Logger

	mu   sync.Mutex
	stop context.CancelFunc // nil while the kind is not followed
	// asked is when an entry host last asked; waiting is how many wait for changes.
	asked   time.Time
	waiting int
	// opening is true from the start of following until the platform has answered or
	// failed.
	opening bool
	// confirmed is when the platform last answered; zero while it does not.
	confirmed time.Time
	items     map[string]objects.Object
	revision  uint64
	batches   []batch
	// oldest is the revision after which all changes are in batches.
	oldest uint64
	// changed is closed when there are changes, or none can be told any more.
	changed chan struct{}
}

func newView(ctx context.Context, store objects.Reader, kind Kind, logger *log.Logger) *view {
	return &view{ctx: ctx, store: store, kind: kind.Name, wait: kind.Wait, logger: logger, changed: make(chan struct{})}
}

// ask notes that somebody wants the kind and starts to follow it; the caller
// holds mu.
func (v *view) ask() {
	v.asked = time.Now()
	if v.stop != nil || v.ctx.Err() != nil {
		return
	}
	ctx, stop := context.WithCancel(v.ctx)
	v.stop, v.opening = stop, true
	v.logger.Info("relay follows the platform", "kind", v.kind)
	go objects.Follow(ctx, v.store, v.kind, v.wait, v)
}

// sound reports whether the view may be told; the caller holds mu.
func (v *view) sound() bool {
	return !v.confirmed.IsZero() && time.Since(v.confirmed) <= v.wait+confirmSlack
}

// look is a question to a view: it returns the reply, or what to wait for.
type look func() (*historypb.Reply, <-chan struct{})

// unsound refuses, or waits for a view that is opening; the caller holds mu.
func (v *view) unsound() (*historypb.Reply, <-chan struct{}) {
	if v.opening {
		return nil, v.changed
	}
	return refusal(historypb.Status_STATUS_UNAVAILABLE), nil
}

// list returns all objects, unless the view is older than a revision.
func (v *view) list(atLeast uint64) (*historypb.Reply, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ask()
	if !v.sound() {
		return v.unsound()
	}
	if v.revision < atLeast {
		return refusal(historypb.Status_STATUS_UNAVAILABLE), nil
	}
	reply := &historypb.Reply{Status: historypb.Status_STATUS_OK, Revision: v.revision}
	for _, o := range v.items {
		reply.Objects = append(reply.Objects, encode(objects.Event{Object: o}))
	}
	return reply, nil
}

// changes returns the changes after a revision, if there are any.
func (v *view) changes(after uint64) (*historypb.Reply, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ask()
	if !v.sound() {
		return v.unsound()
	}
	if after < v.oldest {
		return refusal(historypb.Status_STATUS_HISTORY_GONE), nil
	}
	reply := &historypb.Reply{Status: historypb.Status_STATUS_OK, Revision: max(after, v.revision)}
	for _, b := range v.batches {
		if b.upTo <= after {
			continue
		}
		for _, e := range b.events {
			reply.Objects = append(reply.Objects, encode(e))
		}
	}
	if len(reply.Objects) > 0 {
		return reply, nil
	}
	return nil, v.changed
}

// answer replies at once if there is something to say, otherwise within wait.
func (v *view) answer(ask look, wait time.Duration, answer func(*historypb.Reply)) {
	reply, changed := ask()
	if reply != nil {
		answer(reply)
		return
	}
	go func() { answer(v.await(ask, changed, wait)) }()
}

// await looks again at each change, and for the last time after wait.
func (v *view) await(ask look, changed <-chan struct{}, wait time.Duration) *historypb.Reply {
	v.count(1)
	defer v.count(-1)
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		var reply *historypb.Reply
		select {
		case <-changed:
			reply, changed = ask()
		case <-end.C:
			if reply, _ = ask(); reply == nil {
				reply = v.unchanged()
			}
		}
		if reply != nil {
			return reply
		}
	}
}

func (v *view) count(waiting int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.waiting += waiting
}

// unchanged is the reply after a wait in which nothing came.
func (v *view) unchanged() *historypb.Reply {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.sound() {
		return refusal(historypb.Status_STATUS_UNAVAILABLE)
	}
	return &historypb.Reply{Status: historypb.Status_STATUS_OK, Revision: v.revision}
}

// wake lets those who wait look again; the caller holds mu.
func (v *view) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Replaced implements objects.Listener.
func (v *view) Replaced(s objects.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirm()
	v.items = make(map[string]objects.Object, len(s.Items))
	for _, o := range s.Items {
		v.items[o.Name] = o
	}
	v.revision, v.oldest, v.batches = s.Revision, s.Revision, nil
	v.wake()
	v.rest()
}

// Changed implements objects.Listener.
func (v *view) Changed(c objects.Changes) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirm()
	v.revision = max(v.revision, c.Revision)
	if len(c.Events) > 0 {
		v.keep(batch{upTo: c.Revision, events: c.Events})
		v.wake()
	}
	v.rest()
}

// keep applies a batch; the caller holds mu.
func (v *view) keep(b batch) {
	for _, e := range b.events {
		if e.Removed {
			delete(v.items, e.Object.Name)
			continue
		}
		v.items[e.Object.Name] = e.Object
	}
	v.batches = append(v.batches, b)
	if len(v.batches) > keptBatches {
		v.oldest = v.batches[0].upTo
		v.batches = v.batches[1:]
	}
}

// Lost implements objects.Listener. Entry hosts ask the platform themselves
// meanwhile.
func (v *view) Lost(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.confirmed.IsZero() {
		v.logger.Warn("platform lost", "view", "relay", "kind", v.kind, "revision", v.revision, "error", err.Error())
	}
	v.confirmed, v.opening = time.Time{}, false
	v.wake()
	v.rest()
}

// confirm notes that the platform answers; the caller holds mu.
func (v *view) confirm() {
	if v.confirmed.IsZero() {
		v.logger.Info("platform regained", "view", "relay", "kind", v.kind)
	}
	v.confirmed, v.opening = time.Now(), false
}

// rest ends the following of a kind that nobody asks for; the caller holds mu.
func (v *view) rest() {
	if v.stop == nil || v.waiting > 0 || time.Since(v.asked) <= idleAfter {
		return
	}
	v.logger.Info("relay rests", "kind", v.kind)
	v.stop()
	v.stop, v.confirmed, v.items, v.batches = nil, time.Time{}, nil, nil
}

func encode(e objects.Event) *historypb.Object {
	return &historypb.Object{Name: e.Object.Name, Revision: e.Object.Revision, Spec: e.Object.Spec, Removed: e.Removed}
}
