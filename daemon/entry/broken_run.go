package entry

import (
	"slices"
	"strconv"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// brokenRun is a run of a request that ended without an answer of the target that could be passed on, or
// which was announced and then did not begin.
type brokenRun struct {
	target balance.TargetInfo
	reason string
	notRun bool
	// generation is that of the run.
	generation int32
	// answered is set if the target answered with a failure of its own, refused if it stated that the request did not
	// run there.
	answered, refused bool
}

// addBrokenRun notes a failed send if the target may have run the request, or if the run was announced and
// did not begin.
func (x *exchange) addBrokenRun(t balance.TargetInfo, f *failure.Failure) {
	notRun := f.Ran == failure.RanNo
	if !notRun || slices.Contains(x.announced, startOf(t)) {
		x.newBrokenRuns = append(x.newBrokenRuns, brokenRun{target: t, generation: x.generations[startOf(t)], reason: f.Detail, notRun: notRun})
	}
}

// addFailedRun notes a run that its target answered with a failure.
func (x *exchange) addFailedRun(t balance.TargetInfo, status int) {
	x.newBrokenRuns = append(x.newBrokenRuns, brokenRun{target: t, generation: x.generations[startOf(t)], reason: "status " + strconv.Itoa(status), answered: true})
}

// takeBrokenRuns returns the runs noted since the last call.
func (x *exchange) takeBrokenRuns() []brokenRun {
	runs := x.newBrokenRuns
	x.newBrokenRuns = nil
	return runs
}

// brokenRunRecord finds out how a run ended as far as it is known now, and returns its record.
func (x *exchange) brokenRunRecord(run brokenRun) *historypb.BrokenRun {
	end := historypb.RunEnd_RUN_END_NOT_RUN
	switch {
	case run.refused:
		x.ownWatches = append(x.ownWatches, x.watchRun(x.runKeyOf(run), run.reason, time.Now()))
		end = historypb.RunEnd_RUN_END_REFUSED
	case !run.notRun:
		end = x.endOf(run)
	}
	record := x.newBrokenRunRecord(startOf(run.target), run.generation, end)
	record.EndedMs = time.Now().UnixMilli()
	return record
}

// newBrokenRunRecord returns the record of a run of the request.
func (x *exchange) newBrokenRunRecord(t targetStart, generation int32, end historypb.RunEnd) *historypb.BrokenRun {
	return &historypb.BrokenRun{Request: x.fingerprint, Target: t.id, Born: t.startedAtMs, End: end, Generation: generation}
}

// endOf finds out whether the target of a run has crashed, and logs and counts the run. A target that
// serves is watched for some time.
func (x *exchange) endOf(run brokenRun) historypb.RunEnd {
	h := x.host
	end := historypb.RunEnd_RUN_END_BROKEN
	h.Meter.Count("runs", "broken")
	if !run.answered && h.fateOf(startOf(run.target)) == fateCrashed {
		end = historypb.RunEnd_RUN_END_CRASHED
		h.lastCrashes.record(x.service)
		h.Meter.Count("runs", "crashed")
	} else {
		x.ownWatches = append(x.ownWatches, x.watchRun(x.runKeyOf(run), run.reason, time.Now()))
	}
	h.Log.Info("run broken off", "request", x.call.ID, "fingerprint", x.fingerprint, "program", x.call.Program, "route", x.route.Name,
		"target", run.target.ID, "crashed", end == historypb.RunEnd_RUN_END_CRASHED, "sends", x.sendCount, "reason", run.reason)
	return end
}

// runKeyOf returns what identifies a run of this attempt.
func (x *exchange) runKeyOf(run brokenRun) runKey {
	return runKey{x.fingerprint, startOf(run.target), run.generation, run.refused}
}

// watchRun watches the target of a run that ended without an answer at endedAt, and returns the watch, an
// earlier one if there is one.
func (x *exchange) watchRun(key runKey, reason string, endedAt time.Time) *runWatch {
	w, isNew := x.host.runWatches.add(&runWatch{
		runKey: key, request: x.call.ID, service: x.service, reason: reason,
		program: x.recordProgram(), retention: x.retention(),
		endedAt: endedAt, news: make(chan struct{}, 1), end: historypb.RunEnd_RUN_END_BROKEN,
	})
	if isNew {
		go x.host.watch(w)
	}
	return w
}

// forgetBrokenRuns ends the watches of an answered request: what its runs did before does not count any more.
func (x *exchange) forgetBrokenRuns() {
	for _, w := range x.ownWatches {
		w.answered.Store(true)
	}
}

// recordAnswered stores that the request has been answered, if runs of it were announced or ended without an answer
// before. Its program may make the same call again, or other callers the same request; a turn is made once.
func (x *exchange) recordAnswered() {
	if x.isTurn() || len(x.announced) == 0 && !x.brokenRuns.HasUnanswered() && !x.brokenRuns.HasRefusals() {
		return
	}
	runs := []*historypb.BrokenRun{{Request: x.fingerprint, End: historypb.RunEnd_RUN_END_ANSWERED, Generation: x.brokenRuns.NextGeneration()}}
	for _, t := range x.announced {
		runs = append(runs, x.newBrokenRunRecord(t, x.generations[t], historypb.RunEnd_RUN_END_OUTLIVED))
	}
	x.host.storeBrokenRunsLater(x.recordProgram(), x.retention(), runs...)
}
