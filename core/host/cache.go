package host

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/sched"
)

// initialPause is the expected tool pause of a program before its first one.
const initialPause = 2 * time.Second

// pauseWeight is the weight of a new pause in the moving average of a program.
const pauseWeight = 0.5

// recordPause adds the pause before a call to the moving average.
func (p *program) recordPause(pause time.Duration) {
	if p.meanPause == 0 {
		p.meanPause = initialPause
	}
	p.meanPause += time.Duration(pauseWeight * float64(pause-p.meanPause))
}

// expectedIdle predicts how much longer a paused program stays idle: the rest of
// its mean pause or, after that, as long as it has been idle so far.
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

// dropIdleCaches drops the cache of paused programs at a target until addTokens
// more tokens fit into this host's share of the target's memory. It drops those
// first that are expected to stay idle longest. By itself an engine evicts the
// least recently used, which under pressure are the ones that are needed next.
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

// longestIdle returns the paused program with cache at the target that is
// expected to stay idle longest, nil if there is none.
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

// cachedTokens returns the estimated tokens of the program in the target's
// cache.
func (p *program) cachedTokens(target string) int64 {
	for _, cache := range p.cacheTargets {
		if cache.target == target {
			return cache.tokens
		}
	}
	return 0
}

// dropCache orders the target to drop a program's cache and returns the
// estimated tokens freed. The target stays among the program's cache targets, so
// that the end of the program releases its cache once more.
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

// setCachedTokens updates the estimate of a program's cache at a target, and the
// index of programs by target.
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

// maxReportAge is how old a target's list of cached programs may be.
const maxReportAge = time.Second

// applyCacheReport clears the estimates of programs that a target does not
// report any more. A program used within maxReportAge may be too new for the
// report.
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
