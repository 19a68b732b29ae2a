package entry

import (
	"context"
	"sync"
	"time"
)

// KeyRules say how current the configuration must be to serve callers by their keys.
type KeyRules struct {
	// MaxAge is the longest time since the configuration was surely the newest after which
	// requests with a key are still sent: a key may have been taken away since. 0 means
	// that there is no bound.
	MaxAge time.Duration
	// UnknownKeyMaxAge is up to when an unknown key is surely unknown. A host that is further
	// behind refuses it as one that may be known elsewhere.
	UnknownKeyMaxAge time.Duration
}

// confirm notes that the configuration in force was the newest at an instant.
func (h *Host) confirmConfig(asOf time.Time) {
	if asOf.IsZero() {
		return
	}
	confirmedAt := int64(asOf.Sub(h.startedAt))
	for {
		old := h.confirmedAt.Load()
		if old >= confirmedAt {
			return
		}
		if h.confirmedAt.CompareAndSwap(old, confirmedAt) {
			h.configConfirmed.notify()
			return
		}
	}
}

// broadcast wakes all who wait at once. Its zero value is ready for use.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

// wait returns a channel that is closed by the next tell.
func (b *broadcast) subscribe() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}

// neverConfirmed is confirmedAt before the first sound word of the platform.
const neverConfirmed = -1 << 62

// configurationAge is how long ago the configuration in force was surely the newest.
func (h *Host) confirmedAge() time.Duration {
	return h.now() - time.Duration(h.confirmedAt.Load())
}

// staleFor is for how long the configuration has been too old to serve by keys; 0 while it
// is not.
func (h *Host) staleFor() time.Duration {
	t := h.table.Load()
	if h.KeyRules.MaxAge == 0 || t == nil || !t.RequiresKey() {
		return 0
	}
	return max(0, h.confirmedAge()-h.KeyRules.MaxAge)
}

const (
	// outagePause is when a caller comes back in an outage of the platform: callers give up
	// after a few tries, and no host serves it sooner.
	outageRetryDelay = time.Second
	// confirmWait and confirmShare bound the wait for a sound word of the platform, in all
	// and as a part of the time that the caller has: an outage that is over soon then costs
	// that time, and not the program.
	maxConfirmWait     = 1200 * time.Millisecond
	confirmWaitDivisor = 3
)

// alone reports whether this host is cut off from the others, which may be better off.
func (h *Host) isIsolated() bool { return h.History.Isolated() > 0 }

// staleComeBack is when a caller that shows a key should try again after the configuration
// has been too old for a while: at another host as soon as the balancer sends it there, or,
// where others are no better off, when the platform may be back.
func (h *Host) staleRetryDelay(staleFor time.Duration) time.Duration {
	if h.isIsolated() {
		return max(retryLater, outOfRotationDelay-staleFor)
	}
	return outageRetryDelay
}

// awaitConfirmation waits for the platform while it does not answer the hosts that follow it
// for this one. A host that is cut off from these does not wait.
func (x *exchange) awaitConfirmation(ctx context.Context) {
	h := x.host
	if x.route.Public || h.staleFor() == 0 || h.isIsolated() {
		return
	}
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, min(maxConfirmWait, time.Until(x.deadline)/confirmWaitDivisor))
	defer cancel()
	for confirmation := h.configConfirmed.subscribe(); h.staleFor() > 0; confirmation = h.configConfirmed.subscribe() {
		select {
		case <-confirmation:
		case <-ctx.Done():
			return
		}
	}
	h.Meter.Count("waits", "configuration")
	h.Log.Info("request waited for the configuration", "request", x.call.ID, "program", x.call.Program, "waited_ms", time.Since(startedAt).Milliseconds())
}
