package objects

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v4"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

const (
	// retryFirst and retryMost pace reads of a store that fails: soon enough that a
	// host is up to date well within the second after an outage, seldom enough that
	// an outage costs each host a few calls a second.
	retryFirst = 100 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// retryClosely is the most where nothing may be served until the store answers again:
	// after an outage of 6.8 s the hosts that follow had their word 1.2 to 1.7 s later with
	// retryMost.
	retryClosely = 120 * time.Millisecond
)

// Listener is told of the objects of one kind. Calls come from one goroutine.
type Listener interface {
	// Replaced gives all objects; those not among them are gone.
	Replaced(Snapshot)
	// Changed gives the changes since, in order; there may be none.
	Changed(Changes)
	// Lost tells that the store does not answer; the next call to Replaced or
	// Changed tells that it does again.
	Lost(error)
}

// Follow lists a kind and watches it until the context ends, each watch for wait
// at most: every watch is a priced call, and one that hangs unnoticed delays what
// it would have told by that time. A watch that breaks goes on from where it was;
// one whose history is gone begins with a new list.
func Follow(ctx context.Context, store Reader, kind string, wait time.Duration, to Listener) {
	follow(ctx, store, kind, timing{wait: wait, retry: retryMost}, to)
}

// FollowThrottled is Follow for kinds that change all the time: watches that tell changes end no
// faster than one in each pace, so that the calls do not grow with the number of changes.
func FollowThrottled(ctx context.Context, store Reader, kind string, wait, pace time.Duration, to Listener) {
	follow(ctx, store, kind, timing{wait: wait, retry: retryMost, pace: pace}, to)
}

// FollowFastRetry is Follow for what must be known to be new: a store that fails is asked again
// every 0.1 s.
func FollowFastRetry(ctx context.Context, store Reader, kind string, wait time.Duration, to Listener) {
	follow(ctx, store, kind, timing{wait: wait, retry: retryClosely}, to)
}

// timing is how a kind is followed.
type timing struct {
	// wait is the most that one watch waits, retry the most between reads of a store that
	// fails, pace the least between two watches that told changes.
	wait, retry, pace time.Duration
}

func follow(ctx context.Context, store Reader, kind string, t timing, to Listener) {
	pause := newPause(t.retry)
	for ctx.Err() == nil {
		snapshot, err := store.List(ctx, kind)
		if err != nil {
			to.Lost(err)
			sleep(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
		to.Replaced(snapshot)
		began := time.Now()
		watch(ctx, store, kind, t, snapshot.Revision, to)
		// Where a list and a watch come from different relays, the list may be too old for
		// the watch until the one relay has caught up.
		sleep(ctx, retryFirst-time.Since(began))
	}
}

// watch returns when a new list is needed.
func watch(ctx context.Context, store Reader, kind string, t timing, revision uint64, to Listener) {
	pause := newPause(t.retry)
	for ctx.Err() == nil {
		began := time.Now()
		changes, err := store.Watch(ctx, kind, revision, t.wait)
		if failure.Is(err, failure.HistoryGone) {
			return
		}
		if err != nil {
			to.Lost(err)
			// A call that failed late was a pause itself.
			sleep(ctx, pause.NextBackOff()-time.Since(began))
			continue
		}
		pause.Reset()
		revision = changes.Revision
		to.Changed(changes)
		if len(changes.Events) > 0 {
			sleep(ctx, t.pace-time.Since(began))
		}
	}
}

func newPause(most time.Duration) *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(min(retryFirst, most)), backoff.WithMaxInterval(most), backoff.WithMaxElapsedTime(0))
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
