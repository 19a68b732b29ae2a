package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// KeyRules bounds the age of the configuration by which callers are served or rejected. The age
// is the time since the platform last confirmed that the configuration was the newest.
type KeyRules struct {
	// MaxAge is the largest age at which requests with a key are sent: with an older
	// configuration, the key may have been revoked. 0 means no bound.
	MaxAge time.Duration
	// UnknownMaxAge is the largest age at which a request is rejected for good because its key or
	// its route is unknown. With an older configuration, they may be known to other hosts, and
	// the request is refused as one to retry. 0 means no bound.
	UnknownMaxAge time.Duration
}

// confirmation is the latest instant at which what a host holds of the platform is known to have been the newest.
type confirmation struct {
	// at is that instant, in nanoseconds of Host.now.
	at atomic.Int64
	// news wakes those who wait for a later one.
	news broadcast
}

// confirm records a confirmation as of an instant of Host.now.
func (c *confirmation) confirm(at time.Duration) {
	for {
		old := c.at.Load()
		if old >= int64(at) {
			return
		}
		if c.at.CompareAndSwap(old, int64(at)) {
			c.news.notify()
			return
		}
	}
}

// isSince reports whether there was a confirmation as of an instant or later.
func (c *confirmation) isSince(at time.Duration) bool { return c.at.Load() >= int64(at) }

// awaitSince waits for a confirmation as of an instant or later, and reports whether there is one.
func (c *confirmation) awaitSince(ctx context.Context, at time.Duration) bool {
	for news := c.news.subscribe(); !c.isSince(at); news = c.news.subscribe() {
		select {
		case <-news:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// confirmConfig records that the current configuration was the newest at the instant asOf; a
// zero asOf is ignored.
func (h *Host) confirmConfig(asOf time.Time) {
	if !asOf.IsZero() {
		h.configConfirmed.confirm(h.sinceStart(asOf))
	}
}

// broadcast wakes all its subscribers at once. Its zero value is ready for use.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

// subscribe returns a channel that the next call of notify closes.
func (b *broadcast) subscribe() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// notify wakes all subscribers.
func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}

// neverConfirmed is the instant of a confirmation before the first one.
const neverConfirmed = -1 << 62

// confirmedAge returns the time since the current configuration was last known to be the
// newest.
func (h *Host) confirmedAge() time.Duration {
	return h.now() - time.Duration(h.configConfirmed.at.Load())
}

// configMayBeOutdated reports whether the configuration is too old to say that a key or a route is unknown.
func (h *Host) configMayBeOutdated() bool {
	return h.KeyRules.UnknownMaxAge > 0 && h.confirmedAge() > h.KeyRules.UnknownMaxAge
}

// staleFor returns how long the configuration has been too old to serve requests with a key; 0
// if it is not.
func (h *Host) staleFor() time.Duration {
	t := h.table.Load()
	if h.KeyRules.MaxAge == 0 || t == nil || !t.RequiresKey() {
		return 0
	}
	return max(0, h.confirmedAge()-h.KeyRules.MaxAge)
}

const (
	// outageRetryDelay is the retry delay during an outage of the platform: callers give up
	// after a few retries, and no host serves them sooner.
	outageRetryDelay = time.Second
	// maxConfirmWait bounds the wait for a confirmation, and confirmWaitDivisor bounds it as a
	// fraction, 1/confirmWaitDivisor, of the time until the request's deadline. A short outage
	// then costs that time and does not fail the program.
	maxConfirmWait     = 1200 * time.Millisecond
	confirmWaitDivisor = 3
)

// isIsolated reports whether most slots of the history hosts are not servable for this host; other
// entry hosts may not be affected.
func (h *Host) isIsolated() bool { return h.History.IsolatedFor() > 0 }

// staleRetryDelay returns when a caller with a key should retry after the configuration has
// been too old for staleFor: when the balancer routes it to another host or, if other hosts are
// affected too, when the platform may be available again.
func (h *Host) staleRetryDelay(staleFor time.Duration) time.Duration {
	if h.isIsolated() {
		return max(defaultRetryDelay, outOfRotationDelay-staleFor)
	}
	return outageRetryDelay
}

// awaitConfirmation waits for a confirmation while the configuration is too old because the
// platform does not answer the hosts that relay it to this one. An isolated host does not wait.
func (x *exchange) awaitConfirmation(ctx context.Context) {
	h := x.host
	if x.route.Public || h.staleFor() == 0 || h.isIsolated() {
		return
	}
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, min(maxConfirmWait, time.Until(x.deadline)/confirmWaitDivisor))
	defer cancel()
	for confirmation := h.configConfirmed.news.subscribe(); h.staleFor() > 0; confirmation = h.configConfirmed.news.subscribe() {
		select {
		case <-confirmation:
		case <-ctx.Done():
			return
		}
	}
	h.Meter.Count("waits", "configuration")
	h.Log.Info("request waited for the configuration", "request", x.call.ID, "program", x.call.Program, "waited_ms", time.Since(startedAt).Milliseconds())
}
