package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// maxListCheckWait bounds the wait until the list of targets is known to be the newest, and listCheckDivisor bounds it
// as a fraction, 1/listCheckDivisor, of the time until the request's deadline.
const (
	maxListCheckWait = 300 * time.Millisecond
	listCheckDivisor = 3
)

// targetList is how new the list of targets is that the host follows.
type targetList struct {
	confirmed confirmation
	// checking holds a value while the platform is asked whether the list has changed.
	checking chan struct{}

	mu sync.Mutex
	// revision is that of the list.
	revision uint64
	// checkedRevision is the revision of the platform as of checkedAt. Changes up to it may not have arrived yet.
	checkedRevision uint64
	checkedAt       time.Duration
}

// advance records that the list has reached a revision, which was the newest as of an instant of Host.now.
func (l *targetList) advance(revision uint64, asOf time.Duration) {
	l.mu.Lock()
	l.revision = max(l.revision, revision)
	if l.checkedRevision != 0 && l.revision >= l.checkedRevision {
		asOf = max(asOf, l.checkedAt)
	}
	l.mu.Unlock()
	l.confirmed.confirm(asOf)
}

// current returns the revision of the list.
func (l *targetList) current() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// recordCheck records what the platform answered as of an instant of Host.now. If there are changes, the list is
// confirmed once they have arrived.
func (l *targetList) recordCheck(changes objects.Changes, asOf time.Duration) {
	if len(changes.Events) == 0 {
		l.advance(changes.Revision, asOf)
		return
	}
	l.mu.Lock()
	l.checkedRevision, l.checkedAt = changes.Revision, asOf
	l.mu.Unlock()
	l.advance(0, neverConfirmed) // the changes may have arrived meanwhile
}

// advanceTargetList records a result of following the list. A zero asOf confirms nothing.
func (h *Host) advanceTargetList(revision uint64, asOf time.Time) {
	at := time.Duration(neverConfirmed)
	if !asOf.IsZero() {
		at = h.sinceStart(asOf)
	}
	h.targetList.advance(revision, at)
}

// knowsTargetsAtArrival reports whether the list of targets is known to have been the newest when the request
// arrived, or later. A host that stood still, or that hears nothing of the platform and has not noticed it, holds an
// older one. It asks the platform if necessary.
func (x *exchange) knowsTargetsAtArrival(ctx context.Context) bool {
	h := x.host
	arrival := h.sinceStart(x.startedAt)
	if h.targetList.confirmed.isSince(arrival) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, min(maxListCheckWait, time.Until(x.deadline)/listCheckDivisor))
	defer cancel()
	h.background.Go(func() { h.checkTargetList(ctx, arrival) })
	return h.targetList.confirmed.awaitSince(ctx, arrival)
}

// checkTargetList asks the platform whether the list of targets has changed, unless that is known since an instant
// of now. One such call is made at a time.
func (h *Host) checkTargetList(ctx context.Context, since time.Duration) {
	l := &h.targetList
	if h.ReadTargetChanges == nil {
		return
	}
	select {
	case l.checking <- struct{}{}:
		defer func() { <-l.checking }()
	case <-ctx.Done():
		return
	}
	if l.confirmed.isSince(since) {
		return
	}
	h.Meter.Count("target_lists", "checked")
	changes, err := h.ReadTargetChanges(ctx, l.current())
	if err != nil {
		h.Log.Warn("list of targets not checked", "error", err.Error())
		return
	}
	if !changes.AsOf.IsZero() {
		l.recordCheck(changes, h.sinceStart(changes.AsOf))
	}
}
