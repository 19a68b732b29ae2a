package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/quota"
	"github.com/pistachioarch/pistachioarch/core/routing"
)

// KeyRules say how current the configuration must be to serve callers by their keys.
type KeyRules struct {
	// MaxAge is the longest time since the configuration was surely the newest after which
	// requests with a key are still sent: a key may have been taken away since. 0 means
	// that there is no bound.
	MaxAge time.Duration
	// SureAge is up to when an unknown key is surely unknown. A host that is further
	// behind refuses it as one that may be known elsewhere.
	SureAge time.Duration
}

// confirm notes that the configuration in force was the newest at an instant.
func (h *Host) confirm(asOf time.Time) {
	if asOf.IsZero() {
		return
	}
	at := int64(asOf.Sub(h.start))
	for {
		old := h.confirmedAt.Load()
		if old >= at {
			return
		}
		if h.confirmedAt.CompareAndSwap(old, at) {
			h.confirmed.tell()
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
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

func (b *broadcast) tell() {
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
func (h *Host) configurationAge() time.Duration {
	return h.now() - time.Duration(h.confirmedAt.Load())
}

// staleFor is for how long the configuration has been too old to serve by keys; 0 while it
// is not.
func (h *Host) staleFor() time.Duration {
	t := h.table.Load()
	if h.Keys.MaxAge == 0 || t == nil || !t.Keyed() {
		return 0
	}
	return max(0, h.configurationAge()-h.Keys.MaxAge)
}

const (
	// outagePause is when a caller comes back in an outage of the platform: callers give up
	// after a few tries, and no host serves it sooner.
	outagePause = time.Second
	// confirmWait and confirmShare bound the wait for a sound word of the platform, in all
	// and as a part of the time that the caller has: an outage that is over soon then costs
	// that time, and not the program.
	confirmWait  = 1200 * time.Millisecond
	confirmShare = 3
)

// alone reports whether this host is cut off from the others, which may be better off.
func (h *Host) alone() bool { return h.History.Isolated() > 0 }

// staleComeBack is when a caller that shows a key should try again after the configuration
// has been too old for a while: at another host as soon as the balancer sends it there, or,
// where others are no better off, when the platform may be back.
func (h *Host) staleComeBack(stale time.Duration) time.Duration {
	if h.alone() {
		return max(retryLater, rotationTime-stale)
	}
	return outagePause
}

// awaitConfirmation waits for the platform while it does not answer the hosts that follow it
// for this one. A host that is cut off from these does not wait.
func (x *exchange) awaitConfirmation(ctx context.Context) {
	h := x.host
	if x.route.Public || h.staleFor() == 0 || h.alone() {
		return
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, min(confirmWait, time.Until(x.deadline)/confirmShare))
	defer cancel()
	for confirmed := h.confirmed.wait(); h.staleFor() > 0; confirmed = h.confirmed.wait() {
		select {
		case <-confirmed:
		case <-ctx.Done():
			return
		}
	}
	h.Meter.Count("waits", "configuration")
	h.Log.Info("request waited for the configuration", "request", x.call.ID, "program", x.call.Program, "waited_ms", time.Since(began).Milliseconds())
}

// authorise finds the customer that the caller's key belongs to, in the newest
// configuration. It is called before each send, so that a key that was taken away is used
// by no repeat either.
func (x *exchange) authorise() error {
	t := x.host.table.Load()
	if !t.Keyed() || x.route.Public {
		return nil
	}
	if stale := x.host.staleFor(); stale > 0 {
		return failure.Retry(failure.StaleConfiguration, x.host.staleComeBack(stale), "the configuration was confirmed %d ms ago", x.host.configurationAge().Milliseconds())
	}
	customer, known := t.Customers().Holder(routing.DigestKey(x.call.Key))
	if known && (x.customer == nil || x.customer.Name == customer.Name) {
		x.customer, x.customerVersion = customer, t.Version
		return nil
	}
	if age := x.host.configurationAge(); x.host.Keys.SureAge > 0 && age > x.host.Keys.SureAge {
		return failure.Retry(failure.StaleConfiguration, retryLater, "unknown key, the configuration was confirmed %d ms ago", age.Milliseconds())
	}
	return failure.New(failure.Unauthorized, "unknown key in version %d", t.Version)
}

// customerName is the caller's customer, empty where there is none.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// priority ranks the request: the customer's goes before the route's.
func (x *exchange) priority() int {
	if x.customer != nil && x.customer.HasPriority {
		return x.customer.Priority
	}
	return x.route.Priority
}

// owned is the name under which something of the caller's is kept: no caller reaches what
// is kept for another customer. Callers cannot send the separator in a header.
func (x *exchange) owned(name string) string {
	if name == "" || x.customer == nil {
		return name
	}
	return x.customer.Name + "\x00" + name
}

const (
	// tokenWait and tokenShare bound the wait for a token that is about to come, in all and
	// as a part of the time that the caller has. Waiting lets 1,059 of 1,142 programs end that
	// a customer's quota carries, where twice as many are begun; 966 end where callers are
	// refused at once and come back (played, programs of 14 requests).
	tokenWait  = 300 * time.Millisecond
	tokenShare = 3
	// firstTokenWait is the same for the first request of a program, which has lost nothing
	// yet by coming back.
	firstTokenWait = 40 * time.Millisecond
)

// tokenPatience is how long the request may wait for a token.
func (x *exchange) tokenPatience() time.Duration {
	if x.begins() {
		return firstTokenWait
	}
	return min(tokenWait, time.Until(x.deadline)/tokenShare)
}

// withinQuota takes a token of the customer's quota, which counts over all hosts.
func (x *exchange) withinQuota(ctx context.Context) error {
	if x.customer == nil || !x.customer.Quota.Limited() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, historyPatience)
	defer cancel()
	grant, err := x.takeToken(ctx)
	for left := x.tokenPatience(); err == nil && !grant.Granted && grant.In <= left && sleep(ctx, grant.In); {
		left -= grant.In
		grant, err = x.takeToken(ctx)
	}
	switch {
	case err != nil:
		return failure.Retry(failure.HistoryUnavailable, x.comeBack(), "quota of %s: %v", x.customer.Name, err)
	case !grant.Granted:
		x.host.Meter.Count("turned_away", "quota")
		return failure.Retry(failure.QuotaExceeded, grant.In, "customer %s, %g requests a second and %g at once, version %d, first of its program: %t",
			x.customer.Name, x.customer.Quota.Rate, x.customer.Quota.Burst, x.customerVersion, x.begins())
	}
	return nil
}

func (x *exchange) takeToken(ctx context.Context) (quota.Grant, error) {
	q := x.customer.Quota
	return x.host.History.Take(ctx, quota.Ask{
		Customer: x.customer.Name, Limit: quota.Limit{Rate: q.Rate, Burst: q.Burst}.Widen(x.host.Quotas), Version: x.customerVersion,
		First: x.begins(),
	})
}

// begins reports whether the request is the first of its program.
func (x *exchange) begins() bool { return x.isTurn() && !x.underWay }
