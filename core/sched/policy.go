package sched

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Policy orders the queue and chooses targets. A policy may keep state of its
// own, but reads no clock and draws no random numbers.
type Policy interface {
	// Key orders the queue: the smallest goes first.
	Key(it *Item) float64
	// Choose picks a target from candidates, which is not empty. It returns
	// nil when the item should rather wait in the queue.
	Choose(it *Item, candidates []*Target) *Target
	// EvictsCache says whether the cache of paused programs is dropped on
	// purpose when a target's memory is full, or left to the target's LRU.
	EvictsCache() bool
}

// The names of the policies.
const (
	PolicyDefault     = "default"
	PolicyRoundRobin  = "round_robin"
	PolicyLeastLoaded = "least_loaded"
	PolicyStickyFCFS  = "sticky_fcfs"
)

// Policies lists all policies, the product's first.
func Policies() []string {
	return []string{PolicyDefault, PolicyRoundRobin, PolicyLeastLoaded, PolicyStickyFCFS}
}

// NewPolicy returns a new policy of that name.
func NewPolicy(name string) (Policy, error) {
	switch name {
	case PolicyDefault, "":
		return NewDefault(DefaultParameters()), nil
	case PolicyRoundRobin:
		return &roundRobin{}, nil
	case PolicyLeastLoaded:
		return leastLoaded{}, nil
	case PolicyStickyFCFS:
		return stickyFCFS{}, nil
	}
	return nil, failure.New(failure.InvalidSetting, "unknown policy %q", name)
}

func fcfs(it *Item) float64 { return float64(it.Arrived) }

func least(candidates []*Target) *Target {
	best := candidates[0]
	for _, t := range candidates[1:] {
		// Compare load relative to batch size without dividing.
		if t.Load()*best.Decl.Batch < best.Load()*t.Decl.Batch {
			best = t
		}
	}
	return best
}

// leavesMemory is the part of the baselines that leaves memory to the targets.
type leavesMemory struct{}

func (leavesMemory) EvictsCache() bool { return false }

type roundRobin struct {
	leavesMemory
	next int
}

func (*roundRobin) Key(it *Item) float64 { return fcfs(it) }
func (r *roundRobin) Choose(_ *Item, candidates []*Target) *Target {
	r.next++
	return candidates[r.next%len(candidates)]
}

type leastLoaded struct{ leavesMemory }

func (leastLoaded) Key(it *Item) float64                         { return fcfs(it) }
func (leastLoaded) Choose(_ *Item, candidates []*Target) *Target { return least(candidates) }

type stickyFCFS struct{ leavesMemory }

func (stickyFCFS) Key(it *Item) float64 { return fcfs(it) }
func (stickyFCFS) Choose(it *Item, candidates []*Target) *Target {
	for _, t := range candidates {
		if t.Decl.Name == it.LastTarget {
			return t
		}
	}
	return least(candidates)
}

// Parameters of the default policy. docs/POLICY.md says how the results move
// when each is halved and doubled.
type Parameters struct {
	// AttainedWeight is how long a program is put back in the queue per token
	// of service it has had.
	AttainedWeight time.Duration
	// MaxAttained bounds the tokens counted, and with it the put-back.
	MaxAttained int64
	// PriorityStep is the head start of one step of priority.
	PriorityStep time.Duration
	// RecomputeWeight multiplies the time to recompute a prefix, by objective.
	LatencyRecompute, CacheRecompute float64
	// MaxQueuedBatches is how many batches of calls may wait inside a target. They keep its
	// places filled although word of a free place comes late; the target takes
	// them by the same order as the queue here does.
	MaxQueuedBatches int
}

// DefaultParameters returns the measured defaults.
func DefaultParameters() Parameters {
	return Parameters{
		AttainedWeight:   300 * time.Microsecond,
		MaxAttained:      100_000,
		PriorityStep:     2 * time.Second,
		LatencyRecompute: 16,
		CacheRecompute:   64,
		MaxQueuedBatches: 4,
	}
}

// Default is the product's policy: the oldest program first, put back by the
// service it has had, and the target with the least sum of queue wait and
// recompute time. See docs/POLICY.md.
type Default struct{ p Parameters }

// NewDefault returns the default policy with the given parameters.
func NewDefault(p Parameters) *Default { return &Default{p: p} }

// Key implements Policy. Programs that began earlier go first, so that those
// under way are finished before more are begun: fewer are interleaved, which
// leaves each more of the cache, and no program waits at each of its calls for
// all that came since. A call is passed only by programs that began within the
// put-back after its own, so none starves.
func (d *Default) Key(it *Item) float64 {
	putBack := time.Duration(min(it.Attained, d.p.MaxAttained)) * d.p.AttainedWeight
	headStart := time.Duration(it.Priority-decl.DefaultPriority) * d.p.PriorityStep
	return float64(it.Begun + putBack - headStart)
}

// Choose implements Policy.
func (d *Default) Choose(it *Item, candidates []*Target) *Target {
	var best *Target
	var bestCost float64
	for _, t := range candidates {
		if t.Load() >= t.Decl.Batch*(1+d.p.MaxQueuedBatches) {
			continue
		}
		cost := d.cost(it, t)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// EvictsCache implements Policy.
func (d *Default) EvictsCache() bool { return true }

func (d *Default) cost(it *Item, t *Target) float64 {
	recompute := d.p.LatencyRecompute
	if it.Objective == decl.Cache {
		recompute = d.p.CacheRecompute
	}
	tokens := it.Prompt + it.History
	cached := int64(0)
	if t.Decl.Name == it.Holder {
		cached = min(it.HolderTokens, tokens)
	}
	prefill := float64(t.Decl.Prefill)
	cost := float64(t.Wait())
	cost += recompute * prefill * float64(tokens-cached)
	// A tie goes to the emptier target.
	return cost + float64(t.Load())/float64(t.Decl.Batch)*float64(time.Microsecond)
}
