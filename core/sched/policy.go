package sched

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/failure"
)

// Policy orders the queue and chooses targets. A policy may keep its own state, but must
// not read a clock or draw random numbers.
type Policy interface {
	// Key returns the key by which the item is ordered in the queue, the smallest first.
	Key(it *Item) float64
	// Choose returns one of candidates, which is not empty, or nil if the item should
	// wait in the queue.
	Choose(it *Item, candidates []*Target) *Target
	// EvictsCache reports whether the host evicts the cache of paused programs when a
	// target's memory is full. Otherwise eviction is left to the target's LRU.
	EvictsCache() bool
}

// The names of the policies.
const (
	PolicyDefault     = "default"
	PolicyRoundRobin  = "round_robin"
	PolicyLeastLoaded = "least_loaded"
	PolicyStickyFCFS  = "sticky_fcfs"
)

// Policies returns the names of all policies, the product's first.
func Policies() []string {
	return []string{PolicyDefault, PolicyRoundRobin, PolicyLeastLoaded, PolicyStickyFCFS}
}

// NewPolicy returns a new policy with the given name; empty selects PolicyDefault. An unknown
// name is a failure of kind InvalidSetting.
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

// fcfs is the queue key of first come, first served.
func fcfs(it *Item) float64 { return float64(it.Arrived) }

// leastLoadedOf returns the candidate with the lowest load relative to its batch size.
func leastLoadedOf(candidates []*Target) *Target {
	best := candidates[0]
	for _, t := range candidates[1:] {
		// The cross products compare the ratios without a division.
		if t.Load()*best.Decl.Batch < best.Load()*t.Decl.Batch {
			best = t
		}
	}
	return best
}

// targetEviction implements EvictsCache for the baselines, which leave eviction to the
// targets.
type targetEviction struct{}

func (targetEviction) EvictsCache() bool { return false }

type roundRobin struct {
	targetEviction
	next int
}

func (*roundRobin) Key(it *Item) float64 { return fcfs(it) }
func (r *roundRobin) Choose(_ *Item, candidates []*Target) *Target {
	r.next++
	return candidates[r.next%len(candidates)]
}

type leastLoaded struct{ targetEviction }

func (leastLoaded) Key(it *Item) float64                         { return fcfs(it) }
func (leastLoaded) Choose(_ *Item, candidates []*Target) *Target { return leastLoadedOf(candidates) }

type stickyFCFS struct{ targetEviction }

func (stickyFCFS) Key(it *Item) float64 { return fcfs(it) }
func (stickyFCFS) Choose(it *Item, candidates []*Target) *Target {
	for _, t := range candidates {
		if t.Decl.Name == it.LastTarget {
			return t
		}
	}
	return leastLoadedOf(candidates)
}

// Parameters are the parameters of the default policy. docs/POLICY.md shows how the
// results change when each is halved or doubled.
type Parameters struct {
	// AttainedWeight is the time by which a program is moved back in the queue per
	// token of service that it has attained.
	AttainedWeight time.Duration
	// MaxAttained is the maximum number of attained tokens that count, and so bounds the
	// penalty.
	MaxAttained int64
	// PriorityStep is the time by which one step of priority moves a program forward.
	PriorityStep time.Duration
	// LatencyRecompute and CacheRecompute are the weights of the time to recompute an
	// uncached prefix, by objective of the service.
	LatencyRecompute, CacheRecompute float64
	// MaxQueuedBatches is the maximum number of batches of calls queued inside a target. They
	// keep its batch full although the host learns late that a call has finished. The target
	// takes them in the same order as the queue here; see Item.Rank.
	MaxQueuedBatches int
}

// DefaultParameters returns the parameters of the product's policy.
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

// Default is the product's policy. It takes a call of the program that began first, where
// each program is moved back by the service that it has attained, and chooses the target
// with the lowest sum of queue wait and weighted recompute time. See docs/POLICY.md.
type Default struct{ p Parameters }

// NewDefault returns the default policy with the given parameters.
func NewDefault(p Parameters) *Default { return &Default{p: p} }

// Key implements Policy. Programs that began earlier go first, so running programs are
// finished before new ones start: fewer programs are interleaved, which leaves more cache
// to each, and a program does not wait at each of its calls for all programs that arrived
// since. At equal priority, a call can be overtaken only by programs that began within
// the attained penalty after its own, so no call starves.
func (d *Default) Key(it *Item) float64 {
	attainedPenalty := time.Duration(min(it.Attained, d.p.MaxAttained)) * d.p.AttainedWeight
	priorityBonus := time.Duration(it.Priority-decl.DefaultPriority) * d.p.PriorityStep
	return float64(it.Begun + attainedPenalty - priorityBonus)
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

// cost returns the cost of placing it at t, in nanoseconds.
func (d *Default) cost(it *Item, t *Target) float64 {
	recomputeWeight := d.p.LatencyRecompute
	if it.Objective == decl.Cache {
		recomputeWeight = d.p.CacheRecompute
	}
	tokens := it.Prompt + it.History
	cached := int64(0)
	if t.Decl.Name == it.Holder {
		cached = min(it.HolderTokens, tokens)
	}
	prefill := float64(t.Decl.Prefill)
	cost := float64(t.Wait())
	cost += recomputeWeight * prefill * float64(tokens-cached)
	// Ties go to the target with the lower load.
	return cost + float64(t.Load())/float64(t.Decl.Batch)*float64(time.Microsecond)
}
