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
	events []objects.Event
}

// view is one kind of objects as its source last told it; an objects.Listener.
type view struct {
	ctx    context.Context
	source objects.Reader
	kind   string
	wait   time.Duration
	renew  bool
	logger *log.Logger

	mu   sync.Mutex
	stop context.CancelFunc // nil while the kind is not followed
	// asked is when an entry host last asked; waiting is how many wait for changes.
	asked   time.Time
	waiting int
	// confirmed is when the source last answered; zero while it does not.
	confirmed time.Time
	// lost is when it last ceased to answer.
	lost     time.Time
	items    map[string]objects.Object
	revision uint64
	// asOf is when the state here was surely the newest; see objects.Snapshot.
	asOf    time.Time
	batches []batch
	// oldest is the revision after which all changes are in batches.
	oldest uint64
	// changed is closed when there are changes, or none can be told any more.
	changed chan struct{}
}

func newView(ctx context.Context, source objects.Reader, kind Kind, logger *log.Logger) *view {
	return &view{ctx: ctx, source: source, kind: kind.Name, wait: kind.Wait, renew: kind.Renew, logger: logger, changed: make(chan struct{})}
}

// ask notes that somebody wants the kind and starts to follow it; the caller
// holds mu.
func (v *view) ask() {
	v.asked = time.Now()
	if v.stop != nil || v.ctx.Err() != nil {
		return
	}
	ctx, stop := context.WithCancel(v.ctx)
	v.stop = stop
	v.logger.Info("relay follows the platform", "kind", v.kind)
	if v.renew {
		go objects.FollowClosely(ctx, v.source, v.kind, v.wait, v)
		return
	}
	go objects.Follow(ctx, v.source, v.kind, v.wait, v)
}

// sound reports whether the view may be told; the caller holds mu.
func (v *view) sound() bool {
	return !v.confirmed.IsZero() && time.Since(v.confirmed) <= v.wait+confirmSlack
}

func (v *view) isSound() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sound()
}

// look is a question to a view: it returns the reply, or what to wait for.
//
// The last look always returns a reply, made of the state that it looked at: one made of
// a later state would tell the newest revision without the changes that led to it, and the
// sender would miss them for good.
type look func(last bool) (*historypb.Reply, <-chan struct{})

// unsound refuses, or waits for the view to become sound; the caller holds mu. Senders
// are refused at once when the source is lost, so that they ask another relay. Those that
// still ask later have found no other: they wait and are told at once when it is back.
func (v *view) unsound(last bool) (*historypb.Reply, <-chan struct{}) {
	if last || time.Since(v.lost) < refuseFor {
		return refusal(historypb.Status_STATUS_UNAVAILABLE), nil
	}
	return nil, v.changed
}

// list returns all objects, unless the view is older than a revision.
func (v *view) list(atLeast uint64, taken time.Time, last bool) (*historypb.Reply, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ask()
	if !v.sound() {
		return v.unsound(last)
	}
	if v.revision < atLeast {
		return refusal(historypb.Status_STATUS_UNAVAILABLE), nil
	}
	return v.all(taken), nil
}

// ofAnyAge returns all objects as they were last known, however long ago that was.
func (v *view) ofAnyAge(taken time.Time, last bool) (*historypb.Reply, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ask()
	if v.items == nil {
		return v.unsound(last)
	}
	return v.all(taken), nil
}

// all is the reply with all objects to a request taken at taken; the caller holds mu.
func (v *view) all(taken time.Time) *historypb.Reply {
	reply := &historypb.Reply{Status: historypb.Status_STATUS_OK, Revision: v.revision}
	date(reply, v.asOf, taken)
	for _, o := range v.items {
		reply.Objects = append(reply.Objects, encode(objects.Event{Object: o}))
	}
	return reply
}

// changes returns a look for the changes after a revision. It replies once there are any,
// or, where renewals are told, once the source has answered again.
func (v *view) changes(after uint64, taken time.Time) look {
	var known time.Time
	looked := false
	return func(last bool) (*historypb.Reply, <-chan struct{}) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.ask()
		if !v.sound() {
			return v.unsound(last)
		}
		if after < v.oldest {
			return refusal(historypb.Status_STATUS_HISTORY_GONE), nil
		}
		if !looked {
			known, looked = v.asOf, true
		}
		reply := v.since(after)
		if !last && len(reply.Objects) == 0 && !(v.renew && v.asOf.After(known)) {
			return nil, v.changed
		}
		date(reply, v.asOf, taken)
		return reply, nil
	}
}

// since is the reply with the changes after a revision; the caller holds mu.
func (v *view) since(after uint64) *historypb.Reply {
	reply := &historypb.Reply{Status: historypb.Status_STATUS_OK, Revision: max(after, v.revision)}
	for _, b := range v.batches {
		if b.upTo <= after {
			continue
		}
		for _, e := range b.events {
			reply.Objects = append(reply.Objects, encode(e))
		}
	}
	return reply
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

// Replaced implements objects.Listener.
func (v *view) Replaced(s objects.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirm()
	v.items = make(map[string]objects.Object, len(s.Items))
	for _, o := range s.Items {
		v.items[o.Name] = o
	}
	v.revision, v.oldest, v.batches, v.asOf = s.Revision, s.Revision, nil, s.AsOf
	v.wake()
	v.rest()
}

// Changed implements objects.Listener.
func (v *view) Changed(c objects.Changes) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirm()
	v.revision = max(v.revision, c.Revision)
	v.asOf = later(v.asOf, c.AsOf)
	if len(c.Events) > 0 {
		v.keep(batch{upTo: c.Revision, events: c.Events})
	}
	if len(c.Events) > 0 || v.renew {
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
	if !v.confirmed.IsZero() || v.lost.IsZero() {
		v.logger.Warn("platform lost", "view", "relay", "kind", v.kind, "revision", v.revision, "error", err.Error())
		v.confirmed, v.lost = time.Time{}, time.Now()
		v.wake()
	}
	v.rest()
}

// confirm notes that the platform answers; the caller holds mu.
func (v *view) confirm() {
	if v.confirmed.IsZero() {
		v.logger.Info("platform regained", "view", "relay", "kind", v.kind)
	}
	v.confirmed = time.Now()
}

// rest ends the following of a kind that nobody asks for; the caller holds mu.
func (v *view) rest() {
	if v.stop == nil || v.waiting > 0 || time.Since(v.asked) <= idleAfter {
		return
	}
	v.logger.Info("relay rests", "kind", v.kind)
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
