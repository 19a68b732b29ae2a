package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/held"
)

const (
	// requestWait bounds the wait for room for what is read of a caller. A caller that is
	// refused by then comes back to a host that has room.
	maxRequestMemoryWait = 100 * time.Millisecond
	// answerWait bounds the wait for room for an answer: an engine cuts off an answer that
	// stays unread for some seconds.
	maxAnswerMemoryWait = time.Second
	// slowCheck is how often a request that waits for room looks for a slow caller.
	evictionInterval = 50 * time.Millisecond
	// chunkBytes is how much is read of a caller or target at once.
	readChunkBytes = 32 << 10
)

// holdings is the account of what a host holds. Safe for concurrent use.
type memoryAccount struct {
	host     *Host
	mu       sync.Mutex
	account  *held.Account
	requests map[*held.RequestAccount]*requestMemory
	freed    broadcast
}

func newMemoryAccount(h *Host) *memoryAccount {
	return &memoryAccount{host: h, account: held.New(h.MemoryBytes, h.Descriptors), requests: map[*held.RequestAccount]*requestMemory{}}
}

// holding is what one request holds.
type requestMemory struct {
	parent  *memoryAccount
	account *held.RequestAccount
	// call names the request in logs, once it is decoded.
	requestID string
	// end closes the caller's connection; nil where the host does not know it.
	closeConn func()
}

// enter admits a request, or reports that the host holds too much.
func (b *memoryAccount) admit(r *http.Request) (*requestMemory, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	account, ok := b.account.Admit()
	if !ok {
		b.evictSlowCallersLocked(held.Body, held.MinRequestBytes)
		return nil, false
	}
	request := &requestMemory{parent: b, account: account}
	if c := callerOf(r); c != nil {
		request.closeConn = func() { _ = c.Close() }
		c.serves(request)
	}
	b.requests[account] = request
	return request, true
}

// leave ends the request.
func (x *requestMemory) closeAccount(r *http.Request) {
	if c := callerOf(r); c != nil {
		c.serves(nil)
	}
	x.parent.mu.Lock()
	defer x.parent.mu.Unlock()
	x.account.Close()
	delete(x.parent.requests, x.account)
	x.parent.freed.notify()
}

// named gives the request its name in logs.
func (x *requestMemory) setRequestID(id string) {
	x.parent.mu.Lock()
	defer x.parent.mu.Unlock()
	x.requestID = id
}

// grow charges n more bytes; where there is no room it waits for some, up to wait, while
// the slowest callers end.
func (x *requestMemory) reserve(ctx context.Context, kind held.Kind, n int64, maxWait time.Duration) error {
	if n <= 0 || x.tryReserve(kind, n) {
		return nil
	}
	x.parent.host.Meter.Count("waits", "bytes")
	x.evictSlowCallers(kind, n)
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	tick := time.NewTicker(evictionInterval)
	defer tick.Stop()
	for {
		freed := x.parent.freed.subscribe()
		if x.tryReserve(kind, n) {
			return nil
		}
		select {
		case <-freed:
		case <-tick.C:
			x.evictSlowCallers(kind, n)
		case <-timeout.C:
			return x.overloadedError(kind, n)
		case <-ctx.Done():
			return x.overloadedError(kind, n)
		}
	}
}

// full is the refusal of a request for which there is no room.
func (x *requestMemory) overloadedError(kind held.Kind, n int64) error {
	parent := x.parent
	parent.mu.Lock()
	charged := parent.account.ChargedBytes()
	parent.mu.Unlock()
	parent.host.Meter.Count("bytes", "refused", kind.String())
	return failure.Retry(failure.Overloaded, retryLater, "the host holds %d bytes, no room for %d more of %s", charged, n, kind)
}

// try charges n more bytes, if there is room.
func (x *requestMemory) tryReserve(kind held.Kind, n int64) bool {
	x.parent.mu.Lock()
	defer x.parent.mu.Unlock()
	return x.account.Reserve(kind, n)
}

// makeRoom ends slow callers for n more bytes.
func (x *requestMemory) evictSlowCallers(kind held.Kind, n int64) {
	x.parent.mu.Lock()
	defer x.parent.mu.Unlock()
	x.parent.evictSlowCallersLocked(kind, n)
}

// release takes n bytes off.
func (x *requestMemory) release(kind held.Kind, n int64) {
	if n <= 0 {
		return
	}
	x.parent.mu.Lock()
	defer x.parent.mu.Unlock()
	x.account.Release(kind, n)
	x.parent.freed.notify()
}

// await notes that the request waits for its caller; arrived that it does so no more.
func (x *requestMemory) startCallerWait() {
	x.parent.mu.Lock()
	defer x.parent.mu.Unlock()
	x.account.StartCallerWait(x.parent.host.now())
}

func (x *requestMemory) stopCallerWait() {
	x.parent.mu.Lock()
	defer x.parent.mu.Unlock()
	x.account.StopCallerWait()
}

// endSlowest closes the connections of slow callers, so that there is room for n more bytes;
// the caller holds mu.
func (b *memoryAccount) evictSlowCallersLocked(kind held.Kind, n int64) {
	for _, eviction := range b.account.SelectEvictions(b.host.now(), kind, n) {
		request := b.requests[eviction.Request]
		b.host.Meter.Count("callers_ended", "no_room")
		b.host.Log.Warn("slow caller ended for want of room", "request", request.requestID, "held_bytes", eviction.Request.HeldBytes(),
			"slow_ms", eviction.StalledFor.Milliseconds(), "charged_bytes", b.account.ChargedBytes())
		if request.closeConn != nil {
			request.closeConn()
		}
	}
}

// stalled logs that a caller ended because it took nothing for too long.
func (x *requestMemory) recordStalledCaller(stalledFor time.Duration) {
	parent := x.parent
	parent.mu.Lock()
	defer parent.mu.Unlock()
	parent.host.Meter.Count("callers_ended", "unread")
	parent.host.Log.Warn("caller ended because it did not read", "request", x.requestID, "held_bytes", x.account.HeldBytes(), "slow_ms", stalledFor.Milliseconds())
}

// active is the number of requests held.
func (b *memoryAccount) activeRequests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account.ActiveRequests()
}

// limit is the most requests held at once.
func (b *memoryAccount) maxRequests() int { return b.account.MaxRequests() }

// state is a dump of the account.
func (b *memoryAccount) state() held.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account.State(b.host.now())
}

// gauges serves what is held, in all and by kind.
func (b *memoryAccount) registerGauges() {
	locked := func(read func() int64) func() int64 {
		return func() int64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return read()
		}
	}
	m := b.host.Meter
	m.Gauge("held_charged_bytes", locked(b.account.ChargedBytes))
	for _, kind := range held.Kinds() {
		m.Gauge("held_"+kind.String()+"_bytes", locked(func() int64 { return b.account.HeldBytes(kind) }))
	}
}
