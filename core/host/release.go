package host

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// releaseKey names the cache of one program at one target.
type releaseKey struct {
	target  string
	program ident.Program
}

// releaseTask is an order to drop cache, repeated until the target confirms.
type releaseTask struct {
	tryAt    time.Duration
	attempts int
}

// pacing holds the next times of work that is not done on every tick.
type pacing struct{ expire, leave time.Duration }

const (
	releaseRetry    = time.Second
	releaseRetryMax = 30 * time.Second
)

// releaseCache frees the cache of an ended program at each target that may
// hold some. The duty is in the journal: a new owner takes it over, since the
// program stays there until every target has confirmed.
func (h *Host) releaseCache(p *program) {
	for _, x := range slices.Clone(p.holders) {
		h.release(x.target, p)
	}
}

func (h *Host) release(target string, p *program) {
	key := releaseKey{target, p.id}
	task := h.releases[key]
	if task == nil {
		task = &releaseTask{}
		h.releases[key] = task
	}
	t, declared := h.sched.Target(target)
	if !declared {
		h.released(p, target) // nobody can be told, and nothing is kept
		return
	}
	task.attempts++
	task.tryAt = h.now + min(releaseRetry<<min(task.attempts-1, 8), releaseRetryMax)
	h.ready.Releases = append(h.ready.Releases, Release{Target: t.Decl, Program: p.id, Slot: p.slot.slot, Epoch: p.slot.epoch})
}

func (h *Host) tickReleases() {
	if !h.mayServe() || h.set() == nil {
		return
	}
	var due []releaseKey
	for key, task := range h.releases {
		if h.now >= task.tryAt {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, func(a, b releaseKey) int {
		return cmp.Or(cmp.Compare(a.program, b.program), cmp.Compare(a.target, b.target))
	})
	for _, key := range due {
		if p := h.programs[key.program]; p != nil && p.slot.state == slotServing {
			h.release(key.target, p)
		}
	}
}

func (h *Host) releaseDone(ev *ReleaseDone) {
	if p := h.programs[ev.Program]; p != nil && ev.OK && p.ended && p.active == nil {
		h.released(p, ev.Target)
	}
}

func (h *Host) released(p *program, target string) {
	delete(h.releases, releaseKey{target, p.id})
	for i := range p.holders {
		if x := &p.holders[i]; x.target == target {
			h.setHeld(p, x, 0)
			p.unhold(target)
			h.append(p, &peerpb.Record{Body: &peerpb.Record_Released{Released: &peerpb.CacheReleased{Target: target}}})
			return
		}
	}
}

// targetReport takes a target's own account. Estimates of what it keeps are
// corrected by it. The sweep: what it keeps for a program of this member that has
// ended, or that nobody knows, is released.
func (h *Host) targetReport(ev *TargetReport) {
	t, ok := h.sched.Target(ev.Target)
	if !ok {
		return
	}
	t.Queued = ev.Queued
	if !h.mayServe() {
		return
	}
	if ev.CachedPrograms != nil {
		h.forgetEvicted(ev)
	}
	for _, id := range ev.CachedPrograms {
		slot, err := id.Slot()
		if err != nil {
			continue
		}
		own := h.slots.mine[slot]
		if own == nil || own.state != slotServing {
			continue
		}
		p := h.programs[id]
		if p != nil && (!p.ended || p.active != nil) {
			continue
		}
		h.stats.Swept++
		h.note(Note{Kind: NoteSwept, Program: id, Target: ev.Target})
		h.ready.Releases = append(h.ready.Releases, Release{Target: t.Decl, Program: id, Slot: slot, Epoch: own.epoch})
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
