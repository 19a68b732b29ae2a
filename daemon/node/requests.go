package node

import (
	"context"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/ident"
)

// callKey names a call whatever its attempt.
type callKey struct {
	program  ident.Program
	sequence uint32
}

// streamEvent is a piece of an answer, or the news that what came is void.
type streamEvent struct {
	text    string
	restart bool
}

// streamBuffer bounds the pieces that a slow client may leave waiting. A client
// that falls behind gets no more pieces, only the whole answer.
const streamBuffer = 256

// waiter is one request that waits for its outcome.
type waiter struct {
	done   chan host.Outcome // gets exactly one
	events chan streamEvent  // nil when the request is not streamed
	// Guarded by the node's mutex.
	key     callKey
	attempt uint32
	lagging bool
}

func newWaiter(stream bool) *waiter {
	w := &waiter{done: make(chan host.Outcome, 1)}
	if stream {
		w.events = make(chan streamEvent, streamBuffer)
	}
	return w
}

// submit gives the machine a request; make gets the waiter's number.
func (n *Node) submit(w *waiter, key callKey, make func(id uint64) host.Event) {
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
		n.streams[key] = append(n.streams[key], w)
	}
	n.stepLocked(make(n.nextID))
}

// reply hands a waiter its outcome. Called under the mutex.
func (n *Node) reply(r host.Reply) {
	w := n.waiters[r.Waiter]
	if w == nil {
		return
	}
	delete(n.waiters, r.Waiter)
	if w.events != nil {
		n.dropStream(w)
	}
	w.done <- r.Outcome
}

func (n *Node) dropStream(w *waiter) {
	rest := n.streams[w.key]
	for i, x := range rest {
		if x == w {
			rest = append(rest[:i], rest[i+1:]...)
			break
		}
	}
	if len(rest) == 0 {
		delete(n.streams, w.key)
		return
	}
	n.streams[w.key] = rest
}

// chunk passes a piece of an answer to those who follow the call.
func (n *Node) chunk(call host.CallID, text string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.streams[callKey{call.Program, call.Sequence}] {
		if call.Attempt < w.attempt || w.lagging {
			continue
		}
		if w.attempt != 0 && call.Attempt > w.attempt {
			w.push(streamEvent{restart: true})
		}
		w.attempt = call.Attempt
		w.push(streamEvent{text: text})
	}
}

func (w *waiter) push(ev streamEvent) {
	select {
	case w.events <- ev:
	default:
		w.lagging = true
	}
}

// requestCount counts the requests under way, for a graceful stop.
type requestCount struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n becomes 0; nil when nobody waits
}

func (c *requestCount) add(d int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += d
	if c.n == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

func (c *requestCount) wait(ctx context.Context) error {
	c.mu.Lock()
	if c.n == 0 {
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
		return failure.Wrap(ctx.Err(), failure.Draining, "requests are under way")
	}
}

func programIDs(names []string) []ident.Program {
	ids := make([]ident.Program, len(names))
	for i, name := range names {
		ids[i] = ident.Program(name)
	}
	return ids
}
