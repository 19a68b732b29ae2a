package entry

import (
	"context"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/ledger"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

// A request under which targets crash must not be sent to one target after the other. The targets that
// crashed are counted over all attempts of its caller: each broken run is stored at the history hosts
// before the request is sent again or its caller gets an answer, so that the host of the next attempt
// knows of it.

const (
	// brokenRunWriteTimeout bounds how long a repeat, or the answer, waits until a broken run is
	// durable. It covers the replacement of a history host as writer.
	brokenRunWriteTimeout = 300 * time.Millisecond
	// maxOpenRuns is the number of runs of one request that may be open at a time, if no target of the
	// service is known to have crashed lately. It bounds what the request can do before the first crash.
	maxOpenRuns = 2 * ledger.MaxCrashes
	// crashStoreInterval is the time between two attempts to store a crash in the background.
	crashStoreInterval = time.Second
	// brokenRunReadTimeout bounds how long a call waits for the broken runs of its earlier attempts.
	brokenRunReadTimeout = 100 * time.Millisecond
)

// brokenRunTimeouts are the timeouts of reads and writes of broken runs.
type brokenRunTimeouts struct{ write, read time.Duration }

// limitsCrashes reports whether the targets that crash under the request are counted. A request that
// must not run twice is not repeated, by this host or its caller.
func (x *exchange) limitsCrashes() bool { return x.route.Kind != routing.AtMostOnce }

// recordProgram returns the program name under which history hosts store the broken runs of the request and
// the software version of its stream: its program, or a name of its own outside of programs.
func (x *exchange) recordProgram() string {
	if x.call.Program != "" {
		return x.budgetProgram()
	}
	return x.customerScoped("request\x00" + x.fingerprint)
}

// awaitBrokenRuns reads the broken runs of earlier attempts of a call, and returns the failure of a call
// that must not be sent. If they cannot be read, the call is sent only if no target of its service has
// crashed lately as far as the host knows.
func (x *exchange) awaitBrokenRuns(ctx context.Context) error {
	if !x.limitsCrashes() {
		return nil
	}
	if err := x.readBrokenRunsInTime(ctx); err != nil {
		x.host.Meter.Count("broken_runs", "not_read")
		if x.host.lastCrashes.isRecent(x.service) {
			return failure.Retry(failure.HistoryUnavailable, x.historyRetryDelay(), "broken runs of earlier attempts: %v", err)
		}
	}
	return x.crashLimitFailure()
}

// readBrokenRunsInTime is readBrokenRuns within brokenRunReadTimeout. It fails at once if the history
// hosts are known to be unreachable.
func (x *exchange) readBrokenRunsInTime(ctx context.Context) error {
	if !x.host.History.IsServable(x.recordProgram()) {
		return failure.New(failure.HistoryUnavailable, "history hosts of the request are unreachable")
	}
	ctx, cancel := context.WithTimeout(ctx, x.host.brokenRunTimeouts.read)
	defer cancel()
	return x.readBrokenRuns(ctx)
}

// readBrokenRuns adds the broken runs of all attempts of the request that are stored.
func (x *exchange) readBrokenRuns(ctx context.Context) error {
	history, err := x.host.History.ReadQuery(ctx, quorum.Query{Program: x.recordProgram(), Request: x.fingerprint})
	if err != nil {
		return err
	}
	x.brokenRuns.Merge(history.BrokenRuns)
	return nil
}

// crashLimitFailure returns the failure of a request that must not be sent, else nil: a final one if too many
// targets crashed under it, one to retry if that is not known yet.
func (x *exchange) crashLimitFailure() error {
	if x.call.Program == "" && x.host.served.contains(x.fingerprint) {
		return nil
	}
	var waits []time.Duration
	crashed, open := x.brokenRuns.Count(func(run *historypb.BrokenRun) ledger.Judgement {
		judgement, openFor := x.judge(run)
		if judgement == ledger.MayCrash {
			waits = append(waits, openFor)
		}
		return judgement
	})
	limit := x.openRunLimit()
	switch {
	case crashed >= ledger.MaxCrashes:
		x.host.Meter.Count("requests", "given_up")
		return failure.Unknown(failure.TargetCrashes, "%d targets crashed while they ran the request", ledger.MaxCrashes)
	case crashed+open < limit:
		return nil
	}
	slices.Sort(waits)
	delay := waits[crashed+open-limit] // after that, too few runs are open
	x.host.Meter.Count("requests", "held_back")
	return failure.Retry(failure.TargetFailed, max(defaultRetryDelay, delay), "%d targets crashed while they ran the request, %d more may have", crashed, open)
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
func (x *exchange) judge(run *historypb.BrokenRun) (_ ledger.Judgement, openFor time.Duration) {
	target := targetStart{run.Target, run.Born}
	announced := run.End == historypb.RunEnd_RUN_END_UNKNOWN
	if announced && x.host.fateOf(target) != fateCrashed {
		return ledger.NotCrashed, 0
	}
	w := x.watchRun(target, "run at another host", x.host.endedAt(run))
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

// announceRun stores, before the request is sent to a target, that it may run there, if runs of it have ended
// without an answer before, or if targets of the service crashed lately. If this host is killed or cut off
// meanwhile, the next one finds out what became of the target. After a crash under the request it is not sent
// before that is durable.
func (x *exchange) announceRun(t balance.TargetInfo) error {
	if !x.mustAnnounce() {
		return nil
	}
	run := x.newBrokenRunRecord(startOf(t), historypb.RunEnd_RUN_END_UNKNOWN)
	x.announced = append(x.announced, startOf(t))
	if x.brokenRuns.Confirmed() == 0 {
		x.host.storeBrokenRunsLater(x.recordProgram(), x.retention(), run)
		return nil
	}
	if err := x.host.storeOnce(context.Background(), x.recordProgram(), x.retention(), []*historypb.BrokenRun{run}); err != nil {
		x.recordOutcome(t.ID, balance.Abandoned)
		return failure.Retry(failure.HistoryUnavailable, x.historyRetryDelay(), "run after a crash not announced: %v", err)
	}
	x.brokenRuns.Merge([]*historypb.BrokenRun{run})
	return nil
}

// mustAnnounce reports whether runs of the request are announced. Outside of programs, callers may send the
// same request at once, and a first run of one of them says nothing of the others.
func (x *exchange) mustAnnounce() bool {
	if !x.limitsCrashes() {
		return false
	}
	return x.brokenRuns.Known() || x.call.Program != "" && x.host.lastCrashes.isRecent(x.service)
}

// endAnnouncements stores that the request has been answered, if runs of it were announced. The program may
// make the same call again; a turn is made once.
func (x *exchange) endAnnouncements() {
	if len(x.announced) == 0 || x.isTurn() {
		return
	}
	var runs []*historypb.BrokenRun
	for _, t := range x.announced {
		runs = append(runs, x.newBrokenRunRecord(t, historypb.RunEnd_RUN_END_OUTLIVED))
	}
	x.host.storeBrokenRunsLater(x.recordProgram(), x.retention(), runs...)
}

// recordBrokenRuns makes new broken runs durable. It returns a failure if the request must not be sent
// again: too many targets crashed under it, or that one has crashed could not be stored. If the caller has
// left or the time is up, that is done in the background.
func (x *exchange) recordBrokenRuns(ctx context.Context) error {
	broken := x.takeBrokenRuns()
	if len(broken) == 0 {
		return nil
	}
	if ctx.Err() != nil {
		x.host.background.Go(func() { x.recordGivenUpRuns(broken) })
		return nil
	}
	runs := x.brokenRunList(broken)
	if !x.limitsCrashes() {
		return nil
	}
	x.brokenRuns.Merge(runs)
	if !slices.ContainsFunc(runs, mayHaveRun) {
		x.host.storeBrokenRunsLater(x.recordProgram(), x.retention(), runs...)
		return nil
	}
	err := x.storeBrokenRuns(runs)
	if limit := x.crashLimitFailure(); limit != nil {
		return limit
	}
	if err != nil && slices.ContainsFunc(runs, isCrash) {
		return failure.Unknown(failure.HistoryUnavailable, "crash of a target not stored: %v", err)
	}
	return nil
}

// mayHaveRun reports whether a target may have run the request.
func mayHaveRun(run *historypb.BrokenRun) bool { return run.End != historypb.RunEnd_RUN_END_NOT_RUN }

// recordGivenUpRuns stores runs that ended because the caller left or the time was up.
func (x *exchange) recordGivenUpRuns(broken []brokenRun) {
	if runs := x.brokenRunList(broken); x.limitsCrashes() {
		x.host.storeBrokenRunsLater(x.recordProgram(), x.retention(), runs...)
	}
}

// brokenRunList returns the records of broken runs.
func (x *exchange) brokenRunList(broken []brokenRun) []*historypb.BrokenRun {
	var runs []*historypb.BrokenRun
	for _, run := range broken {
		runs = append(runs, x.brokenRunRecord(run))
	}
	return runs
}

// storeBrokenRuns stores broken runs and adds those that other hosts stored meanwhile. It does not
// depend on the caller: one that leaves comes back through another host.
func (x *exchange) storeBrokenRuns(runs []*historypb.BrokenRun) error {
	ctx, cancel := context.WithTimeout(context.Background(), x.host.brokenRunTimeouts.write)
	defer cancel()
	if err := x.host.storeOnce(ctx, x.recordProgram(), x.retention(), runs); err != nil {
		x.host.Meter.Count("broken_runs", "not_stored")
		x.host.Log.Warn("broken runs not stored in time", "request", x.call.ID, "fingerprint", x.fingerprint, "error", err.Error())
		x.host.storeBrokenRunsLater(x.recordProgram(), x.retention(), runs...)
		return err
	}
	return x.readBrokenRuns(ctx)
}

// storeBrokenRunsLater stores runs of one request under a program's name in the background. A crash is worth
// trying for recentCrashWindow, other ends are dropped if they cannot be stored at once.
func (h *Host) storeBrokenRunsLater(program string, retention time.Duration, runs ...*historypb.BrokenRun) {
	if !h.History.Ready() {
		return
	}
	h.background.Go(func() {
		ctx, cancel := context.WithTimeout(h.lifetime, recentCrashWindow)
		defer cancel()
		err := h.storeOnce(ctx, program, retention, runs)
		for err != nil && slices.ContainsFunc(runs, isCrash) && wait.For(ctx, crashStoreInterval) {
			err = h.storeOnce(ctx, program, retention, runs)
		}
		if err != nil {
			h.Log.Warn("broken runs not stored", "fingerprint", runs[0].Request, "error", err.Error())
		}
	})
}

// storeOnce stores runs of one request within brokenRunWriteTimeout, unless the history hosts are known to be
// unreachable.
func (h *Host) storeOnce(ctx context.Context, program string, retention time.Duration, runs []*historypb.BrokenRun) error {
	ctx, cancel := context.WithTimeout(ctx, h.brokenRunTimeouts.write)
	defer cancel()
	return h.History.WriteUnlessUnreachable(ctx, 0, program, retention, brokenRunRecords(runs)...)
}

// isCrash reports whether a run is known to have crashed its target.
func isCrash(run *historypb.BrokenRun) bool { return run.End == historypb.RunEnd_RUN_END_CRASHED }

// brokenRunRecords returns a record of each run. A record belongs to one write.
func brokenRunRecords(runs []*historypb.BrokenRun) []*historypb.Record {
	records := make([]*historypb.Record, 0, len(runs))
	for _, r := range runs {
		records = append(records, &historypb.Record{Change: &historypb.Record_BrokenRun{BrokenRun: r}})
	}
	return records
}
