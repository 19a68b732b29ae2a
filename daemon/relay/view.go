package relay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/tidwall/btree"

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
	// refuseFor is how long questions are refused after the source was lost: the way of
	// the refusal and of one more question between data centres.
	refuseFor = 100 * time.Millisecond
	// regainWait bounds the wait for a source that is lost: a sender paces its questions
	// to two a second or less (objects.Follow), so that one that may wait this long always
	// has one waiting.
	regainWait = 800 * time.Millisecond
)

// batch is what one watch of the platform returned.
type batch struct {
	// upTo is the platform's revision after the batch.
	upTo   uint64
	events []event
}

// view is one kind of objects as its source last told it; an objects.Listener.
type view struct {
	ctx    context.Context
	source objects.Reader
	kind   Kind
	logger *log.Logger

	mu   sync.Mutex
	stop context.CancelFunc // nil while the kind is not followed
	// opening: the source has been asked for its first list and has neither given it nor failed.
	opening bool
	// asked is when an entry host last asked; waiting is how many wait for changes.
	asked   time.Time
	waiting int
	// confirmed is when the source last answered; zero while it does not.
	confirmed time.Time
	// lost is when it last ceased to answer.
	lost     time.Time
	items    *btree.Map[string, objects.Object] // by name; nil without a list
	revision uint64
	// parts says which objects each entry host holds.
	parts *parts
	// asOf is when the state here was surely the newest; see objects.Snapshot.
	asOf    time.Time
	batches []batch
	// oldest is the revision after which all changes are in batches.
	oldest uint64
	// changed is closed when there are changes, or none can be told any more.
	changed chan struct{}
}

func newView(ctx context.Context, source objects.Reader, kind Kind, logger *log.Logger) *view {
	return &view{ctx: ctx, source: source, kind: kind, logger: logger, parts: newParts(kind.GroupOf), changed: make(chan struct{})}
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
	v.logger.Info("relay follows the platform", "kind", v.kind.Name)
	if v.kind.ForwardConfirmations {
		go objects.FollowFastRetry(ctx, v.source, v.kind.Name, v.kind.WatchTimeout, v)
		return
	}
	go objects.FollowThrottled(ctx, v.source, v.kind.Name, v.kind.WatchTimeout, v.kind.MinWatchInterval, v)
}

// sound reports whether the view may be told; the caller holds mu.
func (v *view) sound() bool {
	return !v.confirmed.IsZero() && time.Since(v.confirmed) <= v.kind.WatchTimeout+confirmSlack
}

func (v *view) isSound() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sound()
}

// answer replies at once if there is something to say, otherwise within wait.
func (v *view) answer(ask look, wait time.Duration, answer func(*historypb.Reply)) {
	reply, changed := ask(wait <= 0)
	if reply != nil {
		answer(reply)
		return
	}
	go func() { answer(v.await(ask, changed, wait)) }()
}

// await looks again at each change, and for the last time after wait. While the view is
// not sound, the first change is that it is sound again, or surely is not.
func (v *view) await(ask look, changed <-chan struct{}, wait time.Duration) *historypb.Reply {
	sound := v.isSound()
	if !sound {
		wait = min(wait, regainWait)
	}
	v.count(1)
	defer v.count(-1)
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		var reply *historypb.Reply
		select {
		case <-changed:
			reply, changed = ask(!sound)
		case <-end.C:
			reply, _ = ask(true)
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

// wake lets those who wait look again; the caller holds mu.
func (v *view) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Replaced implements objects.Listener. A list that follows an earlier one is told as the changes
// between them: those who follow this view would else all list anew, and those who follow them,
// whenever the platform drops its history.
func (v *view) Replaced(s objects.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirm()
	if v.items != nil && s.Revision >= v.revision {
		if events := v.difference(s); len(events) > 0 {
			v.keep(objects.Changes{Events: events, Revision: s.Revision})
		}
		v.revision, v.asOf = s.Revision, later(v.asOf, s.AsOf)
		v.wake()
		v.rest()
		return
	}
	v.items = &btree.Map[string, objects.Object]{}
	for _, o := range s.Items {
		v.items.Set(o.Name, o)
	}
	v.revision, v.oldest, v.batches, v.asOf = s.Revision, s.Revision, nil, s.AsOf
	v.parts.replace(s)
	v.wake()
	v.rest()
}

// difference is the changes that lead from the objects here to a list, in order of their names;
// the caller holds mu.
func (v *view) difference(s objects.Snapshot) []objects.Event {
	var events []objects.Event
	listed := make(map[string]bool, len(s.Items))
	for _, o := range s.Items {
		listed[o.Name] = true
		if old, known := v.items.Get(o.Name); !known || old.Revision != o.Revision {
			events = append(events, objects.Event{Object: o})
		}
	}
	v.items.Scan(func(name string, _ objects.Object) bool {
		if !listed[name] {
			events = append(events, objects.Event{Object: objects.Object{Name: name, Revision: s.Revision}, Removed: true})
		}
		return true
	})
	slices.SortFunc(events, func(a, b objects.Event) int { return strings.Compare(a.Object.Name, b.Object.Name) })
	return events
}

// Changed implements objects.Listener.
func (v *view) Changed(c objects.Changes) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirm()
	v.revision = max(v.revision, c.Revision)
	v.asOf = later(v.asOf, c.AsOf)
	if len(c.Events) > 0 {
		v.keep(c)
	}
	if len(c.Events) > 0 || v.kind.ForwardConfirmations {
		v.wake()
	}
	v.rest()
}

// keep applies changes; the caller holds mu.
func (v *view) keep(c objects.Changes) {
	b := batch{upTo: c.Revision}
	for _, e := range c.Events {
		groups := v.parts.note(e)
		before, _ := v.items.Get(e.Object.Name)
		b.events = append(b.events, event{Event: e, groups: groups, before: before})
		if v.kind.GroupOf != nil && len(groups) == 0 && !e.Removed {
			v.logger.Warn("object names nothing to hold", "kind", v.kind.Name, "name", e.Object.Name, "revision", e.Object.Revision)
		}
		if e.Removed {
			v.items.Delete(e.Object.Name)
			continue
		}
		v.items.Set(e.Object.Name, e.Object)
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
	if !v.confirmed.IsZero() || v.lost.IsZero() || v.opening {
		v.opening = false
		v.logger.Warn("platform lost", "view", "relay", "kind", v.kind.Name, "revision", v.revision, "error", err.Error())
		v.confirmed, v.lost = time.Time{}, time.Now()
		v.wake()
	}
	v.rest()
}

// confirm notes that the platform answers; the caller holds mu.
func (v *view) confirm() {
	if v.confirmed.IsZero() {
		v.logger.Info("platform regained", "view", "relay", "kind", v.kind.Name)
	}
	v.confirmed, v.opening = time.Now(), false
}

// rest ends the following of a kind that nobody asks for; the caller holds mu.
func (v *view) rest() {
	if v.stop == nil || v.waiting > 0 || time.Since(v.asked) <= idleAfter {
		return
	}
	v.logger.Info("relay rests", "kind", v.kind.Name)
	v.stop()
	v.stop, v.confirmed, v.asOf, v.items, v.batches = nil, time.Time{}, time.Time{}, nil, nil
}

// later returns the later of two instants.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
