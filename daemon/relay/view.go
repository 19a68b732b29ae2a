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
	// idleTimeout is how long a kind is followed after the last request for it: longer than any
	// watch that an entry host makes directly at the platform (20 s).
	idleTimeout = time.Minute
	// watchGrace is the time beyond one watch in which the platform must confirm the view: the
	// time after which a watch that hangs is given up, and a new list.
	watchGrace = time.Second
	// maxBatches bounds the changes kept for watches. A follower that is further behind lists
	// again. There are at most a few changes a second.
	maxBatches = 256
	// refusalWindow is how long requests are refused after the source was lost: the transfer
	// time of the refusal and of one more request between data centres.
	refusalWindow = 100 * time.Millisecond
	// maxRecoveryWait bounds the wait of a request for a lost source. A follower sends at most
	// two requests a second (objects.Follow), so one that may wait this long always has a
	// request waiting.
	maxRecoveryWait = 800 * time.Millisecond
)

// batch is the changes that one watch of the source returned.
type batch struct {
	// revision is the platform's revision after the batch.
	revision uint64
	events   []event
}

// view is the state of one kind of objects as received from its source; an objects.Listener.
type view struct {
	ctx    context.Context
	source objects.Reader
	kind   Kind
	logger *log.Logger

	mu   sync.Mutex
	stop context.CancelFunc // nil while the kind is not followed
	// loading is set from the first request for a list until the source has returned it or failed.
	loading bool
	// lastRequestAt is the time of the last request; waiters is the number of requests that
	// wait for changes.
	lastRequestAt time.Time
	waiters       int
	// confirmedAt is the time of the source's last answer; zero while the source is lost.
	confirmedAt time.Time
	// lostAt is the time at which the source was last lost.
	lostAt   time.Time
	items    *btree.Map[string, objects.Object] // by name; nil without a list
	revision uint64
	// subsets determines which objects each entry host holds.
	subsets *subsetIndex
	// asOf is the time as of which this state was certainly the newest; see objects.Snapshot.
	asOf    time.Time
	batches []batch
	// oldestRevision is the revision after which all changes are in batches.
	oldestRevision uint64
	// changed is closed and replaced when there are changes or a new list, and when the source is
	// lost.
	changed chan struct{}
}

func newView(ctx context.Context, source objects.Reader, kind Kind, logger *log.Logger) *view {
	return &view{ctx: ctx, source: source, kind: kind, logger: logger, subsets: newSubsetIndex(kind.GroupOf), changed: make(chan struct{})}
}

// ensureFollowing records a request for the kind and starts to follow it if necessary; the caller
// holds mu.
func (v *view) ensureFollowing() {
	v.lastRequestAt = time.Now()
	if v.stop != nil || v.ctx.Err() != nil {
		return
	}
	ctx, stop := context.WithCancel(v.ctx)
	v.stop, v.loading = stop, true
	v.logger.Info("relay follows the platform", "kind", v.kind.Name)
	if v.kind.ForwardConfirmations {
		go objects.FollowFastRetry(ctx, v.source, v.kind.Name, v.kind.WatchTimeout, v)
		return
	}
	go objects.FollowThrottled(ctx, v.source, v.kind.Name, v.kind.WatchTimeout, v.kind.MinWatchInterval, v)
}

// isCurrentLocked reports whether the source has confirmed the view recently enough to serve it;
// the caller holds mu.
func (v *view) isCurrentLocked() bool {
	return !v.confirmedAt.IsZero() && time.Since(v.confirmedAt) <= v.kind.WatchTimeout+watchGrace
}

func (v *view) isCurrent() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isCurrentLocked()
}

// serve replies at once if the query has a reply, otherwise within wait.
func (v *view) serve(q query, wait time.Duration, respond func(*historypb.Reply)) {
	reply, changed := q(wait <= 0)
	if reply != nil {
		respond(reply)
		return
	}
	go func() { respond(v.awaitReply(q, changed, wait)) }()
}

