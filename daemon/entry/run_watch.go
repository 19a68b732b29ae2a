package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// A target may end some time after a run that made it end: its process first closes the connection, answers
// with an error or writes its memory to disk. A run that did not end with an answer is therefore watched until
// it is known what became of its target.

const (
	// lateEndWindow is how long after a run the end of its target is put down to the run.
	lateEndWindow = 3 * time.Second
	// openRunTime is how long a run counts like one whose target crashed if the target serves on: another
	// attempt would be too early to know. A caller can wait for that.
	openRunTime = time.Second
	// unlistedServeTime is how long a target that leaves by plan without announcing it serves on at least, from when
	// this host knows that it is no longer listed: three quarters of the time for which targets must.
	unlistedServeTime = 1500 * time.Millisecond
	// unlistedCheckInterval is the time between two checks whether it still does.
	unlistedCheckInterval = 250 * time.Millisecond
)

// runKey identifies the runs of a request at one incarnation of a target that are of one generation.
type runKey struct {
	fingerprint string
	target      targetStart
	generation  int32
	// refused is set if the target stated that the request did not run there.
	refused bool
}

// runWatch is a run without an answer whose target served on right after it.
type runWatch struct {
	runKey
	request, service, reason string
	// program is the name under which the run is stored, for retention.
	program   string
	retention time.Duration
	endedAt   time.Time
	// answered is set once the request has been answered, so that nobody reads of its runs again.
	answered atomic.Bool
	// news receives a value when something is learned of the target.
	news chan struct{}

	mu sync.Mutex
	// end is RUN_END_BROKEN until it is known what became of the target.
	end historypb.RunEnd
}

// currentEnd returns the end of the run as far as it is known.
func (w *runWatch) currentEnd() historypb.RunEnd {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.end
}

// recordedEnd returns the end under which a watched run is stored: crashes after a refusal are counted by themselves.
func (k runKey) recordedEnd(end historypb.RunEnd) historypb.RunEnd {
	if k.refused && end == historypb.RunEnd_RUN_END_CRASHED {
		return historypb.RunEnd_RUN_END_CRASHED_AFTER_REFUSAL
	}
	return end
}

// setEnd sets the end of the run unless it is known already, and reports whether it did.
func (w *runWatch) setEnd(end historypb.RunEnd) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.end != historypb.RunEnd_RUN_END_BROKEN {
		return false
	}
	w.end = end
	return true
}

// runWatches holds the runs that are watched.
type runWatches struct {
	// lateEndWindow, openTime and unlistedServeTime are the constants of these names.
	lateEndWindow, openTime, unlistedServeTime time.Duration

	mu    sync.Mutex
	byKey map[runKey]*runWatch
}

func newRunWatches() *runWatches {
	return &runWatches{lateEndWindow: lateEndWindow, openTime: openRunTime, unlistedServeTime: unlistedServeTime, byKey: map[runKey]*runWatch{}}
}

// windowOf returns how long after a watched run the end of its target is put down to it.
func (r *runWatches) windowOf(w *runWatch) time.Duration {
	if w.refused {
		return r.openTime
	}
	return r.lateEndWindow
}

// add returns the watch of a run, and whether it is w, which it becomes if there is none.
func (r *runWatches) add(w *runWatch) (*runWatch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.byKey[w.runKey]; old != nil {
		return old, false
	}
	r.byKey[w.runKey] = w
	return w, true
}

func (r *runWatches) remove(w *runWatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byKey, w.runKey)
}

// notify tells the watches of a target's runs that something was learned of the target.
func (r *runWatches) notify(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, w := range r.byKey {
		if key.target.id != target {
			continue
		}
		select {
		case w.news <- struct{}{}:
		default: // it has not looked at the last news yet
		}
	}
}

// watch watches a run until it is known what became of its target, for lateEndWindow at most, and remembers
// the result as long again.
func (h *Host) watch(w *runWatch) {
	defer h.runWatches.remove(w)
	window := time.NewTimer(h.runWatches.windowOf(w) - time.Since(w.endedAt))
	defer window.Stop()
	var unlisted <-chan time.Time // fires if the target is to be checked without news
	for over := false; !over && w.currentEnd() == historypb.RunEnd_RUN_END_BROKEN; {
		select {
		case <-w.news:
		case <-unlisted:
		case <-window.C:
			over = true
		case <-h.lifetime.Done():
			return
		}
		h.examine(w, over)
		if unlisted = nil; h.departures.has(w.target) {
			unlisted = time.After(unlistedCheckInterval)
		}
	}
	select {
	case <-time.After(h.runWatches.lateEndWindow):
	case <-h.lifetime.Done():
	}
}

// examine finds out whether the target of a watched run has ended. over reports that the run is watched no
// longer: a target that still serves has outlived it.
func (h *Host) examine(w *runWatch, over bool) historypb.RunEnd {
	fate := h.fateOf(w.target)
	switch {
	case fate == fateCrashed:
		h.endWatch(w, historypb.RunEnd_RUN_END_CRASHED)
	case fate == fateLeft, over:
		h.endWatch(w, historypb.RunEnd_RUN_END_OUTLIVED)
	}
	return w.currentEnd()
}

// endWatch records what became of the target of a watched run, and stores it for the hosts of later attempts.
func (h *Host) endWatch(w *runWatch, end historypb.RunEnd) {
	if !w.setEnd(end) {
		return
	}
	if end == historypb.RunEnd_RUN_END_CRASHED {
		h.lastCrashes.record(w.service)
		h.Meter.Count("runs", "crashed_later")
		h.Log.Info("target crashed after a run", "request", w.request, "fingerprint", w.fingerprint, "target", w.target.id,
			"after_ms", time.Since(w.endedAt).Milliseconds(), "refused", w.refused, "reason", w.reason)
	}
	if !w.answered.Load() {
		h.storeBrokenRunsLater(w.program, w.retention, &historypb.BrokenRun{Request: w.fingerprint, Target: w.target.id, Born: w.target.startedAtMs, End: w.recordedEnd(end), Generation: w.generation})
	}
}
