package host

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// releaseKey identifies the cache of one program at one target.
type releaseKey struct {
	target  string
	program ident.Program
}

// releaseTask is an order to drop cache, repeated until the target confirms it.
type releaseTask struct {
	retryAt  time.Duration
	attempts int
}

// nextRunTimes holds the next times of work that is not done on every tick.
type nextRunTimes struct{ expireAt, leaveAt time.Duration }

const (
	releaseRetryDelay    = time.Second
	maxReleaseRetryDelay = 30 * time.Second
)

// releaseCache releases the cache of an ended program at each target that may
// keep some. A new owner continues the releases, because the program stays in
// the journal until every target has confirmed.
func (h *Host) releaseCache(p *program) {
	for _, cache := range slices.Clone(p.cacheTargets) {
		h.orderRelease(cache.target, p)
	}
}

// orderRelease sends a release to a target and sets the time of its next
// repetition, with backoff.
func (h *Host) orderRelease(target string, p *program) {
	key := releaseKey{target, p.id}
	task := h.releaseTasks[key]
	if task == nil {
		task = &releaseTask{}
		h.releaseTasks[key] = task
	}
	t, declared := h.sched.Target(target)
	if !declared {
		h.recordRelease(p, target) // an undeclared target gets no orders and keeps no cache
		return
	}
	task.attempts++
	task.retryAt = h.now + min(releaseRetryDelay<<min(task.attempts-1, 8), maxReleaseRetryDelay)
	h.ready.Releases = append(h.ready.Releases, Release{Target: t.Decl, Program: p.id, Slot: p.slot.slot, Epoch: p.slot.epoch})
}

func (h *Host) tickReleases() {
	if !h.mayServe() || h.declared() == nil {
		return
	}
	var due []releaseKey
	for key, task := range h.releaseTasks {
		if h.now >= task.retryAt {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, func(a, b releaseKey) int {
		return cmp.Or(cmp.Compare(a.program, b.program), cmp.Compare(a.target, b.target))
	})
	for _, key := range due {
		if p := h.programs[key.program]; p != nil && p.slot.state == slotServing {
			h.orderRelease(key.target, p)
		}
	}
}

// handleReleaseDone processes the result of a release.
func (h *Host) handleReleaseDone(ev *ReleaseDone) {
	if p := h.programs[ev.Program]; p != nil && ev.OK && p.ended && p.activeCall == nil {
		h.recordRelease(p, ev.Target)
	}
}

// recordRelease records that a target no longer keeps cache of the program.
func (h *Host) recordRelease(p *program, target string) {
	delete(h.releaseTasks, releaseKey{target, p.id})
	for i := range p.cacheTargets {
		if cache := &p.cacheTargets[i]; cache.target == target {
			h.setCachedTokens(p, cache, 0)
			p.removeCacheTarget(target)
			h.appendRecord(p, &peerpb.Record{Body: &peerpb.Record_Released{Released: &peerpb.CacheReleased{Target: target}}})
			return
		}
	}
}

// handleTargetReport processes a target's report. It corrects the estimates of
// cached programs, and orders the release of cache for programs in this member's
// slots that have ended or are unknown.
func (h *Host) handleTargetReport(ev *TargetReport) {
	t, ok := h.sched.Target(ev.Target)
	if !ok {
		return
	}
	t.Queued = ev.Queued
	if !h.mayServe() {
		return
	}
	if ev.CachedPrograms != nil {
		h.applyCacheReport(ev)
	}
	for _, id := range ev.CachedPrograms {
		slot, err := id.Slot()
		if err != nil {
			continue
		}
		own := h.slots.owned[slot]
		if own == nil || own.state != slotServing {
			continue
		}
		p := h.programs[id]
		if p != nil && (!p.ended || p.activeCall != nil) {
			continue
		}
		h.stats.Swept++
		h.addNote(Note{Kind: NoteSwept, Program: id, Target: ev.Target})
		h.ready.Releases = append(h.ready.Releases, Release{Target: t.Decl, Program: id, Slot: slot, Epoch: own.epoch})
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
