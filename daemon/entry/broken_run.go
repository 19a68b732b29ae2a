package entry

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// brokenRun is a run of a request whose target broke it off, before or within the answer, or which was
// announced and then did not begin.
type brokenRun struct {
	target balance.TargetInfo
	reason string
	notRun bool
}

// isBrokenRun reports whether a failed send is a run that its target broke off. Runs that ended
// because the caller left or the time was up are not.
func isBrokenRun(ctx context.Context, f *failure.Failure) bool {
	return ctx.Err() == nil && f.Ran != failure.RanNo && (f.Kind == failure.TargetFailed || f.Kind == failure.BadAnswer)
}

// addBrokenRun notes a failed send if it is a run that its target broke off, or one that was announced
// and did not begin.
func (x *exchange) addBrokenRun(ctx context.Context, t balance.TargetInfo, f *failure.Failure) {
	notRun := f.Ran == failure.RanNo && x.announcedTarget == t.ID
	if notRun || isBrokenRun(ctx, f) {
		x.newBrokenRuns = append(x.newBrokenRuns, brokenRun{target: t, reason: f.Detail, notRun: notRun})
	}
}

// takeBrokenRuns returns the runs noted since the last call. It finds out whether the target of a broken
// run has crashed or only broke the connection.
func (x *exchange) takeBrokenRuns() []*historypb.BrokenRun {
	var list []*historypb.BrokenRun
	for _, run := range x.newBrokenRuns {
		end := historypb.RunEnd_RUN_END_NOT_RUN
		if !run.notRun {
			end = x.endOf(run)
		}
		list = append(list, &historypb.BrokenRun{Request: x.fingerprint, Target: run.target.ID, Born: run.target.StartedAtMs, End: end})
	}
	x.newBrokenRuns, x.announcedTarget = nil, ""
	return list
}

// endOf finds out whether the target of a broken run has crashed, and logs and counts the run.
func (x *exchange) endOf(run brokenRun) historypb.RunEnd {
	end := historypb.RunEnd_RUN_END_BROKEN
	x.host.Meter.Count("runs", "broken")
	if x.host.fateOf(startOf(run.target)) == fateCrashed {
		end = historypb.RunEnd_RUN_END_CRASHED
		x.host.lastCrashes.record(x.service)
		x.host.Meter.Count("runs", "crashed")
	} else {
		x.watchRun(run)
	}
	x.host.Log.Info("run broken off", "request", x.call.ID, "fingerprint", x.fingerprint, "program", x.call.Program, "route", x.route.Name,
		"target", run.target.ID, "crashed", end == historypb.RunEnd_RUN_END_CRASHED, "sends", x.sendCount, "reason", run.reason)
	return end
}

// watchRun watches the target of a run that ended without an answer.
func (x *exchange) watchRun(run brokenRun) {
	w := &runWatch{
		runKey: runKey{x.fingerprint, startOf(run.target)}, request: x.call.ID, service: x.service, reason: run.reason,
		startedAt: time.Now(), news: make(chan struct{}, 1), end: historypb.RunEnd_RUN_END_BROKEN,
	}
	if w, isNew := x.host.runWatches.add(w); isNew {
		go x.host.watch(w)
	}
}
