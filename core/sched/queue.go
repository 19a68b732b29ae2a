package sched

import (
	"container/heap"
	"time"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/ident"
)

// Item is one call that waits for a target.
type Item struct {
	Program   ident.Program
	Sequence  uint32
	Service   string
	Priority  int
	Objective decl.Objective
	// Attained is the service that the program has received so far, in tokens.
	Attained int64
	// Prompt and History are the numbers of new and of earlier tokens of the request;
	// Output is the maximum number of tokens that it generates.
	Prompt, History, Output int64
	// Arrived is when the call arrived.
	Arrived time.Duration
	// Begun is when the program's first call arrived.
	Begun time.Duration
	// NotBefore is the earliest time at which a retry is sent.
	NotBefore time.Duration
	// Holder is the target that has the program's cache, HolderTokens its size; empty if there
	// is none.
	Holder       string
	HolderTokens int64
	// LastTarget is the target that ran the program's last call.
	LastTarget string
	// AvoidTarget is the target at which the last attempt failed. It is chosen only if no
	// other target can take calls.
	AvoidTarget string

	key   float64
	seq   uint64
	index int
}

// Rank returns the rank that is sent to the target with the item; the target takes items of
// higher rank first. It is the negative queue key in milliseconds, so targets keep the order of
// the queue here.
func (it *Item) Rank() int64 { return -int64(it.key / float64(time.Millisecond)) }

// queue is a heap of items, ordered by key and then by the sequence of Enqueue.
type queue []*Item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].key != q[j].key {
		return q[i].key < q[j].key
	}
	return q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *queue) Push(x any) {
	it := x.(*Item)
	it.index = len(*q)
	*q = append(*q, it)
}
func (q *queue) Pop() any {
	old := *q
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	it.index = -1
	return it
}

func (q *queue) add(it *Item)    { heap.Push(q, it) }
func (q *queue) take() *Item     { return heap.Pop(q).(*Item) }
func (q *queue) remove(it *Item) { heap.Remove(q, it.index) }
