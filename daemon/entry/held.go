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
	requestWait = 100 * time.Millisecond
	// answerWait bounds the wait for room for an answer: an engine cuts off an answer that
	// stays unread for some seconds.
	answerWait = time.Second
	// slowCheck is how often a request that waits for room looks for a slow caller.
	slowCheck = 50 * time.Millisecond
	// chunkBytes is how much is read of a caller or target at once.
	chunkBytes = 32 << 10
)

// holdings is the account of what a host holds. Safe for concurrent use.
type holdings struct {
	host  *Host
	mu    sync.Mutex
	book  *held.Account
	by    map[*held.RequestAccount]*holding
	freed broadcast
}

func newHoldings(h *Host) *holdings {
	return &holdings{host: h, book: held.New(h.MemoryBytes, h.Descriptors), by: map[*held.RequestAccount]*holding{}}
}

// holding is what one request holds.
type holding struct {
	of     *holdings
	holder *held.RequestAccount
	// call names the request in logs, once it is decoded.
	call string
	// end closes the caller's connection; nil where the host does not know it.
	end func()
}

// enter admits a request, or reports that the host holds too much.
func (b *holdings) enter(r *http.Request) (*holding, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	holder, ok := b.book.Admit()
	if !ok {
		b.endSlowest(held.Body, held.MinRequestBytes)
		return nil, false
	}
	x := &holding{of: b, holder: holder}
	if c := callerConnOf(r); c != nil {
		x.end = func() { _ = c.Close() }
		c.setRequest(x)
	}
	b.by[holder] = x
	return x, true
}

// leave ends the request.
func (x *holding) leave(r *http.Request) {
	if c := callerConnOf(r); c != nil {
		c.setRequest(nil)
	}
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	x.holder.Close()
	delete(x.of.by, x.holder)
	x.of.freed.tell()
}

// named gives the request its name in logs.
func (x *holding) named(id string) {
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	x.call = id
}

// grow charges n more bytes; where there is no room it waits for some, up to wait, while
// the slowest callers end.
func (x *holding) grow(ctx context.Context, k held.Kind, n int64, wait time.Duration) error {
	if n <= 0 || x.try(k, n) {
		return nil
	}
	x.of.host.Meter.Count("waits", "bytes")
	x.makeRoom(k, n)
	limit := time.NewTimer(wait)
	defer limit.Stop()
	tick := time.NewTicker(slowCheck)
	defer tick.Stop()
	for {
		freed := x.of.freed.wait()
		if x.try(k, n) {
			return nil
		}
		select {
		case <-freed:
		case <-tick.C:
			x.makeRoom(k, n)
		case <-limit.C:
			return x.full(k, n)
		case <-ctx.Done():
			return x.full(k, n)
		}
	}
}

// full is the refusal of a request for which there is no room.
func (x *holding) full(k held.Kind, n int64) error {
	b := x.of
	b.mu.Lock()
	charged := b.book.ChargedBytes()
	b.mu.Unlock()
	b.host.Meter.Count("bytes", "refused", k.String())
	return failure.Retry(failure.Overloaded, defaultRetryDelay, "the host holds %d bytes, no room for %d more of %s", charged, n, k)
}

// try charges n more bytes, if there is room.
func (x *holding) try(k held.Kind, n int64) bool {
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	return x.holder.Reserve(k, n)
}

// makeRoom ends slow callers for n more bytes.
func (x *holding) makeRoom(k held.Kind, n int64) {
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	x.of.endSlowest(k, n)
}

// release takes n bytes off.
func (x *holding) release(k held.Kind, n int64) {
	if n <= 0 {
		return
	}
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	x.holder.Release(k, n)
	x.of.freed.tell()
}

// await notes that the request waits for its caller; arrived that it does so no more.
func (x *holding) await() {
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	x.holder.StartCallerWait(x.of.host.now())
}

func (x *holding) arrived() {
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	x.holder.StopCallerWait()
}

// endSlowest closes the connections of slow callers, so that there is room for n more bytes;
// the caller holds mu.
func (b *holdings) endSlowest(k held.Kind, n int64) {
	for _, slow := range b.book.SelectEvictions(b.host.now(), k, n) {
		x := b.by[slow.Request]
		b.host.Meter.Count("callers_ended", "no_room")
		b.host.Log.Warn("slow caller ended for want of room", "request", x.call, "held_bytes", slow.Request.HeldBytes(),
			"slow_ms", slow.StalledFor.Milliseconds(), "charged_bytes", b.book.ChargedBytes())
		if x.end != nil {
			x.end()
		}
	}
}

// stalled logs that a caller ended because it took nothing for too long.
func (x *holding) stalled(after time.Duration) {
	b := x.of
	b.mu.Lock()
	defer b.mu.Unlock()
	b.host.Meter.Count("callers_ended", "unread")
	b.host.Log.Warn("caller ended because it did not read", "request", x.call, "held_bytes", x.holder.HeldBytes(), "slow_ms", after.Milliseconds())
}

// active is the number of requests held.
func (b *holdings) active() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.book.ActiveRequests()
}

// limit is the most requests held at once.
func (b *holdings) limit() int { return b.book.MaxRequests() }

// state is a dump of the account.
func (b *holdings) state() held.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.book.State(b.host.now())
}

// gauges serves what is held, in all and by kind.
func (b *holdings) gauges() {
	read := func(f func() int64) func() int64 {
		return func() int64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return f()
		}
	}
	m := b.host.Meter
	m.Gauge("held_charged_bytes", read(b.book.ChargedBytes))
	for _, k := range held.Kinds() {
		m.Gauge("held_"+k.String()+"_bytes", read(func() int64 { return b.book.HeldBytes(k) }))
	}
}
