package host

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/sched"
)

// pausePrior is the expected tool pause of a program before it has made one.
const pausePrior = 2 * time.Second

// pauseWeight is the share of a new pause in the moving average of a program.
const pauseWeight = 0.5

// notePause learns from the pause before a call.
func (p *program) notePause(pause time.Duration) {
	if p.pause == 0 {
		p.pause = pausePrior
	}
	p.pause += time.Duration(pauseWeight * float64(pause-p.pause))
}

// idleLeft predicts how long a paused program stays idle: what is left of its
// mean pause or, once that is over, as long again as it has lasted.
func (p *program) idleLeft(now time.Duration) time.Duration {
	mean := p.pause
	if mean == 0 {
		mean = pausePrior
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
func (h *Host) makeRoom(t *sched.Target, add int64) {
	over := t.Overflow(add)
	for over > 0 {
		victim := h.longestIdle(t.Decl.Name)
		if victim == nil {
			return
		}
		over -= h.dropCache(victim, t)
	}
}

// longestIdle finds the paused program whose cache at the target will be of no
// use for the longest.
func (h *Host) longestIdle(target string) *program {
	var best *program
	for p := range h.holdersAt[target] {
		if p.active != nil || p.ended || p.heldAt(target) == 0 {
			continue
		}
		if best == nil || p.idleLeft(h.now) > best.idleLeft(h.now) ||
			p.idleLeft(h.now) == best.idleLeft(h.now) && p.id < best.id {
			best = p
		}
	}
	return best
}

func (p *program) heldAt(target string) int64 {
	for _, x := range p.holders {
		if x.target == target {
			return x.tokens
		}
	}
	return 0
}

// dropCache orders the target to drop a program's cache and returns the tokens
// freed. The target stays a holder, so that the end of the program releases it
// once more.
func (h *Host) dropCache(p *program, t *sched.Target) int64 {
	for i := range p.holders {
		if x := &p.holders[i]; x.target == t.Decl.Name {
			freed := x.tokens
			h.setHeld(p, x, 0)
			h.ready.Releases = append(h.ready.Releases, Release{Target: t.Decl, Program: p.id, Slot: p.slot.slot, Epoch: p.slot.epoch})
			return freed
		}
	}
	return 0
}

// setHeld changes the estimate of a program's cache at a target, and the index
// of who holds what.
func (h *Host) setHeld(p *program, x *holder, tokens int64) {
	h.sched.Hold(x.target, tokens-x.tokens)
	x.tokens = tokens
	if tokens == 0 {
		delete(h.holdersAt[x.target], p)
		return
	}
	if h.holdersAt[x.target] == nil {
		h.holdersAt[x.target] = map[*program]struct{}{}
	}
	h.holdersAt[x.target][p] = struct{}{}
}

// reportLag is how old a target's list of what it keeps may be.
const reportLag = time.Second

// forgetEvicted takes off the estimate what a target does not keep any more. A
// program that was there within reportLag may be too new for the list.
func (h *Host) forgetEvicted(ev *TargetReport) {
	kept := make(map[ident.Program]bool, len(ev.CachedPrograms))
	for _, id := range ev.CachedPrograms {
		kept[id] = true
	}
	for p := range h.holdersAt[ev.Target] {
		if kept[p.id] || p.active != nil || h.now-p.usedAt < reportLag {
			continue
		}
		for i := range p.holders {
			if x := &p.holders[i]; x.target == ev.Target {
				h.setHeld(p, x, 0)
			}
		}
	}
}
