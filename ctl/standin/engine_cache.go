package standin

import (
	"net/http"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/wire/target"
)

// cacheProgram sets a program's cached tokens and evicts the least recently used
// programs while the cache is too large. It never evicts the program itself. The
// caller holds mu.
func (e *Engine) cacheProgram(program string, tokens int64) {
	e.evict(program)
	e.cache[program] = tokens
	e.recentPrograms = append(e.recentPrograms, program)
	total := int64(0)
	for _, t := range e.cache {
		total += t
	}
	for total > e.cfg.CacheTokens && len(e.recentPrograms) > 1 {
		total -= e.cache[e.recentPrograms[0]]
		e.evict(e.recentPrograms[0])
	}
}

// evict removes a program from the cache; the caller holds mu.
func (e *Engine) evict(program string) {
	delete(e.cache, program)
	if i := slices.Index(e.recentPrograms, program); i >= 0 {
		e.recentPrograms = slices.Delete(e.recentPrograms, i, i+1)
	}
}

// handleRelease serves the release of a program's cache.
func (e *Engine) handleRelease(w http.ResponseWriter, r *http.Request) {
	if e.hangIfFrozen(r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isNthTime("orders", e.faults.FailReleaseEvery) {
		http.Error(w, "lost", http.StatusInternalServerError)
		return
	}
	slot, epoch := parseFencingToken(r.Header.Get(target.FencingTokenHeader))
	if epoch < e.fencingEpochs[slot] && e.cfg.ChecksFencing && !e.faults.IgnoreFencing {
		http.Error(w, "old fencing token", http.StatusPreconditionFailed)
		return
	}
	e.evict(r.PathValue("program"))
	w.WriteHeader(http.StatusNoContent)
}

// recordLoad records the current load; the caller holds mu.
func (e *Engine) recordLoad() {
	e.loadHistory = append(e.loadHistory, loadSample{time.Now(), target.Load{Running: e.running, Queued: e.queued}})
}

// reportedLoad returns the load as it was ReportLag and ExtraReportLagMS ago, and
// discards the older samples.
func (e *Engine) reportedLoad() target.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	var latest target.Load
	reportedAt := time.Now().Add(-e.cfg.ReportLag - time.Duration(e.faults.ExtraReportLagMS)*time.Millisecond)
	n := 0
	for n < len(e.loadHistory) && !e.loadHistory[n].at.After(reportedAt) {
		latest = e.loadHistory[n].load
		n++
	}
	e.loadHistory = e.loadHistory[max(0, n-1):]
	return latest
}

// reportedPrograms returns the cached programs as the engine reports them, without
// those that HideCacheEvery omits.
func (e *Engine) reportedPrograms() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var programs []string
	for _, p := range e.recentPrograms {
		if !e.isNthTime("hide", e.faults.HideCacheEvery) {
			programs = append(programs, p)
		}
	}
	return programs
}
