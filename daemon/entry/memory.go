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
	// maxRequestMemoryWait bounds the wait for memory for what is read from a caller. A caller
	// refused after that retries at a host that has memory.
	maxRequestMemoryWait = 100 * time.Millisecond
	// maxAnswerMemoryWait bounds the wait for memory for an answer. Engines abort an answer
	// that is not read for some seconds.
	maxAnswerMemoryWait = time.Second
	// evictionInterval is how often a request that waits for memory evicts slow callers.
	evictionInterval = 50 * time.Millisecond
	// readChunkBytes is how much is read from a caller or target at once.
	readChunkBytes = 32 << 10
)

// memoryAccount accounts for the memory and descriptors that the requests of a host hold. It is
// safe for concurrent use.
type memoryAccount struct {
	host     *Host
	mu       sync.Mutex
	account  *held.Account
	requests map[*held.RequestAccount]*requestMemory
	// freed wakes requests that wait for memory.
	freed broadcast
}

func newMemoryAccount(h *Host) *memoryAccount {
	return &memoryAccount{host: h, account: held.New(h.MemoryBytes, h.Descriptors), requests: map[*held.RequestAccount]*requestMemory{}}
}

// requestMemory is what one request holds.
type requestMemory struct {
	parent  *memoryAccount
	account *held.RequestAccount
	// requestID names the request in logs; empty until the request is decoded.
	requestID string
	// closeConn closes the caller's connection; nil if the host did not accept it itself.
	closeConn func()
}

// admit opens the account of a request. It reports false if the host has no memory or
// descriptors for one more.
func (a *memoryAccount) admit(r *http.Request) (*requestMemory, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	account, ok := a.account.Admit()
	if !ok {
		a.evictSlowCallersLocked(held.Body, held.MinRequestBytes)
		return nil, false
	}
	request := &requestMemory{parent: a, account: account}
	if c := callerConnOf(r); c != nil {
		request.closeConn = func() { _ = c.Close() }
		c.setRequest(request)
	}
	a.requests[account] = request
	return request, true
}

// closeAccount closes the account of the request and frees what it holds.
func (m *requestMemory) closeAccount(r *http.Request) {
	if c := callerConnOf(r); c != nil {
		c.setRequest(nil)
	}
	m.parent.mu.Lock()
	defer m.parent.mu.Unlock()
	m.account.Close()
	delete(m.parent.requests, m.account)
	m.parent.freed.notify()
}

// setRequestID sets the ID of the request for logs.
func (m *requestMemory) setRequestID(id string) {
	m.parent.mu.Lock()
	defer m.parent.mu.Unlock()
	m.requestID = id
}

// reserve charges n more bytes. If there is not enough memory it evicts slow callers and waits
// up to maxWait. Its error is a failure of kind Overloaded.
func (m *requestMemory) reserve(ctx context.Context, kind held.Kind, n int64, maxWait time.Duration) error {
	if n <= 0 || m.tryReserve(kind, n) {
		return nil
	}
	m.parent.host.Meter.Count("waits", "bytes")
	m.evictSlowCallers(kind, n)
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	tick := time.NewTicker(evictionInterval)
	defer tick.Stop()
	for {
		freed := m.parent.freed.subscribe()
		if m.tryReserve(kind, n) {
			return nil
		}
		select {
		case <-freed:
		case <-tick.C:
			m.evictSlowCallers(kind, n)
		case <-timeout.C:
			return m.overloadedError(kind, n)
		case <-ctx.Done():
			return m.overloadedError(kind, n)
		}
	}
}

// overloadedError returns the failure of a request for which there is no memory.
func (m *requestMemory) overloadedError(kind held.Kind, n int64) error {
	parent := m.parent
	parent.mu.Lock()
	charged := parent.account.ChargedBytes()
	parent.mu.Unlock()
	parent.host.Meter.Count("bytes", "refused", kind.String())
	return failure.Retry(failure.Overloaded, defaultRetryDelay, "host holds %d bytes, no memory for %d more of %s", charged, n, kind)
}

// tryReserve charges n more bytes if there is memory for them, and reports whether there was.
func (m *requestMemory) tryReserve(kind held.Kind, n int64) bool {
	m.parent.mu.Lock()
	defer m.parent.mu.Unlock()
	return m.account.Reserve(kind, n)
}

// evictSlowCallers closes the connections of slow callers to free n bytes.
func (m *requestMemory) evictSlowCallers(kind held.Kind, n int64) {
	m.parent.mu.Lock()
	defer m.parent.mu.Unlock()
	m.parent.evictSlowCallersLocked(kind, n)
}

// release returns n bytes.
func (m *requestMemory) release(kind held.Kind, n int64) {
	if n <= 0 {
		return
	}
	m.parent.mu.Lock()
	defer m.parent.mu.Unlock()
	m.account.Release(kind, n)
	m.parent.freed.notify()
}

// startCallerWait records that the request waits for its caller to read or send.
func (m *requestMemory) startCallerWait() {
	m.parent.mu.Lock()
	defer m.parent.mu.Unlock()
	m.account.StartCallerWait(m.parent.host.now())
}

// stopCallerWait records that the request no longer waits for its caller.
func (m *requestMemory) stopCallerWait() {
	m.parent.mu.Lock()
	defer m.parent.mu.Unlock()
	m.account.StopCallerWait()
}

// evictSlowCallersLocked closes the connections of slow callers to free n bytes. The caller
// holds mu.
func (a *memoryAccount) evictSlowCallersLocked(kind held.Kind, n int64) {
	for _, eviction := range a.account.SelectEvictions(a.host.now(), kind, n) {
		request := a.requests[eviction.Request]
		a.host.Meter.Count("callers_ended", "no_room")
		a.host.Log.Warn("slow caller ended for want of room", "request", request.requestID, "held_bytes", eviction.Request.HeldBytes(),
			"slow_ms", eviction.StalledFor.Milliseconds(), "charged_bytes", a.account.ChargedBytes())
		if request.closeConn != nil {
			request.closeConn()
		}
	}
}

// recordStalledCaller logs and counts a caller whose connection ends because it read nothing
// for stalledFor.
func (m *requestMemory) recordStalledCaller(stalledFor time.Duration) {
	parent := m.parent
	parent.mu.Lock()
	defer parent.mu.Unlock()
	parent.host.Meter.Count("callers_ended", "unread")
	parent.host.Log.Warn("caller ended because it did not read", "request", m.requestID, "held_bytes", m.account.HeldBytes(), "slow_ms", stalledFor.Milliseconds())
}

// activeRequests returns the number of requests in progress.
func (a *memoryAccount) activeRequests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.ActiveRequests()
}

// maxRequests returns the bound on requests in progress.
func (a *memoryAccount) maxRequests() int { return a.account.MaxRequests() }

// state returns a dump of the account.
func (a *memoryAccount) state() held.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.State(a.host.now())
}

// registerGauges registers gauges of the bytes held, in total and by kind.
func (a *memoryAccount) registerGauges() {
	locked := func(read func() int64) func() int64 {
		return func() int64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return read()
		}
	}
	m := a.host.Meter
	m.Gauge("held_charged_bytes", locked(a.account.ChargedBytes))
	for _, kind := range held.Kinds() {
		m.Gauge("held_"+kind.String()+"_bytes", locked(func() int64 { return a.account.HeldBytes(kind) }))
	}
}
