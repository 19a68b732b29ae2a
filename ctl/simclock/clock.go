// Package simclock implements an event queue on virtual time, for deterministic simulations.
package simclock

import (
	"container/heap"
	"time"
)

// Clock runs events in order of time; events at the same time run in the order in which they were
// added. The zero value is ready to use. It is not safe for concurrent use.
type Clock struct {
	now    time.Duration
	events eventHeap
	added  uint64 // number of events added so far
}

type event struct {
	at    time.Duration
	order uint64 // among events at the same time
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// Now returns the time of the current event, counted from the start of the simulation.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules f to run once d has passed. A negative d counts as zero.
func (c *Clock) After(d time.Duration, f func()) {
	c.added++
	heap.Push(&c.events, event{at: c.now + max(0, d), order: c.added, run: f})
}

// RunNext runs the next event. It returns false if there is none.
func (c *Clock) RunNext() bool {
	if len(c.events) == 0 {
		return false
	}
	e := heap.Pop(&c.events).(event)
	c.now = e.at
	e.run()
	return true
}

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
