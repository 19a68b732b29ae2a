package node

import (
	"context"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/ident"
)

// callKey identifies a call, independent of its attempts.
type callKey struct {
	program  ident.Program
	sequence uint32
}

// streamEvent is a chunk of a streamed answer or, with discardEarlier, tells the
// receiver to discard the chunks received so far.
type streamEvent struct {
	text           string
	discardEarlier bool
}

// maxBufferedEvents bounds the events buffered for a slow client. When the buffer is
// full, the client gets no more chunks, only the complete answer.
const maxBufferedEvents = 256

// waiter is a request that waits for its outcome.
type waiter struct {
	done   chan host.Outcome // receives exactly one outcome
	events chan streamEvent  // nil if the request is not streamed
	// Guarded by Node.mu.
	key     callKey
	attempt uint32
	lagging bool
}

func newWaiter(stream bool) *waiter {
	w := &waiter{done: make(chan host.Outcome, 1)}
	if stream {
		w.events = make(chan streamEvent, maxBufferedEvents)
	}
	return w
}

// submit registers a waiter and passes its request to the state machine. newEvent
// makes the event of the request from the waiter's ID.
func (n *Node) submit(w *waiter, key callKey, newEvent func(id uint64) host.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		w.done <- host.Outcome{Failure: failure.Retry(failure.Draining, time.Second, "the host has stopped")}
		return
	}
	n.nextID++
	n.waiters[n.nextID] = w
	if w.events != nil {
		w.key = key
		n.streamWaiters[key] = append(n.streamWaiters[key], w)
	}
	n.stepLocked(newEvent(n.nextID))
}

// deliverOutcome passes an outcome to its waiter. The caller holds n.mu.
func (n *Node) deliverOutcome(r host.Reply) {
	w := n.waiters[r.Waiter]
	if w == nil {
		return
	}
	delete(n.waiters, r.Waiter)
	if w.events != nil {
		n.removeStreamWaiter(w)
	}
	w.done <- r.Outcome
}

func (n *Node) removeStreamWaiter(w *waiter) {
	waiters := n.streamWaiters[w.key]
	for i, x := range waiters {
		if x == w {
			waiters = append(waiters[:i], waiters[i+1:]...)
			break
		}
	}
	if len(waiters) == 0 {
		delete(n.streamWaiters, w.key)
		return
	}
	n.streamWaiters[w.key] = waiters
}

// deliverChunk passes a chunk of an answer to the waiters that stream the call. Chunks
// of an attempt older than the waiter's newest one are ignored; the first chunk of a
// newer attempt discards the earlier ones.
func (n *Node) deliverChunk(call host.CallID, text string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.streamWaiters[callKey{call.Program, call.Sequence}] {
		if call.Attempt < w.attempt || w.lagging {
			continue
		}
		if w.attempt != 0 && call.Attempt > w.attempt {
			w.enqueue(streamEvent{discardEarlier: true})
		}
		w.attempt = call.Attempt
		w.enqueue(streamEvent{text: text})
	}
}

func (w *waiter) enqueue(ev streamEvent) {
	select {
	case w.events <- ev:
	default:
		w.lagging = true
	}
}

// requestCounter counts requests in flight, for a graceful stop.
type requestCounter struct {
	mu       sync.Mutex
	inFlight int
	idle     chan struct{} // closed when inFlight becomes 0; nil without a wait in progress
}

func (c *requestCounter) add(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight += delta
	if c.inFlight == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

func (c *requestCounter) awaitIdle(ctx context.Context) error {
	c.mu.Lock()
	if c.inFlight == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.Draining, "requests still in flight")
	}
}

func programIDs(names []string) []ident.Program {
	ids := make([]ident.Program, len(names))
	for i, name := range names {
		ids[i] = ident.Program(name)
	}
	return ids
}
