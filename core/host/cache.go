package host

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/sched"
)

// pausePrior is the expected tool pause of a program before it has made one.
const initialPause = 2 * time.Second

// pauseWeight is the share of a new pause in the moving average of a program.
const pauseWeight = 0.5

// notePause learns from the pause before a call.
func (p *program) recordPause(pause time.Duration) {
	if p.meanPause == 0 {
		p.meanPause = initialPause
	}
	p.meanPause += time.Duration(pauseWeight * float64(pause-p.meanPause))
}

// idleLeft predicts how long a paused program stays idle: what is left of its
// mean pause or, once that is over, as long again as it has lasted.
func (p *program) expectedIdle(now time.Duration) time.Duration {
	mean := p.meanPause
	if mean == 0 {
		mean = initialPause
	}
	idle := now - p.usedAt
	if idle < mean {
		return mean - idle
	}
	return idle
}

// makeRoom drops the cache of paused programs at a target until add more tokens
// fit into this host's share of its memory. Left to itself an engine evicts the
// least recently used, which under pressure are just those that come back next;
// here those go first that will be idle the longest.
func (h *Host) dropIdleCaches(t *sched.Target, addTokens int64) {
	overflowTokens := t.Overflow(addTokens)
	for overflowTokens > 0 {
		idlest := h.longestIdle(t.Decl.Name)
		if idlest == nil {
			return
		}
		overflowTokens -= h.dropCache(idlest, t)
	}
}

// longestIdle finds the paused program whose cache at the target will be of no
// use for the longest.
func (h *Host) longestIdle(target string) *program {
	var longest *program
	for p := range h.cachedPrograms[target] {
		if p.activeCall != nil || p.ended || p.cachedTokens(target) == 0 {
			continue
		}
		if longest == nil || p.expectedIdle(h.now) > longest.expectedIdle(h.now) ||
			p.expectedIdle(h.now) == longest.expectedIdle(h.now) && p.id < longest.id {
			longest = p
		}
	}
	return longest
}

func (p *program) cachedTokens(target string) int64 {
	for _, cache := range p.cacheTargets {
		if cache.target == target {
			return cache.tokens
		}
	}
	return 0
}

// dropCache orders the target to drop a program's cache and returns the tokens
// freed. The target stays a holder, so that the end of the program releases it
// once more.
func (h *Host) dropCache(p *program, t *sched.Target) int64 {
	for i := range p.cacheTargets {
		if cache := &p.cacheTargets[i]; cache.target == t.Decl.Name {
			freed := cache.tokens
			h.setCachedTokens(p, cache, 0)
			h.ready.Releases = append(h.ready.Releases, Release{Target: t.Decl, Program: p.id, Slot: p.slot.slot, Epoch: p.slot.epoch})
			return freed
		}
	}
	return 0
}

// setHeld changes the estimate of a program's cache at a target, and the index
// of who holds what.
func (h *Host) setCachedTokens(p *program, cache *cacheTarget, tokens int64) {
	h.sched.Hold(cache.target, tokens-cache.tokens)
	cache.tokens = tokens
	if tokens == 0 {
		delete(h.cachedPrograms[cache.target], p)
		return
	}
	if h.cachedPrograms[cache.target] == nil {
		h.cachedPrograms[cache.target] = map[*program]struct{}{}
	}
	h.cachedPrograms[cache.target][p] = struct{}{}
}

// reportLag is how old a target's list of what it keeps may be.
const maxReportAge = time.Second

// forgetEvicted takes off the estimate what a target does not keep any more. A
// program that was there within reportLag may be too new for the list.
func (h *Host) applyCacheReport(ev *TargetReport) {
	reported := make(map[ident.Program]bool, len(ev.CachedPrograms))
	for _, id := range ev.CachedPrograms {
		reported[id] = true
	}
	for p := range h.cachedPrograms[ev.Target] {
		if reported[p.id] || p.activeCall != nil || h.now-p.usedAt < maxReportAge {
			continue
		}
		for i := range p.cacheTargets {
			if cache := &p.cacheTargets[i]; cache.target == ev.Target {
				h.setCachedTokens(p, cache, 0)
			}
		}
	}
}
