package objects

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v4"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay before a failed read of the store is
	// retried: short enough that a host is up to date well within one second after an
	// outage, long enough that a host makes only a few calls per second during an outage.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxFastRetryDelay replaces maxRetryDelay where nothing may be served until the store
	// answers again. With maxRetryDelay, the hosts that follow received their first answer
	// 1.2 to 1.7 s after the end of a 6.8 s outage.
	maxFastRetryDelay = 120 * time.Millisecond
)

// Listener receives the objects of one kind and their changes. All calls come from one
// goroutine.
type Listener interface {
	// Replaced passes the complete list; objects that are not in it no longer exist.
	Replaced(Snapshot)
	// Changed passes the changes since the previous call, in order; there may be none.
	Changed(Changes)
	// Lost reports that the store does not answer. The next call to Replaced or Changed
	// means that it answers again.
	Lost(error)
}

// Follow lists a kind, watches it until the context ends, and passes the results to
// listener. A single watch lasts maxWait at most: each watch is billed as a call, so that
// longer watches cost less, but a watch that hangs unnoticed delays its changes by up to
// maxWait. After an error the watch continues from the last revision; after HistoryGone the
// kind is listed again.
func Follow(ctx context.Context, store Reader, kind string, maxWait time.Duration, listener Listener) {
	follow(ctx, store, kind, timing{maxWait: maxWait, maxRetryDelay: maxRetryDelay}, listener)
}

// FollowThrottled is Follow for kinds that change continuously. It starts watches at least
// minInterval apart when they return changes, so that the number of calls does not grow with
// the number of changes.
func FollowThrottled(ctx context.Context, store Reader, kind string, maxWait, minInterval time.Duration, listener Listener) {
	follow(ctx, store, kind, timing{maxWait: maxWait, maxRetryDelay: maxRetryDelay, minInterval: minInterval}, listener)
}

// FollowFastRetry is Follow for kinds whose data must be known to be current. It retries a
// failing store about every 0.1 s.
func FollowFastRetry(ctx context.Context, store Reader, kind string, maxWait time.Duration, listener Listener) {
	follow(ctx, store, kind, timing{maxWait: maxWait, maxRetryDelay: maxFastRetryDelay}, listener)
}

// timing sets the pace at which a kind is followed.
type timing struct {
	// maxWait bounds the duration of one watch, maxRetryDelay the delay between reads of a
	// failing store. minInterval is the minimum time from the start of a watch that returns
	// changes to the start of the next one.
	maxWait, maxRetryDelay, minInterval time.Duration
}

func follow(ctx context.Context, store Reader, kind string, t timing, listener Listener) {
	retryDelay := newBackoff(t.maxRetryDelay)
	for ctx.Err() == nil {
		snapshot, err := store.List(ctx, kind)
		if err != nil {
			listener.Lost(err)
			wait.For(ctx, retryDelay.NextBackOff())
			continue
		}
		retryDelay.Reset()
		listener.Replaced(snapshot)
		start := time.Now()
		watch(ctx, store, kind, t, snapshot.Revision, listener)
		// When different relays answer the list and the watch, the list may be too old for
		// the watch until the relay that served the list has caught up.
		wait.For(ctx, minRetryDelay-time.Since(start))
	}
}

// watch passes changes after revision to the listener. It returns when the kind has to be
// listed again or the context has ended.
func watch(ctx context.Context, store Reader, kind string, t timing, revision uint64, listener Listener) {
	retryDelay := newBackoff(t.maxRetryDelay)
	for ctx.Err() == nil {
		start := time.Now()
		changes, err := store.Watch(ctx, kind, revision, t.maxWait)
		if failure.Is(err, failure.HistoryGone) {
			return
		}
		if err != nil {
			listener.Lost(err)
			// The duration of the failed call counts towards the delay.
			wait.For(ctx, retryDelay.NextBackOff()-time.Since(start))
			continue
		}
		retryDelay.Reset()
		revision = changes.Revision
		listener.Changed(changes)
		if len(changes.Events) > 0 {
			wait.For(ctx, t.minInterval-time.Since(start))
		}
	}
}

func newBackoff(maxDelay time.Duration) *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(min(minRetryDelay, maxDelay)), backoff.WithMaxInterval(maxDelay), backoff.WithMaxElapsedTime(0))
}
