package standin

import (
	"net/http"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/wire/target"
)

// keep puts a program's cache in, and evicts the least recently used.
func (e *Engine) keep(program string, tokens int64) {
	e.drop(program)
	e.cache[program] = tokens
	e.order = append(e.order, program)
	total := int64(0)
	for _, t := range e.cache {
		total += t
	}
	for total > e.cfg.CacheTokens && len(e.order) > 1 {
		total -= e.cache[e.order[0]]
		e.drop(e.order[0])
	}
}

func (e *Engine) drop(program string) {
	delete(e.cache, program)
	if i := slices.Index(e.order, program); i >= 0 {
		e.order = slices.Delete(e.order, i, i+1)
	}
}

func (e *Engine) release(w http.ResponseWriter, r *http.Request) {
	if e.frozen(r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.each("orders", e.faults.FailReleaseEvery) {
		http.Error(w, "lost", http.StatusInternalServerError)
		return
	}
	slot, epoch := splitFence(r.Header.Get(target.FencingTokenHeader))
	if epoch < e.fences[slot] && e.cfg.ChecksFencing && !e.faults.IgnoreFencing {
		http.Error(w, "old fencing token", http.StatusPreconditionFailed)
		return
	}
	e.drop(r.PathValue("program"))
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) noteLoad() {
	e.load = append(e.load, loadAt{time.Now(), target.Load{Running: e.running, Queued: e.queued}})
}

// report is the load as it was ReportLag ago.
func (e *Engine) report() target.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	var last target.Load
	limit := time.Now().Add(-e.cfg.ReportLag - time.Duration(e.faults.ExtraReportLagMS)*time.Millisecond)
	n := 0
	for n < len(e.load) && !e.load[n].at.After(limit) {
		last = e.load[n].load
		n++
	}
	e.load = e.load[max(0, n-1):]
	return last
}

// reported is the cache as the engine reports it.
func (e *Engine) reported() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var programs []string
	for _, p := range e.order {
		if !e.each("hide", e.faults.HideCacheEvery) {
			programs = append(programs, p)
		}
	}
	return programs
}