// awaitReply evaluates the query at each change, and for the last time after wait. If the view is
// not current, the first change means that it is current again or that its source has failed, so
// the query then has to reply.
func (v *view) awaitReply(q query, changed <-chan struct{}, wait time.Duration) *historypb.Reply {
	current := v.isCurrent()
	if !current {
		wait = min(wait, maxRecoveryWait)
	}
	v.addWaiters(1)
	defer v.addWaiters(-1)
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		var reply *historypb.Reply
		select {
		case <-changed:
			reply, changed = q(!current)
		case <-end.C:
			reply, _ = q(true)
		}
		if reply != nil {
			return reply
		}
	}
}

func (v *view) addWaiters(n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.waiters += n
}

// notifyWaiters makes all waiting requests evaluate their queries again; the caller holds mu.
func (v *view) notifyWaiters() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Replaced implements objects.Listener. A list that follows an earlier one is forwarded as the
// changes between them. Otherwise all followers of this view, and their followers in turn, would
// list again whenever the platform drops its history.
func (v *view) Replaced(s objects.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.markConfirmed()
	if v.items != nil && s.Revision >= v.revision {
		if events := v.diff(s); len(events) > 0 {
			v.apply(objects.Changes{Events: events, Revision: s.Revision})
		}
		v.revision, v.asOf = s.Revision, later(v.asOf, s.AsOf)
		v.notifyWaiters()
		v.stopIfIdle()
		return
	}
	v.items = &btree.Map[string, objects.Object]{}
	for _, o := range s.Items {
		v.items.Set(o.Name, o)
	}
	v.revision, v.oldestRevision, v.batches, v.asOf = s.Revision, s.Revision, nil, s.AsOf
	v.subsets.replace(s)
	v.notifyWaiters()
	v.stopIfIdle()
}

// diff returns the changes from the view's objects to those of a list, ordered by name; the caller
// holds mu.
func (v *view) diff(s objects.Snapshot) []objects.Event {
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
	v.markConfirmed()
	v.revision = max(v.revision, c.Revision)
	v.asOf = later(v.asOf, c.AsOf)
	if len(c.Events) > 0 {
		v.apply(c)
	}
	if len(c.Events) > 0 || v.kind.ForwardConfirmations {
		v.notifyWaiters()
	}
	v.stopIfIdle()
}

// apply applies changes and keeps them for watches; the caller holds mu.
func (v *view) apply(c objects.Changes) {
	b := batch{revision: c.Revision}
	for _, e := range c.Events {
		groups := v.subsets.record(e)
		previous, _ := v.items.Get(e.Object.Name)
		b.events = append(b.events, event{Event: e, groups: groups, previous: previous})
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
	if len(v.batches) > maxBatches {
		v.oldestRevision = v.batches[0].revision
		v.batches = v.batches[1:]
	}
}

// Lost implements objects.Listener. Entry hosts call the platform themselves until the source
// answers again.
func (v *view) Lost(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.confirmedAt.IsZero() || v.lostAt.IsZero() || v.loading {
		v.loading = false
		v.logger.Warn("platform lost", "view", "relay", "kind", v.kind.Name, "revision", v.revision, "error", err.Error())
		v.confirmedAt, v.lostAt = time.Time{}, time.Now()
		v.notifyWaiters()
	}
	v.stopIfIdle()
}

// markConfirmed records that the source has answered; the caller holds mu.
func (v *view) markConfirmed() {
	if v.confirmedAt.IsZero() {
		v.logger.Info("platform regained", "view", "relay", "kind", v.kind.Name)
	}
	v.confirmedAt, v.loading = time.Now(), false
}

// stopIfIdle stops following a kind that has not been requested within idleTimeout; the caller
// holds mu.
func (v *view) stopIfIdle() {
	if v.stop == nil || v.waiters > 0 || time.Since(v.lastRequestAt) <= idleTimeout {
		return
	}
	v.logger.Info("relay stops following the platform", "kind", v.kind.Name)
	v.stop()
	v.stop, v.confirmedAt, v.asOf, v.items, v.batches = nil, time.Time{}, time.Time{}, nil, nil
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
