package entry

import (
	"context"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/ledger"
	"github.com/pistachioarch/pistachioarch/core/routing"
)

// A request under which targets crash must not be sent to one target after the other. The targets that
// crashed are counted over all attempts of its caller: each broken run is stored at the history hosts
// before the request is sent again or its caller gets an answer, so that the host of the next attempt
// knows of it.

// maxOpenRuns is the number of runs of one request that may be open at a time, if no target of the service is
// known to have crashed lately. It bounds what the request can do before the first crash.
const maxOpenRuns = 2 * ledger.MaxCrashes

// awaitBrokenRuns reads the broken runs of earlier attempts of a call, and returns the failure of a call
// that must not be sent. If they cannot be read, a call that may be repeated is sent only if no target of its
// service has crashed lately as far as the host knows. One that must not run twice is rarely sent again: its
// broken runs are read only after such a crash, and it is sent if they cannot be.
func (x *exchange) awaitBrokenRuns(ctx context.Context) error {
	crashedLately := x.host.lastCrashes.isRecent(x.service)
	onceOnly := x.route.Kind == routing.AtMostOnce
	if onceOnly && !crashedLately {
		return nil
	}
	if err := x.readBrokenRunsInTime(ctx); err != nil {
		x.host.Meter.Count("broken_runs", "not_read")
		if crashedLately && !onceOnly {
			return failure.Retry(failure.HistoryUnavailable, x.historyRetryDelay(), "broken runs of earlier attempts: %v", err)
		}
	}
	return x.crashLimitFailure()
}

// crashLimitFailure returns the failure of a request that must not be sent, else nil: a final one if too many
// targets crashed under it, one to retry if that is not known yet. Targets that crashed after they refused it are
// counted by themselves.
func (x *exchange) crashLimitFailure() error {
	if err := x.limitFailure(false); err != nil {
		return err
	}
	return x.refusalLimitFailure()
}

// refusalLimitFailure is crashLimitFailure for the targets that refused the request.
func (x *exchange) refusalLimitFailure() error {
	return x.limitFailure(true)
}

// runsOrRefusals returns the refusals of the request, or its runs.
func (x *exchange) runsOrRefusals(refused bool) *ledger.BrokenRuns {
	if refused {
		return x.brokenRuns.Refusals()
	}
	return &x.brokenRuns
}

// limitFailure is crashLimitFailure for the runs or for the refusals of the request.
func (x *exchange) limitFailure(refused bool) error {
	var waits []time.Duration
	var found []*historypb.BrokenRun
	crashed, open := x.runsOrRefusals(refused).Count(func(run *historypb.BrokenRun) ledger.Judgement {
		judgement, openFor := x.judge(run, refused)
		switch judgement {
		case ledger.MayCrash:
			waits = append(waits, openFor)
		case ledger.Crashed:
			run.End = runKey{refused: refused}.recordedEnd(historypb.RunEnd_RUN_END_CRASHED)
			found = append(found, run)
		}
		return judgement
	})
	x.brokenRuns.Merge(found)
	generations := x.runsOrRefusals(refused).CrashGenerations()
	limit := x.openRunLimit()
	switch {
	case crashed >= ledger.MaxCrashes && x.mayRunBesideOthers(generations):
		return x.beginTrial(crashed, generations)
	case crashed >= ledger.MaxCrashes:
		x.host.Meter.Count("requests", "given_up")
		return failure.Unknown(failure.TargetCrashes, "%d targets crashed while they ran the request or after they refused it", ledger.MaxCrashes)
	case crashed+open < limit:
		x.logSendAfterCrashes(crashed, open, generations)
		return nil
	}
	slices.Sort(waits)
	delay := waits[crashed+open-limit] // after that, too few runs are open
	x.host.Meter.Count("requests", "held_back")
	return failure.Retry(failure.TargetFailed, max(defaultRetryDelay, delay), "%d targets crashed while they ran the request, %d more may have", crashed, open)
}

// logSendAfterCrashes logs and counts that the request may be sent although targets crashed under it.
func (x *exchange) logSendAfterCrashes(crashed, open, generations int) {
	if crashed == 0 {
		return
	}
	x.host.Meter.Count("requests", "sent_after_crashes")
	x.host.Log.Info("request is sent after crashes", "request", x.call.ID, "fingerprint", x.fingerprint, "program", x.call.Program,
		"crashed", crashed, "open", open, "generations", generations, "trial", x.onTrial)
}

// openRunLimit returns the number of runs, those open and those under which targets crashed, from which on the
// request is held back.
func (x *exchange) openRunLimit() int {
	if x.host.lastCrashes.isRecent(x.service) {
		return ledger.MaxCrashes
	}
	return maxOpenRuns
}

// judge finds out what became of the target of a run by now. openFor is how long the run still counts if the
// target may crash yet.
func (x *exchange) judge(run *historypb.BrokenRun, refused bool) (_ ledger.Judgement, openFor time.Duration) {
	target := targetStart{run.Target, run.Born}
	announced := run.End == historypb.RunEnd_RUN_END_UNKNOWN
	if announced && x.host.fateOf(target) != fateCrashed {
		return ledger.NotCrashed, 0
	}
	w := x.watchRun(runKey{x.fingerprint, target, run.Generation, refused}, "run at another host", x.host.endedAt(run))
	switch x.host.examine(w, false) {
	case historypb.RunEnd_RUN_END_CRASHED:
		return ledger.Crashed, 0
	case historypb.RunEnd_RUN_END_BROKEN:
		if openFor = x.host.runWatches.openTime - time.Since(w.endedAt); openFor > 0 {
			return ledger.MayCrash, openFor
		}
	}
	return ledger.NotCrashed, 0
}

// endedAt returns when a run ended, by the clock of the host that stored it. It is not in the future, and not
// before the run would be watched no longer.
func (h *Host) endedAt(run *historypb.BrokenRun) time.Time {
	ago := time.Since(time.UnixMilli(run.EndedMs))
	return time.Now().Add(-min(max(0, ago), h.runWatches.lateEndWindow))
}
